#include "entry/key_text.h"

#include <algorithm>

#include "base/hashing.h"
#include "net/http_message.h"

namespace mustardline {

namespace {

constexpr std::string_view keyPrefix = "mk_";
constexpr std::size_t idDigits = 12;
constexpr std::size_t secretDigits = 32;
constexpr std::size_t secretStart = keyPrefix.size() + idDigits + 1;
constexpr std::size_t keyLength = secretStart + secretDigits;

auto isHexadecimal(std::string_view text) -> bool
{
    return std::ranges::all_of(text, [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f')
               || (digit >= 'A' && digit <= 'F');
    });
}

} // namespace

auto makeKeyText() -> std::string
{
    return std::string(keyPrefix) + randomId().substr(0, idDigits) + "_" + randomId();
}

auto keyIdOf(std::string_view text) -> std::optional<std::string_view>
{
    const auto wellFormed = text.size() == keyLength && text.starts_with(keyPrefix)
                            && text[secretStart - 1] == '_'
                            && isHexadecimal(text.substr(secretStart))
                            && isHexadecimal(text.substr(keyPrefix.size(), idDigits));
    if (!wellFormed)
        return std::nullopt;
    return text.substr(keyPrefix.size(), idDigits);
}

auto redactKeys(std::string &text) -> int
{
    auto found = 0;
    auto position = text.find(keyPrefix);
    while (position != std::string::npos) {
        if (keyIdOf(std::string_view(text).substr(position, keyLength))) {
            std::fill_n(text.begin() + static_cast<std::ptrdiff_t>(position + secretStart),
                        secretDigits, '*');
            ++found;
        }
        position = text.find(keyPrefix, position + 1);
    }
    return found;
}

auto holdsKey(std::string_view text) -> bool
{
    auto plain = std::string(text);
    if (redactKeys(plain) > 0)
        return true;
    if (text.find('%') == std::string_view::npos)
        return false;
    auto decoded = percentDecoded(text);
    return redactKeys(decoded) > 0;
}

} // namespace mustardline
