#pragma once

// Client of the platform's interface for endpoint orders, and the check of the lease before each
// order.
//
//     orders_client orders(http, address);
//     sendOrders(orders, lease, clock, actions.orders, [&](const auto &orderId, bool accepted) {
//         reconciler.answered(orderId, accepted); });
//     orders.list("tuzla", [&](const result<std::vector<listed_endpoint>> &found) { ... });
//
// To support another platform, provide a type that models `orders_interface`.

#include <concepts>
#include <functional>
#include <span>
#include <vector>

#include "coordination/endpoint_reconciler.h"
#include "coordination/lease_holder.h"
#include "coordination/platform_call.h"

namespace mustardline {

using order_handler = std::function<auto(const status &)->void>;
using list_handler = std::function<auto(const result<std::vector<listed_endpoint>> &)->void>;

// Accepts endpoint orders and lists endpoints.
template<class T>
concept orders_interface = requires(T &orders, const endpoint_order &order, order_handler ordered,
                                    const std::string &dataCentre, list_handler listed)
{
    orders.order(order, std::move(ordered));
    orders.list(dataCentre, std::move(listed));
};

class orders_client
{
public:
    orders_client(http_client &http, socket_address address)
        : m_http(http), m_address(std::move(address))
    {}

    // An order that failed may still have taken effect.
    auto order(const endpoint_order &order, order_handler done) -> void;

    auto list(const std::string &dataCentre, list_handler done) -> void;

private:
    http_client &m_http;
    socket_address m_address;
};

static_assert(orders_interface<orders_client>);

// Sends the orders, checking before each one that the lease is still held with the order's fencing
// token. If it is not, the order is not sent and `done` is called with false.
template<orders_interface Orders, runtime_clock Clock>
auto sendOrders(Orders &orders, const lease_holder &lease, const Clock &clock,
                std::span<const endpoint_order> toSend,
                const std::function<auto(const std::string &orderId, bool accepted)->void> &done)
    -> void
{
    for (const auto &order : toSend) {
        const auto maySend = lease.holds(clock.now()) && lease.fencing() == order.fencing;
        if (!maySend) {
            done(order.orderId, false);
            continue;
        }
        orders.order(order, [done, orderId = order.orderId](const status &answer) {
            done(orderId, failed(answer) == nullptr);
        });
    }
}

} // namespace mustardline
