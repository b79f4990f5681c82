#pragma once

// The stand-in engine's cache of prompt prefixes, and the store and remove events that it
// publishes. Events are delayed and some are lost.
//
//     prefix_cache cache({.capacity = 64});
//     const auto warm = cache.use(prefix, clock.now());
//     const auto events = cache.eventsAfter(0, clock.now());

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace mustardline::standin {

struct prefix_cache_options
{
    // Number of cached prefixes; the least recently used is evicted.
    std::size_t capacity = 64;
    // Delay until an event is published.
    duration eventLag = std::chrono::milliseconds(500);
    // Events whose sequence number is a multiple of this are never published; 0 publishes all.
    std::uint64_t dropInterval = 8;
    // Number of retained events; the oldest are deleted.
    std::size_t maxEvents = 4096;
};

struct cache_event
{
    std::uint64_t sequence = 0;
    bool stored = false;
    std::string prefixHash;
    time_point at;
};

// The `fastHash` of a prefix as 16 hexadecimal digits.
[[nodiscard]] auto prefixHash(std::string_view prefix) -> std::string;

class prefix_cache
{
public:
    explicit prefix_cache(prefix_cache_options options) : m_options(options) {}

    // Adds the prefix, or marks it as recently used; true if it was cached.
    auto use(std::string_view prefix, time_point now) -> bool;

    // Evicts all prefixes, as when the engine becomes cold.
    auto clear(time_point now) -> void;

    [[nodiscard]] auto eventsAfter(std::uint64_t sequence, time_point now) const
        -> std::vector<cache_event>;

private:
    auto record(bool stored, const std::string &hash, time_point now) -> void;

    prefix_cache_options m_options;
    // Most recently used first.
    std::list<std::string> m_hashes;
    std::deque<cache_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace mustardline::standin
