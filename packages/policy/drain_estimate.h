#pragma once

// How fast the requests of one target get their turn, and when a refused caller should come back.
//
// While requests wait, every place is in use, so places come free at the number in flight divided
// by the mean time that one is held (Little's law). That follows a change of capacity at once,
// without waiting for a rate to be measured. Refused callers are told times one drain interval
// apart, so that they do not come back together:
//
//     drain_estimate drain;
//     drain.served(heldFor);
//     drain.waitFor(requestsAhead, inFlight, earlierArrivalsPerSecond);
//     drain.retryAfter(wait, inFlight, random, now);

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/clock.h"
#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {

// Events per second, faded with a time constant of a few seconds.
class rate_meter
{
public:
    auto count(time_point now) -> void
    {
        m_level = levelAt(now) + 1 / fadeSeconds;
        m_countedAt = now;
    }

    [[nodiscard]] auto perSecond(time_point now) const -> double { return levelAt(now); }

private:
    static constexpr double fadeSeconds = 4;

    [[nodiscard]] auto levelAt(time_point now) const -> double
    {
        const auto seconds = toSeconds(now - m_countedAt);
        return m_level * std::exp(-seconds / fadeSeconds);
    }

    double m_level = 0;
    time_point m_countedAt{};
};

class drain_estimate
{
public:
    // A placed request ended after holding its place for `held`.
    auto served(duration held) -> void
    {
        const auto sample = toSeconds(held);
        m_holdSeconds
            = m_holdSeconds == 0 ? sample : m_holdSeconds + (sample - m_holdSeconds) * weight;
    }

    [[nodiscard]] auto isKnown() const -> bool { return m_holdSeconds > 0; }

    // Places that come free each second.
    [[nodiscard]] auto perSecond(std::uint32_t inFlight) const -> double
    {
        return isKnown() ? std::max(1U, inFlight) / m_holdSeconds : 0;
    }

    // Time until a request with `ahead` others before it is placed, when requests that go before
    // it keep arriving at `earlierPerSecond`. Zero if nothing is known.
    [[nodiscard]] auto waitFor(std::uint32_t ahead, std::uint32_t inFlight,
                               double earlierPerSecond) const -> duration
    {
        if (!isKnown())
            return {};
        const auto drain = perSecond(inFlight);
        const auto left = std::max(drain - earlierPerSecond, drain * leastPart);
        return fromSeconds((ahead + 1) / left);
    }

    // The time for a refused caller: after `wait`, and after those told before it.
    auto retryAfter(duration wait, std::uint32_t inFlight, random_source &random, time_point now)
        -> duration
    {
        const auto gap = isKnown() ? fromSeconds(1 / perSecond(inFlight)) : shortest;
        m_nextReturn = std::max(m_nextReturn, now + std::max(wait, shortest)) + gap;
        m_nextReturn = std::min(m_nextReturn, now + longest);
        const auto base = toSeconds(m_nextReturn - now);
        return fromSeconds(base * (1 - spread + 2 * spread * random.uniform()));
    }

private:
    static constexpr double weight = 1.0 / 32; // of a new sample
    // An estimate never leaves less than this part of the drain to a class.
    static constexpr double leastPart = 0.02;
    static constexpr double spread = 0.25;
    static constexpr duration shortest = std::chrono::milliseconds(200);
    static constexpr duration longest = std::chrono::seconds(60);

    double m_holdSeconds = 0;
    time_point m_nextReturn{};
};

} // namespace mustardline
