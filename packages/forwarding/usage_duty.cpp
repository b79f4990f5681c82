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
    return nlohmann::json{{"holder", record.holder},          {"address", record.address},
                          {"fencing", record.fencing},        {"nonce", record.nonce},
                          {"reported_to", record.reportedTo}, {"sealed", std::move(sealed)}}
        .dump();
}

auto decodeDutyRecord(std::string_view bytes) -> std::optional<duty_record>
{
    try {
        const auto document = nlohmann::json::parse(bytes);
        duty_record record{.holder = document.at("holder").get<std::string>(),
                           .address = document.value("address", std::string()),
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

auto usage_duty::tick(time_point now, unix_milliseconds unixNow, const usage_windows &usage)
    -> std::optional<duty_action>
{
    if (m_isActionInProgress || now < m_retryAt)
        return std::nullopt;
    if (m_mustRead) {
        m_isActionInProgress = true;
        return read_duty();
    }
    const auto unreported = isHolder() ? nextUnreported() : std::nullopt;
    if (unreported && holds(now)) {
        m_isActionInProgress = true;
        return usage_report{
            .window = *unreported,
            .counts = {m_record->sealed[*unreported].begin(), m_record->sealed[*unreported].end()},
            .holder = m_options.holder,
            .fencing = m_record->fencing};
    }
    const auto last = newestToSeal(unixNow, usage);
    if (last <= m_sealedTo && !unreported)
        return std::nullopt;
    // Another holder's record is replaced only after a recent read, and a full term after it was
    // first read.
    if (!isHolder()) {
        if (now - m_readAt > m_options.maxReadAge) {
            m_isActionInProgress = true;
            return read_duty();
        }
        if (m_record && now - m_recordSeenAt < m_options.term)
            return std::nullopt;
    }
    m_isActionInProgress = true;
    return makeAppend(std::max(last, m_sealedTo), now, usage);
}

auto usage_duty::nextUnreported() const -> std::optional<std::int64_t>
{
    for (const auto &[window, counts] : m_record->sealed) {
        if (window > m_reportedTo && !m_reported.contains(window))
            return window;
    }
    return std::nullopt;
}

// The newest window that this process is due to seal.
auto usage_duty::newestToSeal(unix_milliseconds unixNow, const usage_windows &usage) const
    -> std::int64_t
{
    const auto after = isHolder() || !m_record ? m_options.sealAfter : m_options.takeOverAfter;
    return usage.windowOf(unixNow - toMilliseconds(after)) - 1;
}

auto usage_duty::makeAppend(std::int64_t last, time_point now, const usage_windows &usage)
    -> append_duty
{
    duty_record record{.holder = m_options.holder,
                       .address = m_options.address,
                       .fencing = (m_record ? m_record->fencing : 0) + 1,
                       .nonce = fmt::format("{}#{}", m_options.holder, ++m_appendCount),
                       .reportedTo = m_reportedTo};
    if (m_record)
        record.sealed = m_record->sealed;
    const auto kept = static_cast<std::int64_t>(m_options.keptWindows);
    // After a long gap, only the newest windows are sealed.
    const auto first = m_record ? std::max(m_sealedTo + 1, last - kept + 1) : last;
    for (auto window = first; window <= last; ++window)
        record.sealed.emplace(window, usage.totals(window));
    while (record.sealed.size() > m_options.keptWindows)
        record.sealed.erase(record.sealed.begin());
    m_lastAppend = record;
    m_lastAppendAt = now;
    return {.at = m_end.value_or(log_position()), .record = std::move(record)};
}

auto usage_duty::onRead(std::optional<duty_record> record, const log_position &end, time_point now)
    -> void
{
    m_isActionInProgress = false;
    m_mustRead = false;
    m_readAt = now;
    // An append of this process that was not confirmed did take effect.
    if (record && m_lastAppend && record->nonce == m_lastAppend->nonce)
        m_holdsUntil = m_lastAppendAt + m_options.term - m_options.margin;
    setRecord(std::move(record), end, now);
}

auto usage_duty::setRecord(std::optional<duty_record> record, const log_position &end,
                           time_point seenAt) -> void
{
    const bool isNew = !record || !m_record || record->nonce != m_record->nonce;
    if (isNew)
        m_recordSeenAt = seenAt;
    m_record = std::move(record);
    m_end = end;
    if (!m_record)
        return;
    m_reportedTo = std::max(m_reportedTo, m_record->reportedTo);
    if (!m_record->sealed.empty())
        m_sealedTo = std::max(m_sealedTo, m_record->sealed.rbegin()->first);
}

auto usage_duty::onReadFailed(time_point now) -> void
{
    m_isActionInProgress = false;
    m_mustRead = true;
    backOff(now);
}

auto usage_duty::onAppend(const log_append_outcome &outcome, time_point now) -> void
{
    m_isActionInProgress = false;
    if (const auto *appended = std::get_if<log_appended>(&outcome)) {
        m_holdsUntil = m_lastAppendAt + m_options.term - m_options.margin;
        setRecord(m_lastAppend, appended->end, now);
        m_readAt = now;
        return;
    }
    m_mustRead = true;
    if (std::holds_alternative<log_unavailable>(outcome))
        backOff(now);
}

auto usage_duty::onReport(std::int64_t window, bool accepted, time_point now) -> void
{
    m_isActionInProgress = false;
    if (!accepted) {
        backOff(now);
        return;
    }
    m_reported.insert(window);
    // Windows before the first one in the record can no longer be reported.
    const auto first
        = m_record && !m_record->sealed.empty() ? m_record->sealed.begin()->first : window;
    m_reportedTo = std::max(m_reportedTo, first - 1);
    while (m_reported.erase(m_reportedTo + 1) > 0)
        ++m_reportedTo;
}

auto usage_duty::markSealed(std::int64_t window) -> void
{
    // The holder's own record is authoritative. For others this only saves a read, because the
    // record is read before the next append.
    if (!isHolder())
        m_sealedTo = std::max(m_sealedTo, window);
}

auto usage_duty::backOff(time_point now) -> void
{
    m_retryAt = now + m_options.retryAfter;
}

} // namespace mustardline
