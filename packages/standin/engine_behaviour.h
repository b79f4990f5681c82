#pragma once

// Response behaviour of the stand-in engine, and how its speed depends on its load.
//
// All running requests share one batch. With the number of running requests, the time per token
// grows linearly up to the effective capacity and quadratically beyond it; the time to the
// first token is constant up to the capacity and grows cubically beyond it. The effective capacity
// of a cold engine is at most `coldCapacity`.

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace mustardline::standin {

struct engine_behaviour
{
    // Time to the first token and time per token, with one running request.
    duration firstToken = std::chrono::milliseconds(20);
    duration token = std::chrono::milliseconds(5);
    // Response length in tokens when the request has no `max_tokens`.
    std::uint32_t tokens = 16;
    // Concurrent requests that a warm engine serves without overload.
    std::uint32_t capacity = 32;
    bool cold = false;
    // The same for a cold engine.
    std::uint32_t coldCapacity = 2;
    // Exits the process after this many more tokens; 0 means never.
    std::uint32_t dieAfterTokens = 0;
    // Truncates each response in a way that is valid HTTP: a stream lacks its final events, a
    // non-streamed body ends in the middle of its JSON.
    bool closeWithoutEnd = false;
};

[[nodiscard]] inline auto effectiveCapacity(const engine_behaviour &behaviour) -> std::uint32_t
{
    return std::max(1U, behaviour.cold ? std::min(behaviour.coldCapacity, behaviour.capacity)
                                       : behaviour.capacity);
}

// Running requests divided by the effective capacity.
[[nodiscard]] inline auto loadFactor(const engine_behaviour &behaviour, std::size_t running)
    -> double
{
    return static_cast<double>(running) / effectiveCapacity(behaviour);
}

[[nodiscard]] inline auto scaled(duration base, double factor) -> duration
{
    return duration(static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

// Duration of one batch step, which produces one token for each running request.
[[nodiscard]] inline auto tokenDelay(const engine_behaviour &behaviour, std::size_t running)
    -> duration
{
    // A step at full capacity takes 1.5 times the unloaded token time.
    constexpr double growth = 0.5;
    const auto load = loadFactor(behaviour, running);
    const auto excess = std::max(1.0, load);
    return scaled(behaviour.token, (1 + growth * std::min(1.0, load)) * excess * excess);
}

// Time to the first token of a request; `running` includes the request itself.
[[nodiscard]] inline auto firstTokenDelay(const engine_behaviour &behaviour, std::size_t running,
                                          bool prefixCached) -> duration
{
    constexpr double cachedFraction = 0.5;
    const auto excess = std::max(1.0, loadFactor(behaviour, running));
    const auto fraction = prefixCached ? cachedFraction : 1.0;
    return scaled(behaviour.firstToken, fraction * excess * excess * excess);
}

} // namespace mustardline::standin
