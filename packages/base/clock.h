#pragma once

// The clock abstraction that all time-dependent code uses.
//
// Such code is written against the `runtime_clock` concept: production binaries inject
// `system_runtime_clock`, tests inject `manual_clock`, which advances only when told to:
//
//     manual_clock clock;
//     lease_holder holder({.term = 6s}, clock.now());
//     clock.advance(7s);
//
// A clock has two readings. `now()` is monotonic and keeps counting while the machine is suspended
// or the process is stopped, as leases and timeouts require. `unixNow()` is the wall clock and is
// used only for values that leave the process, such as usage windows.

#include <chrono>
#include <concepts>
#include <cstdint>

namespace mustardline {

using duration = std::chrono::nanoseconds;

// A monotonic instant, in nanoseconds since an arbitrary origin.
struct time_point
{
    std::int64_t nanoseconds = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const time_point &) const = default;

    [[nodiscard]] auto operator+(duration delta) const -> time_point
    {
        return {nanoseconds + delta.count()};
    }

    [[nodiscard]] auto operator-(duration delta) const -> time_point
    {
        return {nanoseconds - delta.count()};
    }

    [[nodiscard]] auto operator-(time_point other) const -> duration
    {
        return duration(nanoseconds - other.nanoseconds);
    }
};

// Duration in milliseconds, truncated; for messages and log lines.
[[nodiscard]] constexpr auto toMilliseconds(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Milliseconds since the Unix epoch.
using unix_milliseconds = std::int64_t;

template<class T>
concept runtime_clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
    {
        clock.unixNow()
        } -> std::same_as<unix_milliseconds>;
};

// `now()` reads CLOCK_BOOTTIME, so that time spent suspended counts against leases.
class system_runtime_clock
{
public:
    [[nodiscard]] auto now() const -> time_point;
    [[nodiscard]] auto unixNow() const -> unix_milliseconds;
};

// Advances only through `advance`, which moves both readings.
class manual_clock
{
public:
    [[nodiscard]] auto now() const -> time_point { return m_now; }
    [[nodiscard]] auto unixNow() const -> unix_milliseconds { return m_unixNow; }

    auto advance(duration delta) -> void
    {
        m_now = m_now + delta;
        m_unixNow += std::chrono::duration_cast<std::chrono::milliseconds>(delta).count();
    }

private:
    time_point m_now{};
    unix_milliseconds m_unixNow = 0;
};

static_assert(runtime_clock<system_runtime_clock>);
static_assert(runtime_clock<manual_clock>);

} // namespace mustardline
