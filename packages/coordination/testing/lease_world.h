#pragma once

// A small world of contenders for one lease over one log, for exhaustive and randomised tests.
//
// A contender's step is what its shell does: read the log to its end, fold, observe, tick, and put
// a claim into flight. An append in flight takes effect at any later time, or never, and may take
// effect twice, as after a lost answer. A contender that takes no step is paused.

#include <string>
#include <vector>

#include "coordination/lease_holder.h"

namespace mustardline {

// The parts of a claim or release that the fold looks at, comparable.
struct world_record
{
    bool isClaim = true;
    std::string holder;
    std::uint64_t previousOffset = 0;
    std::uint32_t termMs = 0;
    std::uint64_t fencing = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const world_record &) const = default;

    static auto of(const v1::LogRecord &record) -> world_record
    {
        if (record.has_lease_release())
            return {.isClaim = false,
                    .holder = record.lease_release().holder(),
                    .previousOffset = record.lease_release().previous_offset()};
        const auto &claim = record.lease_claim();
        return {.holder = claim.holder(),
                .previousOffset = claim.previous_offset(),
                .termMs = claim.term_ms(),
                .fencing = claim.fencing()};
    }

    [[nodiscard]] auto toRecord() const -> v1::LogRecord
    {
        v1::LogRecord record;
        if (!isClaim) {
            auto &release = *record.mutable_lease_release();
            release.set_duty("d");
            release.set_holder(holder);
            release.set_previous_offset(previousOffset);
            return record;
        }
        auto &claim = *record.mutable_lease_claim();
        claim.set_duty("d");
        claim.set_holder(holder);
        claim.set_previous_offset(previousOffset);
        claim.set_term_ms(termMs);
        claim.set_fencing(fencing);
        return record;
    }
};

template<class Table, class Holder>
struct lease_world
{
    struct contender
    {
        Table table;
        Holder holder;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const contender &) const = default;
    };
    struct flight
    {
        world_record record;
        int copies = 2;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const flight &) const = default;
    };

    std::vector<world_record> log;
    std::vector<flight> inFlight;
    std::vector<contender> contenders;
    time_point now;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease_world &) const = default;

    auto add(lease_holder_options options, std::uint64_t firstOffset = 1) -> void
    {
        contenders.push_back({.table = Table(firstOffset), .holder = Holder(options, now)});
    }

    auto step(std::size_t index) -> void
    {
        auto &it = contenders[index];
        for (auto offset = it.table.offset(); offset < log.size(); ++offset)
            it.table.apply(offset + 1, log[offset].toRecord());
        it.holder.observe(it.table, now);
        if (const auto record = it.holder.tick(now))
            inFlight.push_back({.record = world_record::of(*record)});
    }

    auto deliver(std::size_t index) -> void
    {
        log.push_back(inFlight[index].record);
        if (--inFlight[index].copies == 0)
            inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
    }

    [[nodiscard]] auto holders() const -> int
    {
        int count = 0;
        for (const auto &it : contenders)
            count += it.holder.holds(now) ? 1 : 0;
        return count;
    }
};

} // namespace mustardline
