#pragma once

// Keeps signals pending while a process cannot handle them: while it starts and while it exits.
//
//     holdSignals({SIGTERM, SIGHUP}); // before anything else
//     event_loop loop;
//     loop.onSignal(SIGTERM, [&] { drain(); });
//     loop.run(); // handles SIGTERM, also one that arrived before
//
// Without this, the default action of a signal that arrives early or late ends the process.
// `event_loop::run` releases the signals that it handles, and holds them again when it returns.

#include <initializer_list>

namespace mustardline {

// Holds the signals for the calling thread and the threads that it starts.
auto holdSignals(std::initializer_list<int> numbers) -> void;

// Whether a signal that is held has arrived.
[[nodiscard]] auto hasArrived(int number) -> bool;

} // namespace mustardline
