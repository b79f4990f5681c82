#pragma once

// The event loop of a process. It runs on one thread, which owns all tables.
//
//     event_loop loop;
//     const auto timer = loop.every(100ms, [&] { core.tick(clock.now()); });
//     loop.onSignal(SIGTERM, [&] { drain(); });
//     loop.run();
//
// A timer stops when its handle is destroyed. `post` runs a function after the current callback has
// returned, which allows an object to be destroyed safely from within its own callback.

#include <csignal>
#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"

struct event;
struct event_base;

namespace mustardline {

// Owns a timer or a watch on a file descriptor; destroying it stops the callbacks.
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

    // Runs until `stop`. Signals with a callback that the thread holds back (see held_signals.h)
    // are released for this time.
    auto run() -> void;
    auto stop() -> void;

    // Calls `callback` once after `delay`.
    [[nodiscard]] auto after(duration delay, std::function<auto()->void> callback) -> event_handle;

    // Calls `callback` every `period`, the first time after one period.
    [[nodiscard]] auto every(duration period, std::function<auto()->void> callback) -> event_handle;

    // Calls `callback` whenever `descriptor` is readable.
    [[nodiscard]] auto whenReadable(int descriptor, std::function<auto()->void> callback)
        -> event_handle;

    // Calls `callback` whenever the signal arrives, for the lifetime of the loop.
    auto onSignal(int number, std::function<auto()->void> callback) -> void;

    // Calls `callback` after the current callback has returned.
    auto post(std::function<auto()->void> callback) -> void;

    // The libevent base, for other wrappers in this package.
    [[nodiscard]] auto base() const -> event_base * { return m_base; }

private:
    auto add(int descriptor, short flags, duration period, std::function<auto()->void> callback)
        -> event_handle;

    auto runPosted() -> void;

    event_base *m_base;
    event *m_postedEvent = nullptr;
    std::vector<std::function<auto()->void>> m_posted;
    std::vector<event_handle> m_signals;
    // The signals with a callback.
    sigset_t m_handled{};
};

} // namespace mustardline
