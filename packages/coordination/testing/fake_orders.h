#pragma once

// The platform's side of endpoint orders: one id has one effect, and the list shows effects at
// once.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/order_book.h"

namespace mustardline {

struct fake_orders
{
    std::map<std::string, listed_endpoint> endpoints;
    std::set<std::string> known;
    // Orders that took effect although the endpoint already was as ordered.
    int doubled = 0;
    int effects = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const fake_orders &) const = default;

    auto take(const endpoint_order &order) -> void
    {
        if (!known.insert(order.orderId).second)
            return;
        ++effects;
        const auto isUp = endpoints.contains(order.endpoint);
        doubled += isUp == (order.action == order_action::start) ? 1 : 0;
        if (order.action == order_action::stop)
            endpoints.erase(order.endpoint);
        else
            endpoints[order.endpoint] = {.endpoint = order.endpoint,
                                         .model = order.model,
                                         .state = endpoint_state::running,
                                         .orderId = order.orderId};
    }

    [[nodiscard]] auto list() const -> std::vector<listed_endpoint>
    {
        std::vector<listed_endpoint> all;
        for (const auto &[id, item] : endpoints)
            all.push_back(item);
        return all;
    }
};

} // namespace mustardline
