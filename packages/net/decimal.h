#pragma once

// Reads a number that is written in decimal digits and nothing else: a whole one, or for a type
// that holds fractions one with a fraction.
//
//     if (const auto length = parseDecimal<std::uint64_t>(findHeader(headers, "content-length")))
//     ...
//
// Nothing for an empty text, a sign where the type has none, other characters, or an overflow.

#include <charconv>
#include <optional>
#include <string_view>

namespace mustardline {

template<class Number>
[[nodiscard]] auto parseDecimal(std::string_view text) -> std::optional<Number>
{
    Number value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace mustardline
