#pragma once

// Arithmetic on durations.

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace mustardline {

[[nodiscard]] inline auto toSeconds(duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

// Limited to one hour, which is longer than any wait in this package.
[[nodiscard]] inline auto fromSeconds(double seconds) -> duration
{
    return duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * 1e9));
}

[[nodiscard]] inline auto scaled(duration value, double factor) -> duration
{
    return duration(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

// Returns `value` doubled `times` times, but at most `maxTimes` times.
[[nodiscard]] inline auto doubled(duration value, std::uint32_t times, std::uint32_t maxTimes)
    -> duration
{
    return value * (std::int64_t{1} << std::min(times, maxTimes));
}

} // namespace mustardline
