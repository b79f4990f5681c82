#include "forwarding/usage_duty.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardline {

auto encodeDutyRecord(const duty_record &record) -> std::string
{
    auto sealed = nlohmann::json::array();
    for (const auto &[window, counts] : record.sealed)
        sealed.push_back({{"window", window}, {"counts", counts}});
    return nlohmann::json{{"holder", record.holder},
                          {"fencing", record.fencing},
                          {"nonce", record.nonce},
                          {"reported_to", record.reportedTo},
                          {"sealed", std::move(sealed)}}
        .dump();
}

auto decodeDutyRecord(std::string_view bytes) -> std::optional<duty_record>
{
    try {
        const auto document = nlohmann::json::parse(bytes);
        duty_record record{.holder = document.at("holder").get<std::string>(),
                           .fencing = document.at("fencing").get<std::uint64_t>(),
                           .nonce = document.at("nonce").get<std::string>(),
                           .reportedTo = document.at("reported_to").get<std::int64_t>()};
        for (const auto &each : document.at("sealed")) {
            for (const auto &[account, count] : each.at("counts").items())
                record.sealed[each.at("window").get<std::int64_t>()][account]
                    = count.get<std::uint64_t>();
            record.sealed.try_emplace(each.at("window").get<std::int64_t>());
        }
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

auto usage_duty::tick(time_point now, unix_milliseconds trueNow, const usage_windows &usage)
    -> std::optional<duty_action>
{
    if (m_busy || now < m_pausedUntil)
        return std::nullopt;
    if (m_mustRead) {
        m_busy = true;
        return read_duty();
    }
    const auto unreported = isMine() ? nextUnreported() : std::nullopt;
    if (unreported && holds(now)) {
        m_busy = true;
        return usage_report{
            .window = *unreported,
            .counts = {m_seen->sealed[*unreported].begin(), m_seen->sealed[*unreported].end()},
            .holder = m_options.holder,
            .fencing = m_seen->fencing};
    }
    const auto last = lastToSeal(trueNow, usage);
    if (last <= m_sealedTo && !unreported)
        return std::nullopt;
    // Another's record is replaced only on fresh knowledge, and a whole term after it was seen.
    if (!isMine()) {
        if (now - m_readAt > m_options.freshness) {
            m_busy = true;
            return read_duty();
        }
        if (m_seen && now - m_seenAt < m_options.term)
            return std::nullopt;
    }
    m_busy = true;
    return makeAppend(std::max(last, m_sealedTo), now, usage);
}

auto usage_duty::nextUnreported() const -> std::optional<std::int64_t>
{
    for (const auto &[window, counts] : m_seen->sealed) {
        if (window > m_reportedTo && !m_reported.contains(window))
            return window;
    }
    return std::nullopt;
}

// The newest window whose time to be sealed by this process has come.
auto usage_duty::lastToSeal(unix_milliseconds trueNow, const usage_windows &usage) const
    -> std::int64_t
{
    const auto after = isMine() || !m_seen ? m_options.sealAfter : m_options.takeOverAfter;
    return usage.windowOf(trueNow - toMilliseconds(after)) - 1;
}

auto usage_duty::makeAppend(std::int64_t last, time_point now, const usage_windows &usage)
    -> append_duty
{
    duty_record record{.holder = m_options.holder,
                       .fencing = (m_seen ? m_seen->fencing : 0) + 1,
                       .nonce = fmt::format("{}#{}", m_options.holder, ++m_sends),
                       .reportedTo = m_reportedTo};
    if (m_seen)
        record.sealed = m_seen->sealed;
    const auto kept = static_cast<std::int64_t>(m_options.keptWindows);
    // Of a long gap, the newest windows.
    const auto first = m_seen ? std::max(m_sealedTo + 1, last - kept + 1) : last;
    for (auto window = first; window <= last; ++window)
        record.sealed.emplace(window, usage.totals(window));
    while (record.sealed.size() > m_options.keptWindows)
        record.sealed.erase(record.sealed.begin());
    m_sent = record;
    m_sentAt = now;
    return {.at = m_endOffset.value_or(0), .record = std::move(record)};
}

auto usage_duty::readCame(std::optional<duty_record> record, std::uint64_t endOffset,
                          time_point now) -> void
{
    m_busy = false;
    m_mustRead = false;
    m_readAt = now;
    // An unanswered append of ours turned out to have been made.
    if (record && m_sent && record->nonce == m_sent->nonce)
        m_holdsUntil = m_sentAt + m_options.term - m_options.margin;
    take(std::move(record), endOffset, now);
}

auto usage_duty::take(std::optional<duty_record> record, std::uint64_t endOffset, time_point seenAt)
    -> void
{
    const bool isNew = !record || !m_seen || record->nonce != m_seen->nonce;
    if (isNew)
        m_seenAt = seenAt;
    m_seen = std::move(record);
    m_endOffset = endOffset;
    if (!m_seen)
        return;
    m_reportedTo = std::max(m_reportedTo, m_seen->reportedTo);
    if (!m_seen->sealed.empty())
        m_sealedTo = std::max(m_sealedTo, m_seen->sealed.rbegin()->first);
}

auto usage_duty::readFailed(time_point now) -> void
{
    m_busy = false;
    m_mustRead = true;
    pause(now);
}

auto usage_duty::appendCame(const log_append_outcome &outcome, time_point now) -> void
{
    m_busy = false;
    if (const auto *appended = std::get_if<log_appended>(&outcome)) {
        m_holdsUntil = m_sentAt + m_options.term - m_options.margin;
        take(m_sent, appended->endOffset, now);
        m_readAt = now;
        return;
    }
    m_mustRead = true;
    if (std::holds_alternative<log_unavailable>(outcome))
        pause(now);
}

auto usage_duty::reportCame(std::int64_t window, bool taken, time_point now) -> void
{
    m_busy = false;
    if (!taken) {
        pause(now);
        return;
    }
    m_reported.insert(window);
    // A window before the first one that the record keeps can no longer be reported.
    const auto first = m_seen && !m_seen->sealed.empty() ? m_seen->sealed.begin()->first : window;
    m_reportedTo = std::max(m_reportedTo, first - 1);
    while (m_reported.erase(m_reportedTo + 1) > 0)
        ++m_reportedTo;
}

auto usage_duty::noteSealed(std::int64_t window) -> void
{
    // What the record holds is read before the next append; this only saves the reading.
    if (!isMine())
        m_sealedTo = std::max(m_sealedTo, window);
}

auto usage_duty::pause(time_point now) -> void
{
    m_pausedUntil = now + m_options.retryAfter;
}

} // namespace mustardline
