#pragma once

// Client of the platform's interface for endpoint orders, and the last check before it.
//
//     orders_client orders(http, address);
//     sendOrders(orders, lease, clock, actions.orders, [&](const auto &orderId, bool accepted) {
//         book.answered(orderId, accepted); });
//     orders.list("tuzla", [&](const result<std::vector<listed_endpoint>> &found) { ... });
//
// Another platform is fitted by another type that meets `orders_interface`.

#include <concepts>
#include <functional>
#include <span>
#include <vector>

#include "coordination/lease_holder.h"
#include "coordination/order_book.h"
#include "coordination/platform_call.h"

namespace mustardline {

using order_handler = std::function<auto(const status &)->void>;
using list_handler = std::function<auto(const result<std::vector<listed_endpoint>> &)->void>;

// What takes endpoint orders and lists endpoints.
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

    // A failed order may have taken effect.
    auto order(const endpoint_order &order, order_handler done) -> void;

    auto list(const std::string &dataCentre, list_handler done) -> void;

private:
    http_client &m_http;
    socket_address m_address;
};

static_assert(orders_interface<orders_client>);

// Sends each order unless the lease has ended since the last; an order that is held back is
// answered as not accepted.
template<orders_interface Orders, runtime_clock Clock>
auto sendOrders(Orders &orders, const lease_holder &lease, const Clock &clock,
                std::span<const endpoint_order> toSend,
                const std::function<auto(const std::string &orderId, bool accepted)->void> &done)
    -> void
{
    for (const auto &order : toSend) {
        const auto mayOrder = lease.holds(clock.now()) && lease.fencing() == order.fencing;
        if (!mayOrder) {
            done(order.orderId, false);
            continue;
        }
        orders.order(order, [done, orderId = order.orderId](const status &answer) {
            done(orderId, failed(answer) == nullptr);
        });
    }
}

} // namespace mustardline
