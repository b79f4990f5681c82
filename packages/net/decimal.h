#pragma once

// Strict parsing of decimal numbers: integers, or floating-point numbers for a floating-point type.
//
//     if (const auto length = parseDecimal<std::uint64_t>(findHeader(headers, "content-length")))
//         use(*length);
//
// Returns nullopt for an empty text, a sign on an unsigned type, any other character, or overflow.

#include <charconv>
#include <optional>
#include <string_view>

namespace mustardline {

template<class T>
[[nodiscard]] auto parseDecimal(std::string_view text) -> std::optional<T>
{
    T value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace mustardline
