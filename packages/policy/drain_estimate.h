#pragma once

// Estimates how fast the queues of one target drain, and when refused callers should retry.
//
// While requests are queued, every place is in use, and a class holds the places that the earlier
// classes leave to it. A place becomes free after the mean time for which the class holds one
// (Little's law), so a class is served at the rate at which the places held by it and by later
// classes become free. This estimate follows a change of capacity at once, since no rate has to be
// measured:
//
//     class_statistics statistics;
//     statistics.started(isPreemptible);
//     statistics.ended(isPreemptible);
//     statistics.releaseRate();
//
// Places held by preemptible requests of a lower tier are available to a higher tier at once, and
// from then on become free at the rate of the higher tier.
//
// Refused callers are given retry times one service interval apart, so that they do not all retry
// at the same time:
//
//     retry_after_schedule schedule;
//     schedule.retryAfter(wait, placesPerSecond, random, now);

#include <algorithm>
#include <cstdint>

#include "base/clock.h"
#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {

// Updates an exponentially weighted moving average; the first sample replaces a mean of 0.
inline auto updateMean(double &mean, double sample, double weight) -> void
{
    mean = mean == 0 ? sample : mean + (sample - mean) * weight;
}

// Counts and measurements of one class at one target.
class class_statistics
{
public:
    // A request was placed. `isPreemptible` says whether a higher tier may preempt it; `ended` must
    // be called with the same value.
    auto started(bool isPreemptible) -> void
    {
        ++m_inFlight;
        m_preemptible += isPreemptible ? 1 : 0;
    }
    auto ended(bool isPreemptible) -> void
    {
        --m_inFlight;
        m_preemptible -= isPreemptible ? 1 : 0;
    }

    // A request was answered after it had held its place for `held`.
    auto answered(duration held) -> void { updateMean(m_holdSeconds, toSeconds(held), weight); }
    auto firstToken(duration latency, time_point now) -> void
    {
        const auto sample = toSeconds(latency);
        if (m_firstTokenSeconds == 0)
            m_measuredSince = now;
        updateMean(m_firstTokenSeconds, sample, weight);
        updateMean(m_fastFirstTokenSeconds, sample,
                   sample < m_fastFirstTokenSeconds ? lowerWeight : higherWeight);
    }
    auto token(double seconds) -> void { updateMean(m_tokenSeconds, seconds, weight); }

    // Adds the current number in flight to its moving average.
    auto updateMeanLoad(double sampleWeight) -> void
    {
        m_load += (m_inFlight - m_load) * sampleWeight;
    }

    [[nodiscard]] auto inFlight() const -> std::uint32_t { return m_inFlight; }
    // Number in flight that a higher tier may preempt.
    [[nodiscard]] auto preemptible() const -> std::uint32_t { return m_preemptible; }
    // Moving average of the number in flight.
    [[nodiscard]] auto load() const -> double { return m_load; }
    // Rate per second at which the places held by this class become free; 0 if not known.
    [[nodiscard]] auto releaseRate() const -> double
    {
        return m_holdSeconds == 0 ? 0 : std::max<double>(m_inFlight, m_load) / m_holdSeconds;
    }
    // Rate per second at which `places` places become free if this class holds them; 0 if not
    // known.
    [[nodiscard]] auto releaseRate(double places) const -> double
    {
        return m_holdSeconds == 0 ? 0 : places / m_holdSeconds;
    }
    // Mean time to the first token and between tokens; 0 if not known.
    [[nodiscard]] auto firstTokenSeconds() const -> double { return m_firstTokenSeconds; }
    // Time to the first token of about the fastest requests, which did not queue at their endpoint.
    // 0 until `settleTime` after the first measurement, while all endpoints may still be cold.
    [[nodiscard]] auto fastFirstTokenSeconds(time_point now) const -> double
    {
        return now - m_measuredSince < settleTime ? 0 : m_fastFirstTokenSeconds;
    }
    [[nodiscard]] auto tokenSeconds() const -> double { return m_tokenSeconds; }

private:
    static constexpr double weight = 1.0 / 16; // of a new sample
    // Lower samples weigh more than higher ones, so the average stays near the fastest requests.
    static constexpr double lowerWeight = 0.5;
    static constexpr double higherWeight = 0.01;
    static constexpr duration settleTime = std::chrono::seconds(10);

    std::uint32_t m_inFlight = 0;
    std::uint32_t m_preemptible = 0;
    double m_load = 0;
    double m_holdSeconds = 0;
    double m_firstTokenSeconds = 0;
    double m_fastFirstTokenSeconds = 0;
    time_point m_measuredSince{};
    double m_tokenSeconds = 0;
};

class retry_after_schedule
{
public:
    // The retry delay for a refused caller, with jitter: `wait` or more, up to `maxDelay`, and
    // later than the times given to earlier callers.
    auto retryAfter(duration wait, double placesPerSecond, random_source &random, time_point now)
        -> duration
    {
        const auto interval = placesPerSecond > 0 ? fromSeconds(1 / placesPerSecond) : minDelay;
        m_next = std::max(m_next, now + std::max(wait, minDelay)) + interval;
        m_next = std::min(m_next, now + maxDelay);
        return scaled(m_next - now, 1 - jitter + 2 * jitter * random.uniform());
    }

private:
    static constexpr double jitter = 0.25;
    static constexpr duration minDelay = std::chrono::milliseconds(200);
    static constexpr duration maxDelay = std::chrono::seconds(60);

    time_point m_next{};
};

} // namespace mustardline
