#pragma once

// Reads a Markdown table out of a page under docs/, for tests that hold a page equal to the code.
//
//     const auto rows = readDocsTable("docs/RESULT_CODES.md", "## Codes");
//
// Each row is the list of its cells, trimmed and without backquotes. The header row and the rule
// below it are left out.

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/settings_reader.h"

namespace mustardline {

// The rows of the first table below the line `heading`, or of the whole page if it is empty.
[[nodiscard]] auto readDocsTable(const std::string &fileName, std::string_view heading)
    -> std::vector<std::vector<std::string>>;

// The rows that a table of these events has: number, name, level, meaning.
[[nodiscard]] auto eventRows(std::span<const log_event> events)
    -> std::vector<std::vector<std::string>>;

// The rows that a table of these settings has: field, type, allowed, default.
[[nodiscard]] auto settingsRows(std::span<const settings_description> fields)
    -> std::vector<std::vector<std::string>>;

} // namespace mustardline
