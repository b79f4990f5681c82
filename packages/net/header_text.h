#pragma once

// Serialises headers in the HTTP/1.1 wire format.

#include <span>
#include <string>

#include "net/http_message.h"

namespace mustardline {

inline auto appendHeaders(std::string &text, std::span<const http_header> headers) -> void
{
    for (const auto &item : headers) {
        text += item.name;
        text += ": ";
        text += item.value;
        text += "\r\n";
    }
}

} // namespace mustardline
