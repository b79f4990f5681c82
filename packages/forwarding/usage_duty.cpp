#include "forwarding/usage_duty.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardline {

auto encodeDutyRecord(const duty_record &record) -> std::string
{
    auto sealed = nlohmann::json::array();
    for (const auto &[window, counts] : record.sealed)
        sealed.push_back({{"window", window}, {"counts", counts}});
    return nlohmann::json{{"holder", record.holder},    {"address", record.address},
                          {"fencing", record.fencing},  {"era", record.era},
                          {"nonce", record.nonce},      {"reported_to", record.reportedTo},
                          {"sealed", std::move(sealed)}}
        .dump();
}

auto decodeDutyRecord(std::string_view bytes) -> std::optional<duty_record>
{
    try {
        const auto document = nlohmann::json::parse(bytes);
        duty_record record{.holder = document.at("holder").get<std::string>(),
                           .address = document.value("address", std::string()),
                           .fencing = document.at("fencing").get<std::uint64_t>(),
                           .era = document.value("era", std::uint64_t(0)),
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
    skipUnknownWindows(unixNow, usage);
    const auto unreported = isHolder() ? nextUnreported() : std::nullopt;
    if (unreported && holds(now)) {
        m_isActionInProgress = true;
        return usage_report{
            .window = *unreported,
            .counts = {m_record->sealed[*unreported].begin(), m_record->sealed[*unreported].end()},
            .holder = m_options.holder,
            .fencing = m_record->fencing,
            .timeLeft = m_holdsUntil + m_options.margin - now};
    }
    const auto last = newestToSeal(unixNow, usage);
    if (last <= m_sealedTo && !unreported)
        return std::nullopt;
    if (!mayAppend(now)) {
        if (now - m_readAt <= m_options.maxReadAge)
            return std::nullopt;
        m_isActionInProgress = true;
        return read_duty();
    }
    m_isActionInProgress = true;
    return makeAppend(std::max(last, m_sealedTo), now, usage);
}

// Another holder's record is replaced only after a recent read, and a full term after it was first
// read. The same holds for an era without a record of its own, unless this process holds the duty
// from the era before: nobody else may act before its term ends.
auto usage_duty::mayAppend(time_point now) const -> bool
{
    if (isHolder() && (isCurrent() || now < m_holdsUntil))
        return true;
    const bool isFirst = !m_record && !isAnyInLog() && m_end->era == 0;
    return now - m_readAt <= m_options.maxReadAge
           && (isFirst || now - m_recordSeenAt >= m_options.term);
}

// Skips the windows that a holder may have sealed in an earlier era and that this process does not
// know. The holder itself knows them all, unless another process had time to take over from it.
auto usage_duty::skipUnknownWindows(unix_milliseconds unixNow, const usage_windows &usage) -> void
{
    if (!std::exchange(m_mustSkip, false))
        return;
    const auto newestDue = [&](duration after) {
        return usage.windowOf(unixNow - toMilliseconds(after - m_options.clockTolerance)) - 1;
    };
    if (isHolder() && newestDue(m_options.takeOverAfter) <= m_sealedTo)
        return;
    m_sealedTo = std::max(m_sealedTo, newestDue(m_options.sealAfter));
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
    const bool isAnothers = (m_record || isAnyInLog()) && !isHolder();
    const auto after = isAnothers ? m_options.takeOverAfter : m_options.sealAfter;
    return usage.windowOf(unixNow - toMilliseconds(after)) - 1;
}

auto usage_duty::makeAppend(std::int64_t last, time_point now, const usage_windows &usage)
    -> append_duty
{
    const auto at = m_end.value_or(log_position());
    duty_record record{.holder = m_options.holder,
                       .address = m_options.address,
                       .fencing = std::max((m_record ? m_record->fencing : 0), at.number()) + 1,
                       .era = at.era,
                       .nonce = fmt::format("{}#{}", m_options.holder, ++m_appendCount),
                       .reportedTo = m_reportedTo};
    if (m_record)
        record.sealed = m_record->sealed;
    const auto kept = static_cast<std::int64_t>(m_options.keptWindows);
    // After a long gap, only the newest windows are sealed.
    const auto first = std::max(m_sealedTo + 1, m_record ? last - kept + 1 : last);
    for (auto window = first; window <= last; ++window)
        record.sealed.emplace(window, usage.totals(window));
    while (record.sealed.size() > m_options.keptWindows)
        record.sealed.erase(record.sealed.begin());
    m_lastAppend = record;
    m_lastAppendAt = now;
    return {.at = at, .record = std::move(record), .waited = now - m_recordSeenAt};
}

auto usage_duty::onRead(std::optional<duty_record> record, const log_position &end, time_point now)
    -> void
{
    onEra(end.era, now);
    m_isActionInProgress = false;
    m_mustRead = false;
    m_readAt = now;
    m_end = end;
    if (!record || record->era != end.era) {
        setStaleRecord(record, now);
        return;
    }
    // An append of this process that was not confirmed did take effect.
    if (m_lastAppend && record->nonce == m_lastAppend->nonce)
        m_holdsUntil = m_lastAppendAt + m_options.term - m_options.margin;
    setRecord(std::move(*record), now);
}

auto usage_duty::setRecord(duty_record record, time_point seenAt) -> void
{
    noteLogRecord(record.nonce, seenAt);
    m_mustSkip = false;
    noteWindows(record);
    m_record = std::move(record);
}

// The log holds no record of its era. One of an earlier era comes from the copy, or was appended
// late; its figures may differ from those that were reported, so only its windows count.
auto usage_duty::setStaleRecord(const std::optional<duty_record> &record, time_point seenAt) -> void
{
    const bool isNew = noteLogRecord(record ? record->nonce : "", seenAt);
    if (m_end->era == 0)
        m_record.reset();
    else if (isNew)
        m_mustSkip = true;
    // What this process has appended itself, without an answer, it has not reported.
    const bool isOwn = record && m_lastAppend && record->nonce == m_lastAppend->nonce;
    if (record && !isOwn)
        noteWindows(*record);
}

// Returns whether the log holds another record than when it was last read in this era.
auto usage_duty::noteLogRecord(const std::string &nonce, time_point seenAt) -> bool
{
    if (m_logNonce == nonce)
        return false;
    m_logNonce = nonce;
    m_recordSeenAt = seenAt;
    return true;
}

auto usage_duty::noteWindows(const duty_record &record) -> void
{
    m_reportedTo = std::max(m_reportedTo, record.reportedTo);
    if (!record.sealed.empty())
        m_sealedTo = std::max(m_sealedTo, record.sealed.rbegin()->first);
}

auto usage_duty::onEra(std::uint64_t era, time_point now) -> void
{
    if (m_end && era <= m_end->era)
        return;
    // The end of the log in the new era is not known yet.
    m_end = log_position{.era = era};
    m_mustRead = true;
    m_logNonce.reset();
    m_recordSeenAt = now;
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
        m_end = appended->end;
        setRecord(*m_lastAppend, now);
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
