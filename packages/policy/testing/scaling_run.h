#pragma once

// Simulates the scaler under a daily demand curve, compressed to a few hours, and compares the
// endpoint time paid with the endpoint time needed.
//
// The demand is a number of places that follows a wave with seeded noise. Starting an endpoint
// takes time, and the weight store limits how many start at once. Demand above the places of the
// running endpoints counts as unserved.

#include <cstdint>

#include "base/clock.h"

namespace mustardline {

struct scaling_workload
{
    duration length = std::chrono::hours(4);
    double meanPlaces = 100;
    // Relative amplitude of the wave, and its period.
    double wave = 0.5;
    duration period = std::chrono::hours(1);
    // Relative standard deviation of the noise, which is correlated over a few seconds.
    double noise = 0.04;
    // One data centre is out of service between these times.
    duration outFrom{};
    duration outUntil{};
};

struct scaling_report
{
    double paidSeconds = 0;
    // Minimum if the demand were known in advance: in each second the smallest sufficient number of
    // endpoints.
    double minSeconds = 0;
    // Fraction of the demand that found no place.
    double unserved = 0;
    std::uint32_t maxConcurrentlyStarting = 0;
    // Endpoint-seconds in which an endpoint of a data centre that is out of service took new
    // requests.
    std::uint32_t secondsWorkedOut = 0;
    std::uint32_t stopsUnderLoad = 0;
};

[[nodiscard]] auto runScaling(const scaling_workload &load, std::uint64_t seed) -> scaling_report;

} // namespace mustardline
