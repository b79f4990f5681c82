#include "forwarding/stream_origins.h"

#include <algorithm>

#include "base/hashing.h"

namespace mustardline {

auto streamKey(std::string_view attempt) -> std::uint64_t
{
    return fastHash(attempt);
}

auto stream_origins::add(std::uint64_t stream, const stream_origin &origin,
                         std::string_view endpoint, time_point now) -> void
{
    forgetOld(now);
    const auto index = indexOf(origin);
    const auto [known, isNew] = m_streams.try_emplace(
        stream,
        stream_state{.origin = index, .endpoint = endpoint.empty() ? 0 : fastHash(endpoint)});
    if (!isNew && known->second.origin != index)
        known->second.origin = contradicted;
    known->second.mentionedAt = now;
    m_mentions.emplace_back(now, stream);
}

auto stream_origins::find(std::uint64_t stream, time_point now) const -> const stream_origin *
{
    const auto known = m_streams.find(stream);
    if (known == m_streams.end() || known->second.origin == contradicted
        || now - known->second.mentionedAt > m_options.memory)
        return nullptr;
    return &m_origins[known->second.origin];
}

auto stream_origins::doubtEndpoint(std::string_view endpoint, std::string_view version,
                                   time_point since) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> doubted;
    const auto hash = fastHash(endpoint);
    for (auto mention = m_mentions.rbegin();
         mention != m_mentions.rend() && mention->first >= since; ++mention) {
        const auto known = m_streams.find(mention->second);
        if (known == m_streams.end() || known->second.endpoint != hash
            || known->second.origin == contradicted
            || m_origins[known->second.origin].version == version)
            continue;
        known->second.origin = contradicted;
        doubted.push_back(known->first);
    }
    return doubted;
}

auto stream_origins::indexOf(const stream_origin &origin) -> std::uint32_t
{
    const auto known = std::ranges::find(m_origins, origin);
    if (known != m_origins.end())
        return static_cast<std::uint32_t>(known - m_origins.begin());
    if (m_origins.size() >= m_options.maxOrigins || origin.service.size() > m_options.maxNameBytes
        || origin.version.size() > m_options.maxNameBytes)
        return contradicted;
    m_origins.push_back(origin);
    return static_cast<std::uint32_t>(m_origins.size() - 1);
}

auto stream_origins::forgetOld(time_point now) -> void
{
    while (!m_mentions.empty()
           && (now - m_mentions.front().first > m_options.memory
               || m_mentions.size() >= m_options.maxStreams)) {
        const auto [at, stream] = m_mentions.front();
        m_mentions.pop_front();
        const auto known = m_streams.find(stream);
        if (known != m_streams.end() && known->second.mentionedAt == at)
            m_streams.erase(known);
    }
}

} // namespace mustardline
