#pragma once

// A simulation of candidates for one lease over one log, for exhaustive and randomised tests.
//
// In one step a candidate reads the log to its end, applies the records, calls `observe` and
// `tick`, and sends the resulting record, if any. A pending append takes effect at any later time
// or never, and may take effect twice, as after a lost answer. A candidate is paused by not
// stepping it.

#include <string>
#include <vector>

#include "coordination/lease_holder.h"

namespace mustardline {

// The fields of a claim or release that the lease table reads, in a comparable form.
struct simulated_record
{
    bool isClaim = true;
    std::string holder;
    std::uint64_t previousOffset = 0;
    std::uint32_t termMs = 0;
    std::uint64_t fencing = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const simulated_record &) const = default;

    static auto of(const v1::LogRecord &record) -> simulated_record
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
struct lease_simulation
{
    struct candidate
    {
        Table table;
        Holder holder;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const candidate &) const = default;
    };
    struct pending_append
    {
        simulated_record record;
        int copies = 2;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const pending_append &) const = default;
    };

    std::vector<simulated_record> log;
    std::vector<pending_append> pendingAppends;
    std::vector<candidate> candidates;
    time_point now;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease_simulation &) const = default;

    auto addCandidate(lease_holder_options options, std::uint64_t firstOffset = 1) -> void
    {
        candidates.push_back({.table = Table(firstOffset), .holder = Holder(options, now)});
    }

    auto stepCandidate(std::size_t index) -> void
    {
        auto &it = candidates[index];
        for (auto offset = it.table.offset(); offset < log.size(); ++offset)
            it.table.apply(offset + 1, log[offset].toRecord());
        it.holder.observe(it.table, now);
        if (const auto record = it.holder.tick(now))
            pendingAppends.push_back({.record = simulated_record::of(*record)});
    }

    auto deliverAppend(std::size_t index) -> void
    {
        log.push_back(pendingAppends[index].record);
        if (--pendingAppends[index].copies == 0)
            pendingAppends.erase(pendingAppends.begin() + static_cast<std::ptrdiff_t>(index));
    }

    [[nodiscard]] auto holderCount() const -> int
    {
        int count = 0;
        for (const auto &it : candidates)
            count += it.holder.holds(now) ? 1 : 0;
        return count;
    }
};

} // namespace mustardline
