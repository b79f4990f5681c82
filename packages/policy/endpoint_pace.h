#pragma once

// Learns how fast an endpoint is relative to the mean of its service, from the short ones of the
// gaps between the parts of each response and from what other processes measured. Long gaps say
// which prompts were prefilled beside, not how fast the endpoint is.
//
// Load pattern: endpoints of one service whose speeds differ by a constant factor, behind many
// entry processes that each see few requests of any one endpoint. Samples are logarithms relative
// to the mean of the service and limited in size, so that a few late responses have little
// influence. The speed that is used follows in steps of a fixed grid, one at a time: processes then
// mostly use the same speed, and shared prefixes rarely move between endpoints.
//
//     pace_baseline baseline;               // one for each service and kind of sample
//     endpoint_pace pace;                   // one for each endpoint
//     pace.add(baseline.deviation(seconds), now);
//     pace.addReported({.speed = 0.7, .samples = 12}, now);   // of another process
//     const auto time = meanTime * pace.slowness();

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "policy/durations.h"

namespace mustardline {

// Speed relative to the mean of the service (2 is twice as fast), and the number of samples behind
// it.
struct pace_report
{
    double speed = 1;
    double samples = 0;
};

// What a process measured of one endpoint, for the other processes.
struct endpoint_pace_report
{
    std::string endpoint;
    pace_report pace;
};

// Mean of the logarithm of all samples of one kind at one service.
class pace_baseline
{
public:
    // Records a positive time and returns the logarithm of its ratio to the mean.
    auto deviation(double seconds) -> double
    {
        const auto difference = std::log(std::max(seconds, minSeconds)) - m_mean;
        m_mean += difference * std::max(minWeight, 1.0 / ++m_count);
        return m_count < minCount ? 0 : difference;
    }

private:
    static constexpr double minSeconds = 1e-9;
    // Of a new sample.
    static constexpr double minWeight = 0.01;
    // Until this many samples the mean is not known well enough.
    static constexpr std::uint32_t minCount = 16;

    double m_mean = 0;
    std::uint32_t m_count = 0;
};

class endpoint_pace
{
public:
    // `deviation` is the logarithm of the ratio of a time here to the mean of the service.
    auto add(double deviation, time_point now) -> void
    {
        m_own.add(std::clamp(deviation, -maxDeviation, maxDeviation), 1, ownPeriod, now);
        follow(now);
    }

    // Adds what another process measured. Each report counts again when it is repeated, and loses
    // weight within seconds, so that no list of processes is needed.
    auto addReported(const pace_report &report, time_point now) -> void
    {
        if (!(report.speed > 0) || !(report.samples > 0) || !std::isfinite(report.speed))
            return;
        const auto slowness = std::clamp(-std::log(report.speed), -maxDeviation, maxDeviation);
        const auto samples = std::min(report.samples, maxReportedSamples);
        m_others.add(slowness * samples, samples, othersPeriod, now);
        follow(now);
    }

    // What this process measured, without the reports of others.
    [[nodiscard]] auto measured() const -> pace_report
    {
        return {.speed = std::exp(-m_own.sum / std::max(m_own.samples, 1.0)),
                .samples = m_own.samples};
    }
    // True if the other processes should know: its speed is not the mean, or own samples say so.
    [[nodiscard]] auto differs() const -> bool
    {
        return m_step != 0 || std::abs(m_own.sum) >= firstStep * (m_own.samples + 1);
    }

    // Time for a piece of work relative to the mean of the service, and its inverse. Both are 1
    // until the speed differs clearly.
    [[nodiscard]] auto slowness() const -> double { return m_slowness; }
    [[nodiscard]] auto speed() const -> double { return 1 / m_slowness; }

private:
    struct evidence
    {
        double sum = 0;
        double samples = 0;
        time_point at{};

        auto add(double value, double weight, duration period, time_point now) -> void
        {
            const auto decay = std::exp(-toSeconds(now - at) / toSeconds(period));
            sum = sum * decay + value;
            samples = samples * decay + weight;
            at = now;
        }
    };

    // Time constants with which own samples and the reports of others lose weight.
    static constexpr duration ownPeriod = std::chrono::seconds(30);
    static constexpr duration othersPeriod = std::chrono::seconds(5);
    // Bounds the influence of one response and of one process.
    static constexpr double maxDeviation = 1;
    static constexpr double maxReportedSamples = 64;
    // Samples at the mean speed that are assumed beforehand.
    static constexpr double priorSamples = 8;
    // Grid of the logarithm of the speed in use. The first step takes more, so that equal endpoints
    // stay equal.
    static constexpr double stepSize = 0.1;
    static constexpr double firstStep = 0.2;
    static constexpr double hysteresis = 0.075;
    static constexpr int maxStep = 8;
    static constexpr duration stepInterval = std::chrono::milliseconds(500);

    // Returns the logarithm of the slowness.
    [[nodiscard]] auto estimate() const -> double
    {
        return (m_own.sum + m_others.sum) / (m_own.samples + m_others.samples + priorSamples);
    }

    // Moves the speed in use by at most one step of the grid.
    auto follow(time_point now) -> void
    {
        if (now - m_steppedAt < stepInterval)
            return;
        const auto difference = estimate() - m_step * stepSize;
        if (std::abs(difference) < (m_step == 0 ? firstStep : hysteresis))
            return;
        m_step = std::clamp(m_step + (difference > 0 ? 1 : -1), -maxStep, maxStep);
        m_slowness = std::exp(m_step * stepSize);
        m_steppedAt = now;
    }

    evidence m_own;
    evidence m_others;
    int m_step = 0;
    double m_slowness = 1;
    time_point m_steppedAt{};
};

} // namespace mustardline
