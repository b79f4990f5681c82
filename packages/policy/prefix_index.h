#pragma once

// Which endpoints probably hold a prompt prefix in their cache: bounded and approximate.
//
// Engines publish cache events late and with gaps, so an entry is only a hint: it is learnt from
// placements and events, overwritten by collisions, and costs little when wrong.
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
    explicit prefix_index(std::uint32_t entries = 4096) : m_entries(entries) {}

    auto stored(std::uint64_t hash, std::uint32_t endpoint) -> void
    {
        if (hash != 0)
            m_entries[hash % m_entries.size()] = {.hash = hash, .endpoint = endpoint};
    }

    auto removed(std::uint64_t hash, std::uint32_t endpoint) -> void
    {
        auto &entry = m_entries[hash % m_entries.size()];
        if (entry.hash == hash && entry.endpoint == endpoint)
            entry = {};
    }

    // The endpoint that stored it last, or noIndex.
    [[nodiscard]] auto find(std::uint64_t hash) const -> std::uint32_t
    {
        if (hash == 0)
            return noIndex;
        const auto &entry = m_entries[hash % m_entries.size()];
        return entry.hash == hash ? entry.endpoint : noIndex;
    }

private:
    struct entry
    {
        std::uint64_t hash = 0;
        std::uint32_t endpoint = noIndex;
    };

    std::vector<entry> m_entries;
};

} // namespace mustardline
