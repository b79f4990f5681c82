#pragma once

// Reads the log lines of our processes back (format `key_value`).
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

    // The value of a field without its quotes; empty if there is none.
    [[nodiscard]] auto field(std::string_view name) const -> std::string;

private:
    std::string m_text;
    std::vector<std::pair<std::string, std::string>> m_fields;
};

// An event by name and the fields that its line must have.
struct event_pattern
{
    std::string_view name;
    std::vector<std::pair<std::string_view, std::string>> fields = {};

    [[nodiscard]] auto matches(const log_line &line) const -> bool;
    [[nodiscard]] auto text() const -> std::string;
};

} // namespace mustardline::standin
