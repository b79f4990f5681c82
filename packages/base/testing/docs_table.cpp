#include "base/testing/docs_table.h"

#include <fstream>

namespace mustardline {

namespace {

auto trimmed(std::string_view text) -> std::string
{
    const auto first = text.find_first_not_of(" `");
    if (first == std::string_view::npos)
        return "";
    const auto last = text.find_last_not_of(" `");
    return std::string(text.substr(first, last - first + 1));
}

auto splitCells(std::string_view line) -> std::vector<std::string>
{
    std::vector<std::string> cells;
    auto rest = line.substr(1);
    for (auto separator = rest.find('|'); separator != std::string_view::npos;
         separator = rest.find('|')) {
        cells.push_back(trimmed(rest.substr(0, separator)));
        rest = rest.substr(separator + 1);
    }
    return cells;
}

} // namespace

auto readDocsTable(const std::string &fileName, std::string_view heading)
    -> std::vector<std::vector<std::string>>
{
    std::ifstream file(fileName);
    std::vector<std::vector<std::string>> rows;
    std::string line;
    auto inSection = heading.empty();
    while (std::getline(file, line)) {
        if (line == heading)
            inSection = true;
        else if (inSection && line.starts_with('|'))
            rows.push_back(splitCells(line));
        else if (!rows.empty())
            break;
    }
    constexpr std::size_t headerLines = 2;
    rows.erase(rows.begin(),
               rows.begin() + static_cast<std::ptrdiff_t>(std::min(headerLines, rows.size())));
    return rows;
}

auto eventRows(std::span<const log_event> events) -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &event : events) {
        rows.push_back({std::to_string(event.number), std::string(event.name),
                        std::string(levelName(event.level)), std::string(event.meaning)});
    }
    return rows;
}

auto settingsRows(std::span<const settings_description> fields)
    -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &item : fields)
        rows.push_back({item.path, item.type, item.allowed, item.fallback});
    return rows;
}

} // namespace mustardline
