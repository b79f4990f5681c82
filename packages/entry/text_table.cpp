#include "entry/text_table.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardline {

auto printTable(const std::vector<std::vector<std::string>> &rows) -> std::string
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace mustardline
