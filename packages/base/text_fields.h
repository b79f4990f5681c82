#pragma once

// Splits a separated list without copying it.
//
//     while (!text.empty())
//         use(takeField(text, ','));

#include <algorithm>
#include <string_view>

namespace mustardline {

// Returns the text before the next `separator`, or all of it if there is none, and removes that and
// the separator from the front of `text`.
[[nodiscard]] inline auto takeField(std::string_view &text, char separator) -> std::string_view
{
    const auto length = std::min(text.find(separator), text.size());
    const auto taken = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    return taken;
}

} // namespace mustardline
