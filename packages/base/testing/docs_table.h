#pragma once

// Reads a Markdown table from a page under docs/, for tests that check the page against the code.
//
//     const auto rows = readDocsTable("docs/RESULT_CODES.md", "## Codes");
//
// A row is the list of its cells, without surrounding spaces and backquotes. The header row and the
// delimiter row are skipped.

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/settings_reader.h"

namespace mustardline {

// The rows of the first table after the line `heading`, or of the page's first table if `heading`
// is empty.
[[nodiscard]] auto readDocsTable(const std::string &fileName, std::string_view heading)
    -> std::vector<std::vector<std::string>>;

// The expected table rows of these events: number, name, level, meaning.
[[nodiscard]] auto eventRows(std::span<const log_event> events)
    -> std::vector<std::vector<std::string>>;

// The expected table rows of these settings: field, type, allowed, default.
[[nodiscard]] auto settingsRows(std::span<const settings_description> fields)
    -> std::vector<std::vector<std::string>>;

} // namespace mustardline
