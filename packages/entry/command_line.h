#pragma once

// The command line of `mustardline`.
//
//     mustardline serve --settings FILE
//     mustardline check-settings FILE
//     mustardline data-centre|class|account|key|route|endpoint ... (operators)
//     mustardline status|usage|history|diff ... (operators)
//
// Exit status: 0 success; 1 the call was refused or requests were cut at shutdown; 2 the command
// line or the settings are invalid; 3 a socket could not be opened; 4 the entry process could not
// be reached; 5 the outcome of a change is not known yet; 6 the entry process does not hold the
// requested part of the history.

#include <span>

namespace mustardline {

inline constexpr int exitSuccess = 0;
inline constexpr int exitRefused = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitUnreachable = 4;
inline constexpr int exitPending = 5;
inline constexpr int exitMissing = 6;

// Runs the program and returns its exit status. `arguments` is argv, program name first.
[[nodiscard]] auto runCommandLine(std::span<char *const> arguments) -> int;

} // namespace mustardline
