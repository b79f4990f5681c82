#pragma once

// Demand for endpoints with chunked prefill, by lane. Entry processes exchange these values so that
// all of them divide the endpoints into the same lanes (see prompt_placement.h), and hold back long
// prompts while any of them has a more urgent short one that it cannot place.

#include <algorithm>
#include <array>
#include <cstddef>

#include "policy/service_order.h"

namespace mustardline {

inline constexpr std::size_t promptLanes = 2;
inline constexpr std::size_t shortLane = 0;
inline constexpr std::size_t longLane = 1;

// Recent demand of each lane, in endpoint-seconds of prefill time and of occupied concurrency.
struct lane_demand
{
    struct lane
    {
        double prefill = 0;
        double occupancy = 0;
    };
    std::array<lane, promptLanes> lanes;
    // The most urgent short prompt that waits for an endpoint or was refused just now; the default
    // if there is none.
    service_order unplaced;

    auto operator+=(const lane_demand &other) -> lane_demand &
    {
        for (std::size_t at = 0; at < lanes.size(); ++at) {
            lanes[at].prefill += other.lanes[at].prefill;
            lanes[at].occupancy += other.lanes[at].occupancy;
        }
        unplaced = std::min(unplaced, other.unplaced);
        return *this;
    }
    // Returns the endpoint-seconds that a lane needs. An endpoint provides both resources at the
    // same time, so the scarcer one counts.
    [[nodiscard]] auto endpointSeconds(std::size_t lane) const -> double
    {
        return std::max(lanes[lane].prefill / maxPrefillFraction,
                        lanes[lane].occupancy / maxOccupancyFraction);
    }

private:
    // The fraction of its time that an endpoint may spend on prefill without long waits for
    // prompts.
    static constexpr double maxPrefillFraction = 0.6;
    // The fraction of its places that may be occupied; all responses slow down as places fill.
    static constexpr double maxOccupancyFraction = 0.35;
};

// How the endpoints of a model or service are divided between its lanes, and the demand of all
// entry processes from which the division follows.
struct lane_division
{
    std::size_t endpoints = 0;
    // Endpoints of the lane for long prompts; the others are in the lane for short ones.
    std::size_t longLaneSize = 0;
    lane_demand demand;
};

} // namespace mustardline
