#include "coordination/demand_table.h"

#include <algorithm>

namespace mustardline {

namespace {

constexpr duration minReportInterval = std::chrono::milliseconds(100);

auto add(const tier_demand &from, tier_demand &to) -> void
{
    to.inFlight += from.inFlight;
    to.waiting += from.waiting;
    to.refused += from.refused;
    to.finished += from.finished;
}

auto fromMessage(const v1::TierDemand &message) -> tier_demand
{
    // NaN would make the sum NaN; comparing with > replaces NaN and negative values by 0.
    return {.inFlight = message.in_flight() > 0 ? message.in_flight() : 0,
            .waiting = message.waiting() > 0 ? message.waiting() : 0,
            .refused = message.refused(),
            .finished = message.finished()};
}

} // namespace

auto demand_table::apply(std::uint64_t offset, const v1::LogRecord &record, time_point now) -> void
{
    if (offset <= m_offset)
        return;
    m_offset = offset;
    if (!record.has_demand_report())
        return;
    removeExpired(now);
    auto &row = m_entries[record.writer()];
    if (!isNewer(row, record))
        return;
    const auto &report = record.demand_report();
    row.boot = record.boot();
    row.sequence = record.sequence();
    row.writtenAt = record.written_unix_ms();
    row.receivedAt = now;
    row.interval = std::clamp<duration>(std::chrono::milliseconds(report.interval_ms()),
                                        minReportInterval, maxReportInterval);
    row.models.clear();
    for (const auto &item : report.models())
        row.models[item.model()]
            = {.paid = fromMessage(item.paid()), .lowestTier = fromMessage(item.lowest_tier())};
}

auto demand_table::sum(std::string_view model, time_point now) const -> model_demand
{
    model_demand total;
    for (const auto &[entry, row] : m_entries) {
        const auto found = row.models.find(model);
        if (!row.isLive(now) || found == row.models.end())
            continue;
        add(found->second.paid, total.paid);
        add(found->second.lowestTier, total.lowestTier);
    }
    return total;
}

auto demand_table::liveEntryCount(time_point now) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_entries, [now](const auto &item) { return item.second.isLive(now); }));
}

auto demand_table::isNewer(const entry_row &row, const v1::LogRecord &record) -> bool
{
    if (record.boot() == row.boot)
        return record.sequence() > row.sequence;
    const auto isFirst = row.sequence == 0;
    return isFirst || record.written_unix_ms() > row.writtenAt;
}

auto demand_table::removeExpired(time_point now) -> void
{
    if (now < m_nextExpiryCheck)
        return;
    m_nextExpiryCheck = now + maxReportInterval;
    std::erase_if(m_entries, [now](const auto &item) {
        return now - item.second.receivedAt >= silentEntryRetention;
    });
}

} // namespace mustardline
