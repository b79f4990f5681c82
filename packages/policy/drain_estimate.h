#pragma once

// How fast the classes of one target get their turn, and when a refused caller should come back.
//
// While requests wait, every place is in use, and a class holds as many places as the classes
// before it leave to it. Each of them comes free after the mean time that the class holds one
// (Little's law), so a class is served at the rate at which places come free that it or a later
// class holds. That follows a change of capacity at once, without a rate having to be measured:
//
//     class_pace pace;
//     pace.started(mayBeStopped);
//     pace.ended(mayBeStopped);
//     pace.freedPerSecond();
//
// What a lower tier holds and may be stopped is a higher tier's at once, and comes free at the
// higher tier's own pace from then on.
//
// Refused callers are told times one drain interval apart, so that they do not come back together:
//
//     return_schedule returns;
//     returns.retryAfter(wait, placesPerSecond, random, now);

#include <algorithm>
#include <cstdint>

#include "base/clock.h"
#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {

// Moves a mean towards a sample; a mean of 0 takes the sample over.
inline auto follow(double &mean, double sample, double weight) -> void
{
    mean = mean == 0 ? sample : mean + (sample - mean) * weight;
}

// What was measured of one class at one target.
class class_pace
{
public:
    // `mayBeStopped` in favour of a higher tier; the same at the end as at the start.
    auto started(bool mayBeStopped) -> void
    {
        ++m_inFlight;
        m_stoppable += mayBeStopped ? 1 : 0;
    }
    auto ended(bool mayBeStopped) -> void
    {
        --m_inFlight;
        m_stoppable -= mayBeStopped ? 1 : 0;
    }

    // A request was answered after holding its place for `held`.
    auto answered(duration held) -> void { follow(m_holdSeconds, toSeconds(held), weight); }
    auto firstToken(duration latency, time_point now) -> void
    {
        const auto sample = toSeconds(latency);
        if (m_firstTokenSeconds == 0)
            m_measuredSince = now;
        follow(m_firstTokenSeconds, sample, weight);
        follow(m_fastFirstTokenSeconds, sample,
               sample < m_fastFirstTokenSeconds ? fallWeight : riseWeight);
    }
    auto token(double seconds) -> void { follow(m_tokenSeconds, seconds, weight); }

    // Moves the mean number in flight towards the present one.
    auto followLoad(double part) -> void { m_load += (m_inFlight - m_load) * part; }

    [[nodiscard]] auto inFlight() const -> std::uint32_t { return m_inFlight; }
    // Those of them that may be stopped in favour of a higher tier.
    [[nodiscard]] auto stoppable() const -> std::uint32_t { return m_stoppable; }
    // Mean number in flight.
    [[nodiscard]] auto load() const -> double { return m_load; }
    // Places held by this class that come free each second; 0 if not known.
    [[nodiscard]] auto freedPerSecond() const -> double
    {
        return m_holdSeconds == 0 ? 0 : std::max<double>(m_inFlight, m_load) / m_holdSeconds;
    }
    // As many places as `places` come free so often if this class holds them; 0 if not known.
    [[nodiscard]] auto freedPerSecond(double places) const -> double
    {
        return m_holdSeconds == 0 ? 0 : places / m_holdSeconds;
    }
    // Mean time to the first token and between tokens; 0 if not known.
    [[nodiscard]] auto firstTokenSeconds() const -> double { return m_firstTokenSeconds; }
    // What the fastest part of the requests needs, without waiting at the endpoint.
    // 0 for the first while, when every endpoint may be as fresh as the next.
    [[nodiscard]] auto fastFirstTokenSeconds(time_point now) const -> double
    {
        return now - m_measuredSince < settleTime ? 0 : m_fastFirstTokenSeconds;
    }
    [[nodiscard]] auto tokenSeconds() const -> double { return m_tokenSeconds; }

private:
    static constexpr double weight = 1.0 / 16; // of a new sample
    // A fall is followed faster than a rise, which leaves about the fastest.
    static constexpr double fallWeight = 0.5;
    static constexpr double riseWeight = 0.01;
    static constexpr duration settleTime = std::chrono::seconds(10);

    std::uint32_t m_inFlight = 0;
    std::uint32_t m_stoppable = 0;
    double m_load = 0;
    double m_holdSeconds = 0;
    double m_firstTokenSeconds = 0;
    double m_fastFirstTokenSeconds = 0;
    time_point m_measuredSince{};
    double m_tokenSeconds = 0;
};

class return_schedule
{
public:
    // The time for a refused caller: after `wait`, and after those told before it.
    auto retryAfter(duration wait, double placesPerSecond, random_source &random, time_point now)
        -> duration
    {
        const auto gap = placesPerSecond > 0 ? fromSeconds(1 / placesPerSecond) : shortest;
        m_next = std::max(m_next, now + std::max(wait, shortest)) + gap;
        m_next = std::min(m_next, now + longest);
        return scaled(m_next - now, 1 - spread + 2 * spread * random.uniform());
    }

private:
    static constexpr double spread = 0.25;
    static constexpr duration shortest = std::chrono::milliseconds(200);
    static constexpr duration longest = std::chrono::seconds(60);

    time_point m_next{};
};

} // namespace mustardline
