#pragma once

// The queued requests of one class for one target, with fair queueing among client accounts.
//
// The next request is taken from the account that received the least service so far (start-time
// fair queueing); the cost of requests in flight counts twice. An account that was idle starts at
// the current virtual time, so it cannot accumulate credit, and it is served before accounts that
// hold many places until it has its fair share. A burst of one account lengthens only its own
// queue. When the queue is full, the newest request of the account that holds most is shed.
//
//     class_queue queue({.tier = 2, .priority = 0});
//     queue.push(requests, slot);
//     const auto slot = queue.front();
//     queue.start(requests, slot, tokens);              // placed
//     queue.finish(account, chargedTokens, usedTokens); // its place is free again

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "policy/indexed_heap.h"
#include "policy/request_table.h"
#include "policy/service_order.h"

namespace mustardline {

struct class_queue_options
{
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    std::uint32_t requestClass = noIndex;

    [[nodiscard]] auto order() const -> service_order
    {
        return {.tier = tier, .priority = priority};
    }
};

class class_queue
{
public:
    explicit class_queue(class_queue_options options) : m_options(options) {}

    auto push(request_table &requests, std::uint32_t slot) -> void;
    // Returns a request that was placed but not run to the front of its account's queue.
    auto pushFront(request_table &requests, std::uint32_t slot) -> void;
    auto remove(request_table &requests, std::uint32_t slot) -> void;

    // The request to place next; the queue must not be empty.
    [[nodiscard]] auto front() const -> std::uint32_t;
    // The request to place in a turn of the class: one that was never placed, of the next account
    // if it has one. Returned requests are at the front of the queues of their accounts and had a
    // placement already; while places are scarce they would use up every turn. The queue must not
    // be empty.
    [[nodiscard]] auto frontForTurn() const -> std::uint32_t;
    // Moves the request from the queue to those in flight, at a cost of `tokens`.
    auto start(request_table &requests, std::uint32_t slot, std::uint32_t tokens) -> void;
    // Ends a request in flight and corrects its cost.
    auto finish(std::uint32_t account, std::uint32_t chargedTokens, std::uint32_t usedTokens)
        -> void;

    // The request that has waited longest; the queue must not be empty.
    [[nodiscard]] auto oldest() const -> std::uint32_t { return m_oldest; }
    // The newest queued request of the account with the most requests, queued and in flight.
    [[nodiscard]] auto newestOfLargestAccount() const -> std::uint32_t;
    // Number of requests of that account; 0 if the queue is empty.
    [[nodiscard]] auto maxHeld() const -> std::uint32_t;
    // Number of requests of an account, queued and in flight.
    [[nodiscard]] auto heldBy(std::uint32_t account) const -> std::uint32_t;
    // Number of requests of this class that would be placed before a new one of the account.
    [[nodiscard]] auto countAhead(std::uint32_t account) const -> std::uint32_t;
    [[nodiscard]] auto waitingAccounts() const -> std::uint32_t;

    [[nodiscard]] auto size() const -> std::uint32_t { return m_size; }
    [[nodiscard]] auto empty() const -> bool { return m_size == 0; }
    [[nodiscard]] auto options() const -> const class_queue_options & { return m_options; }

private:
    // The queue of one account.
    struct account_flow
    {
        std::uint32_t first = noIndex;
        std::uint32_t last = noIndex;
        // The first request that was never placed; neither was any after it.
        std::uint32_t firstUnplaced = noIndex;
        std::uint32_t waiting = 0;
        std::uint32_t inFlight = 0;
        // Virtual start time of its next request.
        double startTag = 0;
        // Tokens charged for its requests in flight.
        double inFlightTokens = 0;
    };

    auto flowOf(std::uint32_t account) -> std::uint32_t;
    auto link(request_table &requests, std::uint32_t slot, bool atFront) -> void;
    auto unlink(request_table &requests, std::uint32_t slot) -> void;
    auto requestAdded(std::uint32_t number) -> void;
    auto updateOrder(std::uint32_t number) -> void;
    [[nodiscard]] auto fairOrder() const;
    [[nodiscard]] auto heldOrder() const;

    class_queue_options m_options;
    std::vector<account_flow> m_flows;
    // Flow number by account number; noIndex if the account has none.
    std::vector<std::uint32_t> m_flowOfAccount;
    indexed_heap m_byFairness;
    indexed_heap m_byHeld;
    double m_virtualTime = 0;
    std::uint32_t m_size = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_oldest = noIndex;
    std::uint32_t m_newest = noIndex;
    // The oldest request that was never placed.
    std::uint32_t m_oldestUnplaced = noIndex;
};

} // namespace mustardline
