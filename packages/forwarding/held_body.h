#pragma once

// The memory of a response body that is held until it is whole.
//
//     const auto capacity = grownCapacity(body, data.size(), limit);
//     appendToBody(body, data, capacity);
//     held += memoryOf(body);

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace mustardline {

inline auto memoryOf(const std::string &body) -> std::size_t
{
    return body.empty() ? 0 : body.capacity();
}

// Frees the memory of `body`. An empty string that is assigned would keep it.
inline auto freeBody(std::string &body) -> void
{
    std::string().swap(body);
}

// The capacity that `body` needs for `added` more bytes. It doubles, so that few bytes are copied,
// but not beyond `limit`, which is what the whole response takes at most.
inline auto grownCapacity(const std::string &body, std::size_t added, std::size_t limit)
    -> std::size_t
{
    const auto needed = body.size() + added;
    if (needed <= memoryOf(body))
        return memoryOf(body);
    return std::max(needed, std::min(memoryOf(body) * 2, limit));
}

// Appends `data`; `capacity` is the result of `grownCapacity` for it.
inline auto appendToBody(std::string &body, std::string_view data, std::size_t capacity) -> void
{
    if (capacity > memoryOf(body)) {
        std::string grown;
        grown.reserve(capacity);
        grown += body;
        body = std::move(grown);
    }
    body += data;
}

} // namespace mustardline
