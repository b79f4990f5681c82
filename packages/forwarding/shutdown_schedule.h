#pragma once

// Timing of a graceful shutdown, relative to the signal.
//
//     shutdown_schedule schedule{.grace = 8s};
//     if (schedule.rejectsRequests(now - signalledAt)) ...
//
// The load balancer probes once a second and removes a process after two failed probes, so requests
// arrive for about three more seconds. Accepted requests must be able to complete before the kill.

#include <algorithm>

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

    // The requests that endpoints still have get their final responses, so that no connection ends
    // without one.
    [[nodiscard]] auto endsRequests(duration elapsed) const -> bool
    {
        return elapsed >= grace * endRequestsEighths / eighths;
    }

    // The process exits: it is out of rotation and idle, or the kill is near. Between
    // `endsRequests` and the exit, the last responses reach their callers.
    [[nodiscard]] auto exits(duration elapsed, bool isIdle) const -> bool
    {
        if (endsRequests(elapsed))
            return elapsed >= grace - std::min(maxFlushMargin, grace / tenths);
        return isIdle && elapsed >= grace * minExitTenths / tenths;
    }

private:
    static constexpr int tenths = 10;
    static constexpr int closeIdleTenths = 2;
    static constexpr int acceptTenths = 3;
    static constexpr int placeTenths = 5;
    static constexpr int minExitTenths = 4;
    static constexpr int eighths = 8;
    // Late, because endpoints may still complete the requests.
    static constexpr int endRequestsEighths = 7;
    // Time between the exit and the kill.
    static constexpr duration maxFlushMargin = std::chrono::milliseconds(700);
};

} // namespace mustardline
