#pragma once

// Reads a Markdown table out of a page under docs/, for tests that hold a page equal to the code.
//
//     const auto rows = readDocsTable("docs/RESULT_CODES.md", "## Codes");
//
// Each row is the list of its cells, trimmed and without backquotes. The header row and the rule
// below it are left out.

#include <string>
#include <string_view>
#include <vector>

namespace mustardline {

// The rows of the first table below the line `heading`, or of the whole page if it is empty.
[[nodiscard]] auto readDocsTable(const std::string &fileName, std::string_view heading)
    -> std::vector<std::vector<std::string>>;

} // namespace mustardline
