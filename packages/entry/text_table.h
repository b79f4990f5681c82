#pragma once

// Prints rows of cells as a table with aligned columns; the first row is the header.

#include <string>
#include <vector>

namespace mustardline {

[[nodiscard]] auto printTable(const std::vector<std::vector<std::string>> &rows) -> std::string;

} // namespace mustardline
