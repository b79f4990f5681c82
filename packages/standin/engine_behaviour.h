#pragma once

// How the stand-in engine answers, and how its speed depends on its load.
//
// All running requests share one batch. The time per token grows gently with the number running
// up to what the engine bears, and with the square of the excess beyond; the time to the first
// token grows with its cube. A cold engine bears only `bearable` requests.

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace mustardline::standin {

struct engine_behaviour
{
    // Times of an engine that runs one request.
    duration firstToken = std::chrono::milliseconds(20);
    duration token = std::chrono::milliseconds(5);
    // Tokens of an answer whose request names no `max_tokens`.
    std::uint32_t tokens = 16;
    // Requests that a warm engine bears at once.
    std::uint32_t capacity = 32;
    bool cold = false;
    // Requests that a cold engine bears at once.
    std::uint32_t bearable = 2;
    // Ends the process after this many more tokens; 0 for never.
    std::uint32_t dieAfterTokens = 0;
    // Ends each answer early but properly as far as HTTP can tell: a stream without its final
    // events, a whole answer in the middle of its JSON.
    bool closeWithoutEnd = false;
};

[[nodiscard]] inline auto borneRequests(const engine_behaviour &behaviour) -> std::uint32_t
{
    return std::max(1U, behaviour.cold ? std::min(behaviour.bearable, behaviour.capacity)
                                       : behaviour.capacity);
}

// Number running as a multiple of what the engine bears.
[[nodiscard]] inline auto loadFactor(const engine_behaviour &behaviour, std::size_t running)
    -> double
{
    return static_cast<double>(running) / borneRequests(behaviour);
}

[[nodiscard]] inline auto scaled(duration base, double factor) -> duration
{
    return duration(static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

// Time of one step of the batch, which yields one token of each running request.
[[nodiscard]] inline auto tokenDelay(const engine_behaviour &behaviour, std::size_t running)
    -> duration
{
    // A full batch takes half as long again as a single request.
    constexpr double growth = 0.5;
    const auto load = loadFactor(behaviour, running);
    const auto excess = std::max(1.0, load);
    return scaled(behaviour.token, (1 + growth * std::min(1.0, load)) * excess * excess);
}

// Time to the first token of a request that makes `running` requests in all.
[[nodiscard]] inline auto firstTokenDelay(const engine_behaviour &behaviour, std::size_t running,
                                          bool prefixCached) -> duration
{
    constexpr double cachedShare = 0.5;
    const auto excess = std::max(1.0, loadFactor(behaviour, running));
    const auto share = prefixCached ? cachedShare : 1.0;
    return scaled(behaviour.firstToken, share * excess * excess * excess);
}

} // namespace mustardline::standin
