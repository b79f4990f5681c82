#pragma once

// The operator commands `history` and `diff`.

#include <string>
#include <vector>

namespace mustardline {

// Each takes the words of its command line, program name first, and returns the exit status.
[[nodiscard]] auto showHistory(std::vector<std::string> &words) -> int;
[[nodiscard]] auto showDiff(std::vector<std::string> &words) -> int;

} // namespace mustardline
