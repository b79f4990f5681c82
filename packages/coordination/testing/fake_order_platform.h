#pragma once

// A fake of the platform's interface for endpoint orders. It executes each order id only once, and
// the list shows the effect at once.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/endpoint_reconciler.h"

namespace mustardline {

struct fake_order_platform
{
    std::map<std::string, listed_endpoint> endpoints;
    std::set<std::string> executedIds;
    // Number of orders that were executed although the endpoint was already in the ordered state.
    int duplicateEffects = 0;
    int effects = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const fake_order_platform &) const = default;

    auto execute(const endpoint_order &order) -> void
    {
        if (!executedIds.insert(order.orderId).second)
            return;
        ++effects;
        const auto isUp = endpoints.contains(order.endpoint);
        duplicateEffects += isUp == (order.action == order_action::start) ? 1 : 0;
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
