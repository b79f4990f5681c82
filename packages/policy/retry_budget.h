#pragma once

// How many retries may follow the requests of an account or to an endpoint, and when.
//
// Each first try adds a part of a retry and each retry takes a whole one, so that retries stay a
// fixed part of the traffic when everything fails at once.
//
//     retry_budget budget;
//     budget.requested();
//     if (budget.take()) ...

#include <algorithm>
#include <cstdint>

#include "base/clock.h"
#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {

class retry_budget
{
public:
    auto requested() -> void { m_left = std::min(m_left + perRequest, highest); }

    auto take() -> bool
    {
        if (m_left < 1)
            return false;
        m_left -= 1;
        return true;
    }

private:
    static constexpr float perRequest = 0.2F;
    static constexpr float highest = 50;
    float m_left = 10;
};

// Pause before retry number `attempt` (from 1): doubles, and is spread over its upper half.
[[nodiscard]] inline auto retryBackoff(std::uint32_t attempt, random_source &random) -> duration
{
    constexpr duration shortest = std::chrono::milliseconds(10);
    constexpr std::uint32_t longestDoublings = 6;
    const auto longest = doubled(shortest, attempt, longestDoublings);
    return scaled(longest, 0.5 + random.uniform() / 2);
}

} // namespace mustardline
