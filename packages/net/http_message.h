#pragma once

// HTTP message types and helpers shared by the server and the client.

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardline {

struct http_header
{
    std::string name;
    std::string value;
};

// The value of the first header with this name (case-insensitive); empty if there is none.
[[nodiscard]] auto findHeader(std::span<const http_header> headers, std::string_view name)
    -> std::string_view;

// Case-insensitive comparison of header names.
[[nodiscard]] auto sameHeaderName(std::string_view left, std::string_view right) -> bool;

// The text with its ASCII letters in lower case.
[[nodiscard]] auto lowerCased(std::string_view text) -> std::string;

// An IPv4 address in dotted form and a port.
struct socket_address
{
    std::string host;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const socket_address &) const = default;
};

// Parses IP:PORT. A malformed text yields an empty host and port 0.
[[nodiscard]] auto parseAddress(std::string_view text) -> socket_address;

// The address as IP:PORT.
[[nodiscard]] auto addressText(const socket_address &address) -> std::string;

// Decodes percent escapes and plus signs of a query or form value.
[[nodiscard]] auto percentDecoded(std::string_view text) -> std::string;

} // namespace mustardline
