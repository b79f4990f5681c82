#pragma once

// Limits the number of retries of an account or an endpoint, and computes their backoff.
//
// Each request adds a fraction of a retry to the budget and each retry takes one from it, so that
// retries remain a fixed fraction of the traffic when all requests fail.
//
//     retry_budget budget;
//     budget.recordRequest();
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
    auto recordRequest() -> void { m_balance = std::min(m_balance + creditPerRequest, maxBalance); }

    [[nodiscard]] auto hasLeft() const -> bool { return m_balance >= 1; }

    auto take() -> bool
    {
        if (!hasLeft())
            return false;
        m_balance -= 1;
        return true;
    }

private:
    static constexpr float creditPerRequest = 0.2F;
    static constexpr float maxBalance = 50;
    float m_balance = 10;
};

// Delay before retry number `attempt`, counted from 1: exponential, and random between half of the
// maximum and the maximum.
[[nodiscard]] inline auto retryBackoff(std::uint32_t attempt, random_source &random) -> duration
{
    constexpr duration base = std::chrono::milliseconds(10);
    constexpr std::uint32_t maxDoublings = 6;
    const auto maxDelay = doubled(base, attempt, maxDoublings);
    return scaled(maxDelay, 0.5 + random.uniform() / 2);
}

} // namespace mustardline
