#pragma once

// What requests ask of the endpoints that read prompts, by lane; entries tell each other these sums
// so that all divide the endpoints alike (see prompt_placement.h).

#include <algorithm>
#include <array>
#include <cstddef>

namespace mustardline {

// One for short prompts and one for long ones, in this order.
inline constexpr std::size_t promptLanes = 2;

// What the requests of each lane, short prompts first, asked for lately, in seconds of an endpoint.
struct lane_needs
{
    struct lane
    {
        double reading = 0;
        double holding = 0;
    };
    std::array<lane, promptLanes> lanes;

    auto operator+=(const lane_needs &other) -> lane_needs &
    {
        for (std::size_t at = 0; at < lanes.size(); ++at) {
            lanes[at].reading += other.lanes[at].reading;
            lanes[at].holding += other.lanes[at].holding;
        }
        return *this;
    }
    // The time of endpoints that a lane needs. Both resources are there at once, so the one that is
    // short counts.
    [[nodiscard]] auto of(std::size_t lane) const -> double
    {
        return std::max(lanes[lane].reading / readingFill, lanes[lane].holding / holdingFill);
    }

private:
    // The part of its time that an endpoint reads at most, for prompts not to wait for long.
    static constexpr double readingFill = 0.6;
    // The part of its places that is held at most: all answers slow down as places fill.
    static constexpr double holdingFill = 0.35;
};

} // namespace mustardline
