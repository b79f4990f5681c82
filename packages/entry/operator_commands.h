#pragma once

// The operator commands. Each makes one or two calls of the operator RPC and prints the response as
// a table, or with --json as JSON.

#include <string>
#include <vector>

namespace mustardline {

// Runs one command and returns its exit status. `arguments` is the whole command line, program name
// first. Throws TCLAP's exceptions if the command line is invalid.
[[nodiscard]] auto runOperatorCommand(std::vector<std::string> arguments) -> int;

// The part of the help text that lists the commands, one a line.
[[nodiscard]] auto operatorCommandList() -> std::string;

} // namespace mustardline
