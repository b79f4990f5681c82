#include "net/http_message.h"

#include <algorithm>

#include "net/decimal.h"

namespace mustardline {

namespace {

auto toLowerCase(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

auto hexDigitValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

auto sameHeaderName(std::string_view left, std::string_view right) -> bool
{
    return std::ranges::equal(left, right, {}, toLowerCase, toLowerCase);
}

auto lowerCased(std::string_view text) -> std::string
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), toLowerCase);
    return lower;
}

auto findHeader(std::span<const http_header> headers, std::string_view name) -> std::string_view
{
    for (const auto &item : headers) {
        if (sameHeaderName(item.name, name))
            return item.value;
    }
    return {};
}

auto parseAddress(std::string_view text) -> socket_address
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return {};
    const auto port = parseDecimal<std::uint16_t>(text.substr(colon + 1)).value_or(0);
    if (port == 0)
        return {};
    return {.host = std::string(text.substr(0, colon)), .port = port};
}

auto addressText(const socket_address &address) -> std::string
{
    return address.host + ":" + std::to_string(address.port);
}

auto percentDecoded(std::string_view text) -> std::string
{
    constexpr int base = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto isEscape = text[i] == '%' && i + 2 < text.size()
                              && hexDigitValue(text[i + 1]) >= 0 && hexDigitValue(text[i + 2]) >= 0;
        if (isEscape) {
            out.push_back(
                static_cast<char>(hexDigitValue(text[i + 1]) * base + hexDigitValue(text[i + 2])));
            i += 2;
        } else {
            out.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return out;
}

} // namespace mustardline
