#pragma once

// Remembers which endpoint probably has a prompt prefix in its cache. Bounded and approximate.
//
// Engines publish cache events late and with gaps, so an item is only a hint: it is recorded from
// placements and events, overwritten by hash collisions, and costs little when wrong.
//
//     prefix_index prefixes;
//     prefixes.stored(hash, endpoint);
//     prefixes.find(hash); // endpoint or noIndex

#include <cstdint>
#include <vector>

#include "policy/name_table.h"

namespace mustardline {

class prefix_index
{
public:
    explicit prefix_index(std::uint32_t capacity = 4096) : m_slots(capacity) {}

    auto stored(std::uint64_t hash, std::uint32_t endpoint) -> void
    {
        if (hash != 0)
            m_slots[hash % m_slots.size()] = {.hash = hash, .endpoint = endpoint};
    }

    auto removed(std::uint64_t hash, std::uint32_t endpoint) -> void
    {
        auto &slot = m_slots[hash % m_slots.size()];
        if (slot.hash == hash && slot.endpoint == endpoint)
            slot = {};
    }

    // Returns the endpoint that stored it last, or noIndex.
    [[nodiscard]] auto find(std::uint64_t hash) const -> std::uint32_t
    {
        if (hash == 0)
            return noIndex;
        const auto &slot = m_slots[hash % m_slots.size()];
        return slot.hash == hash ? slot.endpoint : noIndex;
    }

private:
    struct slot
    {
        std::uint64_t hash = 0;
        std::uint32_t endpoint = noIndex;
    };

    std::vector<slot> m_slots;
};

} // namespace mustardline
