#pragma once

// Timing of a graceful shutdown, relative to the signal.
//
//     shutdown_schedule schedule{.grace = 8s};
//     if (schedule.rejectsRequests(now - signalledAt)) ...
//
// The load balancer probes once a second and removes a process after two failed probes, so requests
// arrive for about three more seconds. Accepted requests must be able to complete before the kill.

#include "base/clock.h"

namespace mustardline {

struct shutdown_schedule
{
    // Time from the signal to the kill.
    duration grace = std::chrono::seconds(8);

    // New connections are rare by now. Idle keep-alive connections are closed, so that no request
    // arrives on them that could not be completed.
    [[nodiscard]] auto closesIdleConnections(duration elapsed) const -> bool
    {
        return elapsed >= grace * closeIdleTenths / tenths;
    }

    // New requests are rejected: the rest of the grace period is for those accepted before.
    [[nodiscard]] auto rejectsRequests(duration elapsed) const -> bool
    {
        return elapsed >= grace * acceptTenths / tenths;
    }

    // Requests that still wait for a place are rejected, while their callers have time to go to
    // another process. No request is placed from now on: half of the grace period is left for those
    // that endpoints have.
    [[nodiscard]] auto stopsPlacing(duration elapsed) const -> bool
    {
        return elapsed >= grace * placeTenths / tenths;
    }

    // The process exits: it is out of rotation and idle, or the kill is near.
    [[nodiscard]] auto exits(duration elapsed, bool isIdle) const -> bool
    {
        if (elapsed >= grace - flushMargin)
            return true;
        return isIdle && elapsed >= grace * minExitTenths / tenths;
    }

private:
    static constexpr int tenths = 10;
    static constexpr int closeIdleTenths = 2;
    static constexpr int acceptTenths = 3;
    static constexpr int placeTenths = 5;
    static constexpr int minExitTenths = 4;
    // Time for the last responses to reach their callers.
    static constexpr duration flushMargin = std::chrono::milliseconds(700);
};

} // namespace mustardline
