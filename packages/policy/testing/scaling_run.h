#pragma once

// Plays a day's curve of demand, made short, against the scaler: what is paid against what is
// needed.
//
// Demand is a number of places that follows a wave with seeded noise and a sudden rush. Endpoints
// start after a time, cold, and the weight store bounds how many do so at once. A request is
// counted as unserved while the demand exceeds the places of the endpoints that run.

#include <cstdint>

#include "base/clock.h"

namespace mustardline {

struct scaling_workload
{
    duration length = std::chrono::hours(4);
    double meanPlaces = 100;
    // Height of the wave and its period.
    double wave = 0.5;
    duration period = std::chrono::hours(1);
    // Standard deviation of the noise, over its own time of a few seconds.
    double noise = 0.04;
    // A data centre is out from and until these times.
    duration outFrom{};
    duration outUntil{};
};

struct scaling_report
{
    double paidSeconds = 0;
    // With the demand known in advance: whole endpoints at full use, each moment.
    double leastSeconds = 0;
    // Part of the demand that found no place.
    double unserved = 0;
    std::uint32_t mostStartingAtOnce = 0;
    // Seconds in which an endpoint of a data centre that is out was given new work.
    std::uint32_t secondsWorkedOut = 0;
    std::uint32_t stopsUnderLoad = 0;
};

[[nodiscard]] auto runScaling(const scaling_workload &load, std::uint64_t seed) -> scaling_report;

} // namespace mustardline
