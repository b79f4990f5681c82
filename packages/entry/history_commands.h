#pragma once

// The operators' commands `history` and `diff`.

#include <string>
#include <vector>

namespace mustardline {

// Each takes the words of its command line, the first being the program's name, and returns the
// exit status.
[[nodiscard]] auto showHistory(std::vector<std::string> &words) -> int;
[[nodiscard]] auto showDiff(std::vector<std::string> &words) -> int;

} // namespace mustardline
