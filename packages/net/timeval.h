#pragma once

// Conversion of durations to the timeval that libevent expects.

#include <sys/time.h>

#include "base/clock.h"

namespace mustardline {

// Rounded down to whole microseconds.
[[nodiscard]] inline auto toTimeval(duration delay) -> timeval
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(delay).count();
    return {.tv_sec = microseconds / microsecondsPerSecond,
            .tv_usec = microseconds % microsecondsPerSecond};
}

} // namespace mustardline
