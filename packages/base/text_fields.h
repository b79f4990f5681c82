#pragma once

// Takes a list apart that is written in one text, without copying it.
//
//     while (!text.empty())
//         use(takeField(text, ','));

#include <algorithm>
#include <string_view>

namespace mustardline {

// Takes what stands before the next `separator`, or all of it, off the front of `text`, and the
// separator with it.
[[nodiscard]] inline auto takeField(std::string_view &text, char separator) -> std::string_view
{
    const auto length = std::min(text.find(separator), text.size());
    const auto taken = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    return taken;
}

} // namespace mustardline
