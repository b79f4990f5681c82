#pragma once

// The demand for scaled models over all entries, folded from the reports in the log's lease stream.
//
//     demand_table demand;
//     demand.apply(offset, record, clock.now());     // records in offset order
//     const auto sum = demand.sum("large", clock.now());
//
// The newest report of each entry counts, for three of its intervals: an entry that is gone, or cut
// off from the log, drops out of the sum. Repeats and late records are dropped: within a boot by
// the sequence, between two boots of an entry, which are random numbers, by when they were written.
// An entry whose clock was set back over its restart is left out until the clock has caught up, for
// `rowLifetime` at most. The same records taken at the same times give the same table. Silence is
// measured by the reader's clock, because those of the entries differ; so a table that is filled
// from old records is true only once it has been at the head of the stream for three intervals.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log.pb.h"

namespace mustardline {

// In requests, as v1::TierDemand.
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
    // Longest interval that a report may name.
    static constexpr duration longestInterval = std::chrono::seconds(60);
    // Intervals without a report after which an entry counts as gone.
    static constexpr int silentIntervals = 3;
    // An entry silent for so long is forgotten, with the boot that it had.
    static constexpr duration rowLifetime = std::chrono::minutes(10);

    // Folds one record. Offsets at or below the newest folded are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record, time_point now) -> void;

    // The demand for a model over all entries that are not silent.
    [[nodiscard]] auto sum(std::string_view model, time_point now) const -> model_demand;

    // Entries whose report counts.
    [[nodiscard]] auto entryCount(time_point now) const -> std::size_t;

private:
    struct entry_row
    {
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;
        unix_milliseconds writtenAt = 0;
        time_point heardAt{};
        duration interval{};
        std::map<std::string, model_demand, std::less<>> models;

        [[nodiscard]] auto counts(time_point now) const -> bool
        {
            return now - heardAt < interval * silentIntervals;
        }
    };

    [[nodiscard]] static auto isNewer(const entry_row &row, const v1::LogRecord &record) -> bool;
    auto forgetSilent(time_point now) -> void;

    std::uint64_t m_offset = 0;
    std::map<std::string, entry_row, std::less<>> m_entries;
    time_point m_forgetAt{};
};

} // namespace mustardline
