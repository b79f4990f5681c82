#pragma once

// Turns the endpoints that should run in a data centre into orders, while this process holds the
// lease of that data centre's orders.
//
//     order_book book({.dataCentre = "tuzla"});
//     book.desire({.endpoint = "endpoint-7", .model = "large", .running = true});
//     auto actions = book.tick(orders, {.now = ..., .holdsLease = lease.holds(now),
//                                       .fencing = lease.fencing()});
//     append(actions.records);                          // nothing is awaited: read back by fold
//     if (actions.list) client.list(..., [&](auto &found) { book.listed(*actions.list, found); });
//     sendOrders(client, lease, clock, actions.orders, ...);   // orders_client.h
//
// The way of an order: the platform's list shows that the endpoint differs from what is desired;
// the order is written to the log under a new id and read back; it is sent. Whether it took effect
// is settled by its answer, or by a later list that shows its id. Until then no other order is made
// for that endpoint, and after a lost answer the platform is listed again before the order is
// repeated, under the same id. A successor does the same with what its predecessor wrote down. So
// an order has its effect once, whatever is lost or repeated, as long as the platform gives one id
// one effect and its list shows what it has answered.
//
// Endpoints that nobody named by `desire` are left alone.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/order_ledger.h"

namespace mustardline {

struct desired_endpoint
{
    std::string endpoint;
    std::string model;
    bool running = false;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const desired_endpoint &) const = default;
};

enum class endpoint_state : std::uint8_t { starting, running, stopping };

// One endpoint of the platform's list.
struct listed_endpoint
{
    std::string endpoint;
    std::string model;
    endpoint_state state = endpoint_state::starting;
    // The order that brought it into this state.
    std::string orderId;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const listed_endpoint &) const = default;
};

// What the orders interface is sent.
struct endpoint_order
{
    std::string orderId;
    std::string dataCentre;
    order_action action = order_action::start;
    std::string endpoint;
    std::string model;
    std::uint64_t fencing = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const endpoint_order &) const = default;
};

struct order_book_options
{
    std::string dataCentre;
    // Starts under way at once; the weight store bounds how many make progress.
    std::size_t maxStarting = 8;
    // Pause between lists when nothing is awaited, and when something is.
    duration listEvery = std::chrono::seconds(10);
    duration listSoon = std::chrono::seconds(1);
    // After this long an append that was not read back, an order or a list without an answer is
    // taken for lost.
    duration retryAfter = std::chrono::seconds(5);

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const order_book_options &) const = default;
};

struct order_tick
{
    time_point now;
    bool holdsLease = false;
    std::uint64_t fencing = 0;
};

struct order_actions
{
    // To append to the lease stream; writer, boot and sequence are left open.
    std::vector<v1::LogRecord> records;
    // To send at once, each after the lease was checked again.
    std::vector<endpoint_order> orders;
    // The number under which to answer `listed`, if the platform is to be listed.
    std::optional<std::uint64_t> list;
};

class order_book
{
public:
    explicit order_book(order_book_options options) : m_options(std::move(options)) {}

    // Sets what an endpoint should do; replaces an earlier wish for it.
    auto desire(const desired_endpoint &wish) -> void { m_desired[wish.endpoint] = wish; }

    // Leaves an endpoint alone from now on.
    auto forget(const std::string &endpoint) -> void { m_desired.erase(endpoint); }

    [[nodiscard]] auto tick(const order_ledger &orders, const order_tick &tick) -> order_actions;

    // Takes the endpoints of the data centre, as the platform listed them for `list`.
    auto listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void;

    // Takes the answer to an order; a failed one may have taken effect.
    auto answered(const std::string &orderId, bool accepted) -> void;

    // Whether the newest list of this tenure shows the endpoint, and not as stopping.
    [[nodiscard]] auto isListedUp(const std::string &endpoint) const -> bool;

    // Endpoints that differ from what is desired, by the newest list.
    [[nodiscard]] auto openCount() const -> std::size_t;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const order_book &) const = default;

private:
    // An order that is not known to be in the log.
    struct unwritten_order
    {
        order_intent intent;
        time_point appendedAt;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const unwritten_order &) const = default;
    };
    // An order that stands in the log.
    struct written_order
    {
        std::string orderId;
        std::optional<time_point> sentAt;
        bool settled = false;
        // Lists up to this one do not show the order's last event.
        std::uint64_t staleList = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const written_order &) const = default;
    };

    [[nodiscard]] auto differs(const desired_endpoint &wish) const -> bool;
    [[nodiscard]] auto startsUnderWay(const order_ledger &orders) const -> std::size_t;
    auto advance(const desired_endpoint &wish, const order_intent *intent, const order_tick &tick,
                 order_actions &actions) -> void;
    auto settle(const order_intent &intent, written_order &order, const order_tick &tick,
                order_actions &actions) -> void;
    auto writeDown(const desired_endpoint &wish, const order_tick &tick, order_actions &actions)
        -> void;
    auto appendOrder(unwritten_order &order, const order_tick &tick, order_actions &actions) const
        -> void;
    auto askForList(const order_tick &tick, order_actions &actions) -> void;

    order_book_options m_options;
    std::map<std::string, desired_endpoint> m_desired;

    // All below belongs to one tenure of the lease.
    std::uint64_t m_fencing = 0;
    std::uint64_t m_ordersMade = 0;
    std::uint64_t m_listsAsked = 0;
    // Lists up to this one were asked for in earlier tenures.
    std::uint64_t m_listsBefore = 0;
    std::uint64_t m_newestList = 0;
    std::optional<time_point> m_listAskedAt;
    bool m_wantsList = false;
    std::map<std::string, listed_endpoint> m_listed;
    std::map<std::string, unwritten_order> m_unwritten;
    std::map<std::string, written_order> m_written;
    std::size_t m_starting = 0;
};

} // namespace mustardline
