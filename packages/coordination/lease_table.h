#pragma once

// Who holds which lease, folded from the log's lease stream.
//
//     lease_table leases(firstOffset);       // 1, or the oldest offset that the log still keeps
//     leases.apply(offset, record);          // records in offset order
//     if (const auto *lease = leases.find("orders/tuzla"))
//         use(lease->holder, lease->fencing);
//
// A claim names the newest record of its duty that its writer had read, and is void if an accepted
// claim stands after that one. A repeated append is void by the same rule, so no record of writers
// is kept. Time plays no part in the fold: waiting is the contender's business (lease_holder.h).
//
// A table that starts in the middle of the stream cannot judge claims by records that it never saw.
// Such a duty stays unknown until a claim comes that names every record of the duty seen so far;
// nothing can stand between, so every table accepts it, and from there on all tables agree.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log.pb.h"

namespace mustardline {

struct lease
{
    std::string holder;
    // The newest accepted claim or release.
    std::uint64_t offset = 0;
    // The record that `offset` itself named.
    std::uint64_t previousOffset = 0;
    // The claim that began the tenure.
    std::uint64_t fencing = 0;
    duration term{};
    bool released = false;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease &) const = default;
};

class lease_table
{
public:
    lease_table() = default;
    explicit lease_table(std::uint64_t firstOffset) : m_firstOffset(firstOffset) {}

    // Folds one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // The newest folded offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    // The lease of a duty; null if nobody ever claimed it or it is not known yet.
    [[nodiscard]] auto find(std::string_view duty) const -> const lease *;

    // The newest record of the duty, accepted or void: what the next claim must name.
    [[nodiscard]] auto newestRecord(std::string_view duty) const -> std::uint64_t;

    // Whether `fencing` is the number of the duty's present tenure.
    [[nodiscard]] auto isCurrent(std::string_view duty, std::uint64_t fencing) const -> bool;

    // Whether the table saw the stream from its beginning.
    [[nodiscard]] auto sawBeginning() const -> bool { return m_firstOffset == 1; }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease_table &) const = default;

private:
    struct duty_state
    {
        bool known = false;
        std::uint64_t newestRecord = 0;
        lease current;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const duty_state &) const = default;
    };

    auto stateOf(const std::string &duty) -> duty_state &;
    auto applyClaim(std::uint64_t offset, const v1::LeaseClaim &claim) -> void;
    auto applyRelease(std::uint64_t offset, const v1::LeaseRelease &release) -> void;

    std::uint64_t m_firstOffset = 1;
    std::uint64_t m_offset = 0;
    std::map<std::string, duty_state, std::less<>> m_duties;
};

} // namespace mustardline
