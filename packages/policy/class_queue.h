#pragma once

// The waiting requests of one class for one target, shared out fairly among client accounts.
//
// The next request is taken from the account that was given the least work so far (start-time fair
// queueing), where work in flight counts twice. An account that was idle starts at the present
// virtual time, so it cannot save up, and it is served before those that hold many places until it
// has its share; a burst of one account only lengthens its own line. When the queue is
// full the newest request of the account that holds most goes.
//
//     class_queue queue({.tier = 2, .priority = 0});
//     queue.push(requests, slot);
//     const auto slot = queue.front();
//     queue.start(requests, slot, tokens);   // placed
//     queue.finish(account, chargedTokens, usedTokens); // its place is free again

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "policy/indexed_heap.h"
#include "policy/request_table.h"

namespace mustardline {

struct class_queue_options
{
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    std::uint32_t requestClass = noIndex;
};

class class_queue
{
public:
    explicit class_queue(class_queue_options options) : m_options(options) {}

    auto push(request_table &requests, std::uint32_t slot) -> void;
    // Puts back a request that was placed but not run, before others of its account.
    auto pushFront(request_table &requests, std::uint32_t slot) -> void;
    auto remove(request_table &requests, std::uint32_t slot) -> void;

    // The request to place next; the queue must not be empty.
    [[nodiscard]] auto front() const -> std::uint32_t;
    // The request to place in a turn of the class: one that was never placed, of the account that
    // is next if it has any. Those that came back stand first in their lines and were begun
    // already; while places are short they would use up every turn. The queue must not be empty.
    [[nodiscard]] auto turnFront() const -> std::uint32_t;
    // Removes the request and counts it in flight, at a cost of `tokens`.
    auto start(request_table &requests, std::uint32_t slot, std::uint32_t tokens) -> void;
    // Counts it out of flight and corrects the cost.
    auto finish(std::uint32_t account, std::uint32_t chargedTokens, std::uint32_t usedTokens)
        -> void;

    // The request that has waited longest; the queue must not be empty.
    [[nodiscard]] auto oldest() const -> std::uint32_t { return m_oldest; }
    // The newest waiting request of the account that holds most, waiting and in flight.
    [[nodiscard]] auto newestOfLargest() const -> std::uint32_t;
    // How many it holds.
    [[nodiscard]] auto mostHeld() const -> std::uint32_t;
    [[nodiscard]] auto heldBy(std::uint32_t account) const -> std::uint32_t;
    // Requests of this class that would be placed before a new one of the account.
    [[nodiscard]] auto aheadOf(std::uint32_t account) const -> std::uint32_t;
    [[nodiscard]] auto waitingAccounts() const -> std::uint32_t;

    [[nodiscard]] auto size() const -> std::uint32_t { return m_size; }
    [[nodiscard]] auto empty() const -> bool { return m_size == 0; }
    [[nodiscard]] auto options() const -> const class_queue_options & { return m_options; }

private:
    // The line of one account.
    struct flow
    {
        std::uint32_t first = noIndex;
        std::uint32_t last = noIndex;
        // The first that was never placed; all after it are of that kind too.
        std::uint32_t firstNew = noIndex;
        std::uint32_t waiting = 0;
        std::uint32_t inFlight = 0;
        // Virtual time at which its next request may start.
        double startTag = 0;
        // Tokens charged for what is in flight.
        double inFlightTokens = 0;
    };

    auto flowOf(std::uint32_t account) -> std::uint32_t;
    auto link(request_table &requests, std::uint32_t slot, bool atFront) -> void;
    auto unlink(request_table &requests, std::uint32_t slot) -> void;
    auto joined(std::uint32_t number) -> void;
    auto reorder(std::uint32_t number) -> void;
    [[nodiscard]] auto fairOrder() const;
    [[nodiscard]] auto lengthOrder() const;

    class_queue_options m_options;
    std::vector<flow> m_flows;
    // Flow of each account number, or noIndex.
    std::vector<std::uint32_t> m_flowOfAccount;
    indexed_heap m_byShare;
    indexed_heap m_byLength;
    double m_virtualTime = 0;
    std::uint32_t m_size = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_oldest = noIndex;
    std::uint32_t m_newest = noIndex;
    // The oldest that was never placed.
    std::uint32_t m_oldestNew = noIndex;
};

} // namespace mustardline
