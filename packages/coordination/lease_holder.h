#pragma once

// A candidate for the lease of one duty (lease_table.h): claims the lease, renews it, and tells at
// any instant whether this process holds it.
//
//     lease_holder holder({.duty = "orders/tuzla", .holder = entryAndBoot}, clock.now());
//     leases.apply(offset, record);              // apply the records read so far, then
//     holder.observe(leases, clock.now());
//     if (auto record = holder.tick(clock.now()))
//         log.append(nameAndSerialise(*record), ignoreTheAnswer);
//     ...
//     if (holder.holds(clock.now()))             // check again right before each order
//         send(order, holder.fencing());
//
// The state of a lease follows only from the records read back from the log, never from the answer
// to an append, so a lost answer does no harm.
//
// The holder counts the term from an instant before the claim was sent, and stops acting one margin
// before the term ends. A candidate waits for a whole term and a margin after it read the duty's
// newest record. Two candidates therefore never hold the lease at the same time, provided that over
// one term their clocks drift apart by less than two margins and that a claim is read only after it
// was sent.
//
// `holds` is valid only for the instant passed to it. It does not cover a pause between the call
// and the arrival of the order; for that, the receiver checks the fencing token (docs/design).

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "coordination/lease_table.h"

namespace mustardline {

struct lease_holder_options
{
    std::string duty;
    // Unique per start of a process.
    std::string holder;
    duration term = std::chrono::seconds(10);
    // Allowance for clock drift; at least the largest drift to be expected over one term.
    duration margin = std::chrono::seconds(1);
    // Age of a claim at which it is renewed.
    duration renewAfter = std::chrono::seconds(4);
    // Pause before a claim that was not read back is sent again.
    duration retryAfter = std::chrono::seconds(2);
};

class lease_holder
{
public:
    // `now` is taken as the time at which this candidate began to read the stream.
    lease_holder(lease_holder_options options, time_point now);

    // Updates the state from a table that has applied the records read until `now`.
    auto observe(const lease_table &leases, time_point now) -> void;

    // The claim or release to append now, if any. The caller fills in its writer, boot and
    // sequence.
    [[nodiscard]] auto tick(time_point now) -> std::optional<v1::LogRecord>;

    // Whether this process holds the lease at `now`.
    [[nodiscard]] auto holds(time_point now) const -> bool;

    // The fencing token to send with orders; meaningful only while `holds` is true.
    [[nodiscard]] auto fencing() const -> std::uint64_t { return m_observed.fencing; }

    // Ends the tenure: `holds` is false from now on, the next tick releases the lease in the log,
    // and it is not claimed again.
    auto release() -> void { m_releasing = true; }

    // Whether `release` was called and its record, if one was needed, was read back.
    [[nodiscard]] auto isReleased() const -> bool { return m_releasing && !isHolder(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease_holder &) const = default;

private:
    // The newest claim that was sent. Resending keeps `firstSentAt`, because any of the copies may
    // take effect.
    struct sent_claim
    {
        std::uint64_t previousOffset = 0;
        time_point firstSentAt;
        time_point lastSentAt;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const sent_claim &) const = default;
    };

    [[nodiscard]] auto isHolder() const -> bool;
    [[nodiscard]] auto shouldClaim(time_point now) const -> bool;
    [[nodiscard]] auto makeClaim(time_point now) -> v1::LogRecord;
    [[nodiscard]] auto makeRelease(time_point now) -> std::optional<v1::LogRecord>;

    std::string m_duty;
    std::string m_holder;
    duration m_term;
    duration m_margin;
    duration m_renewAfter;
    duration m_retryAfter;

    lease m_observed;
    std::uint64_t m_newestRecordOffset = 0;
    time_point m_newestRecordReadAt;
    // No process can hold the lease: the table covers the whole stream and has no record of the
    // duty.
    bool m_neverClaimed = false;

    std::optional<sent_claim> m_sentClaim;
    // When the accepted claim was first sent; the term begins here.
    std::optional<time_point> m_termStart;
    std::optional<time_point> m_releaseSentAt;
    bool m_releasing = false;
};

} // namespace mustardline
