#pragma once

// The event loop that a process lives in: one thread, which owns every table.
//
//     event_loop loop;
//     const auto timer = loop.every(100ms, [&] { core.tick(clock.now()); });
//     loop.onSignal(SIGTERM, [&] { drain(); });
//     loop.run();
//
// Timers stop when their handle is destroyed. `post` runs a function after the current callback has
// returned, which is how an object is destroyed safely from within its own callback.

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"

struct event;
struct event_base;

namespace mustardline {

// A timer or a watched file descriptor; stops when destroyed.
class event_handle
{
public:
    event_handle() = default;

private:
    friend class event_loop;
    struct state;
    std::shared_ptr<state> m_state;
};

class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    auto operator=(const event_loop &) -> event_loop & = delete;

    // Runs until `stop`.
    auto run() -> void;
    auto stop() -> void;

    // Calls `callback` once after `delay`.
    [[nodiscard]] auto after(duration delay, std::function<auto()->void> callback) -> event_handle;

    // Calls `callback` each `period`, first after one period.
    [[nodiscard]] auto every(duration period, std::function<auto()->void> callback) -> event_handle;

    // Calls `callback` whenever `descriptor` is readable.
    [[nodiscard]] auto whenReadable(int descriptor, std::function<auto()->void> callback)
        -> event_handle;

    // Calls `callback` on each arrival of the signal, for the life of the loop.
    auto onSignal(int number, std::function<auto()->void> callback) -> void;

    // Runs `callback` once the current callback has returned.
    auto post(std::function<auto()->void> callback) -> void;

    // The libevent base, for the wrappers of this package.
    [[nodiscard]] auto base() const -> event_base * { return m_base; }

private:
    auto add(int descriptor, short flags, duration period, std::function<auto()->void> callback)
        -> event_handle;

    auto runPosted() -> void;

    event_base *m_base;
    event *m_wakeUp = nullptr;
    std::vector<std::function<auto()->void>> m_posted;
    std::vector<event_handle> m_signals;
};

} // namespace mustardline
