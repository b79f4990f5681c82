#pragma once

// Reconciles the endpoints of a data centre with the desired ones, by orders to start or stop an
// endpoint. Acts only while this process holds the lease for the orders of that data centre.
//
//     endpoint_reconciler reconciler({.dataCentre = "tuzla"});
//     reconciler.desire({.endpoint = "endpoint-7", .model = "large", .running = true});
//     auto actions = reconciler.tick(orders, {.now = ..., .holdsLease = lease.holds(now),
//                                             .fencing = lease.fencing()});
//     append(actions.records);        // no answer needed: they are read back from the log
//     if (actions.list)
//         client.list(..., [&](auto &found) { reconciler.listed(*actions.list, found); });
//     sendOrders(client, lease, clock, actions.orders, ...);   // orders_client.h
//
// The steps of an order:
//
// 1. The platform's list shows that an endpoint differs from what is desired.
// 2. The order is appended to the log under a new id, and is read back.
// 3. It is sent to the platform.
// 4. It is confirmed by a successful answer, or by a later list that shows its id.
//
// Until an order is confirmed no other order is created for its endpoint. If the answer is lost,
// the platform is listed again before the order is resent under the same id. A successor treats the
// logged orders of its predecessor in the same way. So each order takes effect once, whatever
// messages are lost or duplicated, provided that the platform executes each order id only once and
// that its list shows the effect of every order that it has answered.
//
// Endpoints that were not passed to `desire` are left alone.

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

// An endpoint in the platform's list.
struct listed_endpoint
{
    std::string endpoint;
    std::string model;
    endpoint_state state = endpoint_state::starting;
    // The order that led to this state.
    std::string orderId;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const listed_endpoint &) const = default;
};

// An order, as sent to the platform.
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

struct endpoint_reconciler_options
{
    std::string dataCentre;
    // Bound on the starts in progress at the same time; the weight store limits how many of them
    // make progress.
    std::size_t maxStarting = 8;
    // Interval between requests for a list; the shorter one applies while an order waits for a
    // newer list.
    duration listInterval = std::chrono::seconds(10);
    duration pendingListInterval = std::chrono::seconds(1);
    // An append that was not read back, or an order or request for a list that was not answered,
    // counts as lost after this time.
    duration retryAfter = std::chrono::seconds(5);

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const endpoint_reconciler_options &) const = default;
};

struct order_tick
{
    time_point now;
    bool holdsLease = false;
    std::uint64_t fencing = 0;
};

struct order_actions
{
    // Records to append to the lease stream; the caller fills in writer, boot and sequence.
    std::vector<v1::LogRecord> records;
    // Orders to send at once; the lease is to be checked again before each (`sendOrders`).
    std::vector<endpoint_order> orders;
    // If set, the platform is to be listed; the number is to be passed to `listed` with the result.
    std::optional<std::uint64_t> list;
};

class endpoint_reconciler
{
public:
    explicit endpoint_reconciler(endpoint_reconciler_options options)
        : m_options(std::move(options))
    {}

    // Sets the desired state of an endpoint, in place of an earlier one.
    auto desire(const desired_endpoint &desired) -> void { m_desired[desired.endpoint] = desired; }

    // Removes the desired state of an endpoint; it is left alone from now on.
    auto forget(const std::string &endpoint) -> void { m_desired.erase(endpoint); }

    [[nodiscard]] auto tick(const order_ledger &orders, const order_tick &tick) -> order_actions;

    // Processes the platform's list of the endpoints of the data centre, requested as number
    // `list`.
    auto listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void;

    // Processes the answer to an order. An order that was not accepted may still have taken effect.
    auto answered(const std::string &orderId, bool accepted) -> void;

    // Whether the endpoint is in the newest list of this tenure and is not stopping.
    [[nodiscard]] auto isListedAsUp(const std::string &endpoint) const -> bool;

    // The number of endpoints that are not in their desired state according to the newest list.
    [[nodiscard]] auto divergedCount() const -> std::size_t;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const endpoint_reconciler &) const = default;

private:
    // An order whose append was not read back yet.
    struct pending_append
    {
        order_intent intent;
        time_point appendedAt;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const pending_append &) const = default;
    };
    // An order that was read back from the log.
    struct logged_order
    {
        std::string orderId;
        std::optional<time_point> sentAt;
        bool confirmed = false;
        // Lists up to this number were requested before the order's last event and may not show it.
        std::uint64_t staleThroughList = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const logged_order &) const = default;
    };

    [[nodiscard]] auto isDiverged(const desired_endpoint &desired) const -> bool;
    [[nodiscard]] auto countStartsInProgress(const order_ledger &orders) const -> std::size_t;
    auto reconcile(const desired_endpoint &desired, const order_intent *intent,
                   const order_tick &tick, order_actions &actions) -> void;
    auto sendUnconfirmed(const order_intent &intent, logged_order &order, const order_tick &tick,
                         order_actions &actions) -> void;
    auto createOrder(const desired_endpoint &desired, const order_tick &tick,
                     order_actions &actions) -> void;
    auto appendOrder(pending_append &order, const order_tick &tick, order_actions &actions) const
        -> void;
    auto requestList(const order_tick &tick, order_actions &actions) -> void;

    endpoint_reconciler_options m_options;
    std::map<std::string, desired_endpoint> m_desired;

    // The members below belong to one tenure of the lease.
    std::uint64_t m_fencing = 0;
    std::uint64_t m_ordersCreated = 0;
    std::uint64_t m_listsRequested = 0;
    // Lists up to this number were requested in earlier tenures.
    std::uint64_t m_listsBeforeTenure = 0;
    std::uint64_t m_newestListReceived = 0;
    std::optional<time_point> m_listRequestedAt;
    bool m_needsNewerList = false;
    std::map<std::string, listed_endpoint> m_listed;
    std::map<std::string, pending_append> m_pendingAppends;
    std::map<std::string, logged_order> m_loggedOrders;
    std::size_t m_startsInProgress = 0;
};

} // namespace mustardline
