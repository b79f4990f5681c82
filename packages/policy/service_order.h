#pragma once

// The order in which the requests of a target are served: by tier, then by the priority of their
// class. The first in the order is the most urgent.

#include <cstdint>
#include <tuple>

namespace mustardline {

struct service_order
{
    std::uint32_t tier = UINT32_MAX;
    std::uint32_t priority = UINT32_MAX;

    auto operator==(const service_order &) const -> bool = default;
    auto operator<(const service_order &other) const -> bool
    {
        return std::tie(tier, priority) < std::tie(other.tier, other.priority);
    }
};

} // namespace mustardline
