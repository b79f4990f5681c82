#include "standin/testing/log_line.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace mustardline::standin {

namespace {

// The end of the value that starts at `begin`: past its closing quote, or the next space.
auto endOfValue(std::string_view text, std::size_t begin) -> std::size_t
{
    if (begin >= text.size() || text[begin] != '"')
        return std::min(text.find(' ', begin), text.size());
    auto end = begin + 1;
    while (end < text.size() && text[end] != '"')
        end += text[end] == '\\' ? 2 : 1;
    return std::min(end + 1, text.size());
}

auto unquoted(std::string_view value) -> std::string
{
    if (!value.starts_with('"'))
        return std::string(value);
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    return parsed.is_string() ? parsed.get<std::string>() : std::string(value);
}

} // namespace

log_line::log_line(std::string text) : m_text(std::move(text))
{
    const auto line = std::string_view(m_text);
    for (std::size_t next = 0; next < line.size();) {
        const auto equals = line.find('=', next);
        if (equals == std::string_view::npos)
            return;
        const auto end = endOfValue(line, equals + 1);
        m_fields.emplace_back(line.substr(next, equals - next),
                              unquoted(line.substr(equals + 1, end - equals - 1)));
        next = end + 1;
    }
}

auto log_line::field(std::string_view name) const -> std::string
{
    const auto found = std::ranges::find(
        m_fields, name, [](const auto &item) { return std::string_view(item.first); });
    return found == m_fields.end() ? "" : found->second;
}

auto event_pattern::matches(const log_line &line) const -> bool
{
    return line.field("name") == name && std::ranges::all_of(fields, [&](const auto &wanted) {
               return line.field(wanted.first) == wanted.second;
           });
}

auto event_pattern::text() const -> std::string
{
    auto text = std::string(name);
    for (const auto &[field, value] : fields)
        text += " " + std::string(field) + "=" + value;
    return text;
}

} // namespace mustardline::standin
