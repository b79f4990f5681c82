#pragma once

// The operators' commands: each makes one or two calls of the operators' RPC and prints the answer
// as a table, or with --json as JSON.

#include <string>
#include <vector>

namespace mustardline {

// Runs one command; `arguments` is the whole command line, program name first. Throws what TCLAP
// throws for a command line at fault. Returns the exit status.
[[nodiscard]] auto runOperatorCommand(std::vector<std::string> arguments) -> int;

// One line for each command, for the help text.
[[nodiscard]] auto operatorCommandList() -> std::string;

} // namespace mustardline
