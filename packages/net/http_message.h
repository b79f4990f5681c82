#pragma once

// Parts of HTTP messages that the server and the client share.

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

// The value of the first header of that name, whatever its case; empty if there is none.
[[nodiscard]] auto findHeader(std::span<const http_header> headers, std::string_view name)
    -> std::string_view;

// Whether two header names are the same, whatever their case.
[[nodiscard]] auto sameHeaderName(std::string_view left, std::string_view right) -> bool;

// An address and port.
struct socket_address
{
    std::string host;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const socket_address &) const = default;
};

// Parses IP:PORT; a port of 0 and an empty host are what a malformed text gives.
[[nodiscard]] auto parseAddress(std::string_view text) -> socket_address;

// Undoes percent escapes and plus signs of a query or form text.
[[nodiscard]] auto percentDecoded(std::string_view text) -> std::string;

} // namespace mustardline
