#pragma once

// Builds the path and query of a request from texts that may hold any bytes.
//
//     request_path("/v1/orders").segment(name).query("after", key).text()
//
// A text that comes from elsewhere, such as a name or a key, must not choose what else is asked
// for, or sent on the connection: all bytes that have a meaning in a path are encoded.

#include <concepts>
#include <string>
#include <string_view>

namespace mustardline {

class request_path
{
public:
    // `fixed` is taken as it is.
    explicit request_path(std::string_view fixed) : m_text(fixed) {}

    // Adds a slash and the encoded text.
    auto segment(std::string_view text) -> request_path &;
    // Adds a parameter with the encoded text as its value, which may be empty.
    auto query(std::string_view name, std::string_view value) -> request_path &;
    auto query(std::string_view name, std::integral auto value) -> request_path &
    {
        return query(name, std::string_view(std::to_string(value)));
    }

    [[nodiscard]] auto text() const -> const std::string & { return m_text; }

private:
    std::string m_text;
    bool m_hasQuery = false;
};

} // namespace mustardline
