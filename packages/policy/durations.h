#pragma once

// Arithmetic on durations that the decision core needs in more than one place.

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace mustardline {

[[nodiscard]] inline auto toSeconds(duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

// At most an hour, which is longer than any wait here.
[[nodiscard]] inline auto fromSeconds(double seconds) -> duration
{
    return duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * 1e9));
}

[[nodiscard]] inline auto scaled(duration value, double factor) -> duration
{
    return duration(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

// `value` doubled `times` times, but at most `most` times.
[[nodiscard]] inline auto doubled(duration value, std::uint32_t times, std::uint32_t most)
    -> duration
{
    return value * (std::int64_t{1} << std::min(times, most));
}

} // namespace mustardline
