#pragma once

// The order in which the requests of a target are served: by tier, then by the priority of their
// class. The first in the order is the most urgent.

#include <compare>
#include <cstdint>

namespace mustardline {

struct service_order
{
    std::uint32_t tier = UINT32_MAX;
    std::uint32_t priority = UINT32_MAX;

    friend auto operator<=>(const service_order &, const service_order &) = default;
};

} // namespace mustardline
