#include "standin/prefix_cache.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"

namespace mustardline::standin {

auto prefixHash(std::string_view prefix) -> std::string
{
    return fmt::format("{:016x}", fastHash(prefix));
}

auto prefix_cache::use(std::string_view prefix, time_point now) -> bool
{
    const auto hash = prefixHash(prefix);
    const auto found = std::ranges::find(m_hashes, hash);
    if (found != m_hashes.end()) {
        m_hashes.splice(m_hashes.begin(), m_hashes, found);
        return true;
    }
    m_hashes.push_front(hash);
    record(true, hash, now);
    if (m_hashes.size() > m_options.capacity) {
        record(false, m_hashes.back(), now);
        m_hashes.pop_back();
    }
    return false;
}

auto prefix_cache::clear(time_point now) -> void
{
    for (const auto &hash : m_hashes)
        record(false, hash, now);
    m_hashes.clear();
}

auto prefix_cache::eventsAfter(std::uint64_t sequence, time_point now) const
    -> std::vector<cache_event>
{
    std::vector<cache_event> events;
    for (const auto &event : m_events) {
        const auto dropped
            = m_options.dropInterval != 0 && event.sequence % m_options.dropInterval == 0;
        if (event.sequence > sequence && !dropped && now - event.at >= m_options.eventLag)
            events.push_back(event);
    }
    return events;
}

auto prefix_cache::record(bool stored, const std::string &hash, time_point now) -> void
{
    m_events.push_back({.sequence = ++m_sequence, .stored = stored, .prefixHash = hash, .at = now});
    if (m_events.size() > m_options.maxEvents)
        m_events.pop_front();
}

} // namespace mustardline::standin
