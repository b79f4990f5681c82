#pragma once

// The demand for autoscaled models, summed over all entry processes. It is built from the demand
// reports in the log's lease stream.
//
//     demand_table demand;
//     demand.apply(offset, record, clock.now());     // records in offset order
//     const auto sum = demand.sum("large", clock.now());
//
// The sum takes the newest report of each entry process. A report expires after three of its own
// intervals, so a process that has stopped, or cannot reach the log, drops out of the sum.
//
// Duplicate and out-of-order reports are ignored. Within one boot (one run of a process) they are
// ordered by sequence number. Boot ids are random, so reports of different boots are ordered by the
// time at which they were written. A process whose clock was set back across a restart is therefore
// left out of the sum until its clock has caught up, for at most `silentEntryRetention`.
//
// The table is deterministic: the same records applied at the same times give the same table.
// Expiry uses the reader's clock, because the clocks of the writers differ. A table that is filled
// from old records is therefore accurate only after it has been at the head of the stream for three
// intervals.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log.pb.h"

namespace mustardline {

// Numbers of requests, as in v1::TierDemand.
struct tier_demand
{
    double inFlight = 0;
    double waiting = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;

    auto operator==(const tier_demand &) const -> bool = default;
};

struct model_demand
{
    tier_demand paid;
    tier_demand lowestTier;

    auto operator==(const model_demand &) const -> bool = default;
};

class demand_table
{
public:
    // Longer intervals in reports are reduced to this.
    static constexpr duration maxReportInterval = std::chrono::seconds(60);
    // An entry process is left out of the sum after this many intervals without a report.
    static constexpr int reportTimeoutIntervals = 3;
    // The row of an entry process, with its boot id, is removed after this time without a report.
    static constexpr duration silentEntryRetention = std::chrono::minutes(10);

    // Applies one record. Offsets at or below the newest applied offset are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record, time_point now) -> void;

    // The demand for a model, over all reports that have not expired.
    [[nodiscard]] auto sum(std::string_view model, time_point now) const -> model_demand;

    // The number of entry processes whose report has not expired.
    [[nodiscard]] auto liveEntryCount(time_point now) const -> std::size_t;

private:
    struct entry_row
    {
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;
        unix_milliseconds writtenAt = 0;
        time_point receivedAt{};
        duration interval{};
        std::map<std::string, model_demand, std::less<>> models;

        [[nodiscard]] auto isLive(time_point now) const -> bool
        {
            return now - receivedAt < interval * reportTimeoutIntervals;
        }
    };

    [[nodiscard]] static auto isNewer(const entry_row &row, const v1::LogRecord &record) -> bool;
    auto removeExpired(time_point now) -> void;

    std::uint64_t m_offset = 0;
    std::map<std::string, entry_row, std::less<>> m_entries;
    time_point m_nextExpiryCheck{};
};

} // namespace mustardline
