#include "base/clock.h"

#include <ctime>

namespace mustardline {

namespace {

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;

auto readClock(clockid_t id) -> std::int64_t
{
    timespec reading{};
    clock_gettime(id, &reading);
    return reading.tv_sec * nanosecondsPerSecond + reading.tv_nsec;
}

} // namespace

auto system_runtime_clock::now() const -> time_point
{
    return {readClock(CLOCK_BOOTTIME)};
}

auto system_runtime_clock::unixNow() const -> unix_milliseconds
{
    return readClock(CLOCK_REALTIME) / nanosecondsPerMillisecond;
}

} // namespace mustardline
