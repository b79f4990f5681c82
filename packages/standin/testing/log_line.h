#pragma once

// Parses a line of the project's log format `key_value`.
//
//     const log_line line(text);
//     if (line.field("name") == "listening")
//         port = line.field("port");

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardline::standin {

class log_line
{
public:
    explicit log_line(std::string text);

    [[nodiscard]] auto text() const -> const std::string & { return m_text; }

    // The unquoted value of a field; empty if the field is absent.
    [[nodiscard]] auto field(std::string_view name) const -> std::string;

private:
    std::string m_text;
    std::vector<std::pair<std::string, std::string>> m_fields;
};

// Matches lines by event name and the values of the given fields.
struct event_pattern
{
    std::string_view name;
    std::vector<std::pair<std::string_view, std::string>> fields = {};

    [[nodiscard]] auto matches(const log_line &line) const -> bool;
    [[nodiscard]] auto text() const -> std::string;
};

} // namespace mustardline::standin
