#pragma once

// The runtime clock that every part of the program takes its time from.
//
// Code that depends on time is written against the `runtime_clock` concept, so that a binary
// injects `system_runtime_clock` and a test injects `manual_clock`, which stands still until the
// test advances it:
//
//     manual_clock clock;
//     lease_holder holder(lease_options{.term = 6s}, clock);
//     clock.advance(7s);
//
// Two readings are offered. `now()` is monotonic and keeps counting while the machine is suspended
// or the process is stopped, which is what leases and timeouts need. `unixNow()` is the wall clock,
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

// Whole milliseconds of a duration, for messages and log lines.
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

// Reads CLOCK_BOOTTIME, so that time spent suspended counts against leases.
class system_runtime_clock
{
public:
    [[nodiscard]] auto now() const -> time_point;
    [[nodiscard]] auto unixNow() const -> unix_milliseconds;
};

// Stands still until advanced. Both readings move together.
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
