#pragma once

// What a process that was asked to end does when, counted from the signal.
//
//     stop_schedule schedule{.grace = 8s};
//     if (schedule.refuses(now - stopAt)) ...
//
// The balancer asks once a second and takes a process out after two misses, so requests come for
// some three seconds more; what is taken must have time to end before the kill.

#include "base/clock.h"

namespace mustardline {

struct stop_schedule
{
    // From the signal to the kill.
    duration grace = std::chrono::seconds(8);

    // New connections hardly come any more; kept ones are closed, so that they bring nothing that
    // could not be finished.
    [[nodiscard]] auto closesIdle(duration spent) const -> bool
    {
        return spent >= grace * idleTenths / tenths;
    }

    // Requests are refused: the rest of the grace is for what was taken.
    [[nodiscard]] auto refuses(duration spent) const -> bool
    {
        return spent >= grace * takingTenths / tenths;
    }

    // The process ends: it is out of rotation and nothing is under way, or the kill is near.
    [[nodiscard]] auto ends(duration spent, bool isIdle) const -> bool
    {
        if (spent >= grace - margin)
            return true;
        return isIdle && spent >= grace * rotationTenths / tenths;
    }

private:
    static constexpr int tenths = 10;
    static constexpr int idleTenths = 2;
    static constexpr int takingTenths = 3;
    static constexpr int rotationTenths = 4;
    // For the last answers to reach their callers.
    static constexpr duration margin = std::chrono::milliseconds(700);
};

} // namespace mustardline
