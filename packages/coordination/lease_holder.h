#pragma once

// One contender for one lease: claims it, renews it, and knows at any instant whether it may act.
//
//     lease_holder holder({.duty = "orders/tuzla", .holder = entryAndBoot}, clock.now());
//     leases.apply(offset, record);              // fold what was read, then
//     holder.observe(leases, clock.now());
//     if (auto record = holder.tick(clock.now()))
//         log.append(nameAndSerialise(*record), ignoreTheAnswer);
//     ...
//     if (holder.holds(clock.now()))             // again right before each order
//         send(order, holder.fencing());
//
// Only what is read back from the log counts, never the answer to an append, so a lost answer
// changes nothing. The term is counted from before the claim was sent, and the holder stops a
// margin early. A contender waits a whole term and a margin from when it read the duty's newest
// record. So two contenders never hold the lease at once, as long as over one term their clocks
// differ by less than two margins and a claim reaches its readers after it was sent.
//
// `holds` is true for the instant that it is given. A pause between `holds` and the arrival of the
// order stays uncovered; the receiver's check of the fencing number closes it (docs/design).

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
    // Allowance for clocks that run apart; at least a term's worth of the worst drift.
    duration margin = std::chrono::seconds(1);
    // Age of a claim at which it is renewed.
    duration renewAfter = std::chrono::seconds(4);
    // Pause before a claim that was not read back is sent again.
    duration retryAfter = std::chrono::seconds(2);
};

class lease_holder
{
public:
    // `now` counts as the time when the contender began to read the stream.
    lease_holder(lease_holder_options options, time_point now);

    // Takes note of what the table says after folding what was read until `now`.
    auto observe(const lease_table &leases, time_point now) -> void;

    // The claim or release to append now, if any; its writer, boot and sequence are left open.
    [[nodiscard]] auto tick(time_point now) -> std::optional<v1::LogRecord>;

    // Whether this contender may act at `now`.
    [[nodiscard]] auto holds(time_point now) const -> bool;

    // The number to put on orders; meaningful while `holds`.
    [[nodiscard]] auto fencing() const -> std::uint64_t { return m_seen.fencing; }

    // Stops acting at once, and gives the lease back with the next tick. Claims no more.
    auto release() -> void { m_releasing = true; }

    // Whether nothing is left to give back after `release`.
    [[nodiscard]] auto isReleased() const -> bool { return m_releasing && !isMine(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const lease_holder &) const = default;

private:
    // A claim that was sent; sending it again keeps the first instant.
    struct sent_claim
    {
        std::uint64_t previousOffset = 0;
        time_point firstSentAt;
        time_point lastSentAt;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const sent_claim &) const = default;
    };

    [[nodiscard]] auto isMine() const -> bool;
    [[nodiscard]] auto shouldClaim(time_point now) const -> bool;
    [[nodiscard]] auto claim(time_point now) -> v1::LogRecord;
    [[nodiscard]] auto giveBack(time_point now) -> std::optional<v1::LogRecord>;

    std::string m_duty;
    std::string m_holder;
    duration m_term;
    duration m_margin;
    duration m_renewAfter;
    duration m_retryAfter;

    lease m_seen;
    std::uint64_t m_newestRecord = 0;
    time_point m_newestReadAt;
    // Nothing can be held by anyone: never claimed, in a table that saw the beginning.
    bool m_neverClaimed = false;

    std::optional<sent_claim> m_sent;
    // When the claim that was read back had been sent first.
    std::optional<time_point> m_heldFrom;
    std::optional<time_point> m_releaseSentAt;
    bool m_releasing = false;
};

} // namespace mustardline
