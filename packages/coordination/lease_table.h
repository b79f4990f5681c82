#pragma once

// The holders of all leases, built from the log's lease stream. A duty is a task that at most one
// process may do at a time; each duty has one lease.
//
//     lease_table leases(firstOffset);       // 1, or the oldest offset that the log still keeps
//     leases.apply(offset, record);          // records in offset order
//     if (const auto *lease = leases.find("orders/tuzla"))
//         use(lease->holder, lease->fencing);
//
// A claim names the newest record of its duty that its writer had read (`previous_offset`). It is
// void if another claim or a release was accepted after that record, as in a compare-and-set. The
// same rule voids duplicates of a record, so the table need not keep the sequence numbers of
// writers. The table does not look at the time; candidates wait for the end of a term
// (lease_holder.h).
//
// A table that starts in the middle of the stream cannot check claims against records that it has
// not seen. A duty stays unknown until a claim names the newest record of the duty that the table
// has seen. No record can lie in between, so every table accepts this claim, and from there on all
// tables agree.
//
// A tenure lasts from the claim with which a holder takes the lease to its release or to the claim
// of another holder. The offset of its first claim is its fencing token; renewals keep it.

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
    // Offset of the newest accepted claim or release.
    std::uint64_t offset = 0;
    // The previous offset that the record at `offset` named.
    std::uint64_t previousOffset = 0;
    // The fencing token: offset of the claim that began the tenure.
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

    // Applies one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // The newest applied offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    // The lease of a duty; null if it was never claimed or is not known yet.
    [[nodiscard]] auto find(std::string_view duty) const -> const lease *;

    // Offset of the newest record of the duty, accepted or void; the next claim must name it.
    [[nodiscard]] auto newestRecordOffset(std::string_view duty) const -> std::uint64_t;

    // Whether `fencing` is the fencing token of the duty's current tenure.
    [[nodiscard]] auto isCurrent(std::string_view duty, std::uint64_t fencing) const -> bool;

    // Whether the table was built from the first record of the stream.
    [[nodiscard]] auto coversWholeStream() const -> bool { return m_firstOffset == 1; }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease_table &) const = default;

private:
    struct duty_state
    {
        bool known = false;
        std::uint64_t newestRecordOffset = 0;
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
