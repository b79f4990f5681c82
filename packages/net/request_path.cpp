#include "net/request_path.h"

#include <fmt/format.h>

namespace mustardline {

namespace {

// What RFC 3986 calls unreserved.
auto isPlain(unsigned char byte) -> bool
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
           || (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_'
           || byte == '~';
}

auto appendEncoded(std::string &text, std::string_view added) -> void
{
    for (const auto letter : added) {
        const auto byte = static_cast<unsigned char>(letter);
        if (isPlain(byte))
            text.push_back(letter);
        else
            text += fmt::format("%{:02X}", byte);
    }
}

} // namespace

auto request_path::segment(std::string_view text) -> request_path &
{
    m_text.push_back('/');
    appendEncoded(m_text, text);
    return *this;
}

auto request_path::query(std::string_view name, std::string_view value) -> request_path &
{
    m_text.push_back(m_hasQuery ? '&' : '?');
    m_hasQuery = true;
    m_text += name;
    m_text.push_back('=');
    appendEncoded(m_text, value);
    return *this;
}

} // namespace mustardline
