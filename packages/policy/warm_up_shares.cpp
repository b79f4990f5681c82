#include "policy/warm_up_shares.h"

#include <algorithm>

#include "base/hashing.h"
#include "policy/random.h"

namespace mustardline {

namespace {

// Rendezvous score of an entry process for an endpoint; the highest scores are its senders.
auto scoreOf(std::uint64_t entry, std::uint64_t endpoint) -> std::uint64_t
{
    return random_source(entry ^ endpoint).next();
}

} // namespace

warm_up_shares::warm_up_shares(warm_up_options options) : m_options(std::move(options)) {}

auto warm_up_shares::setPeers(std::vector<std::string> peers) -> bool
{
    std::ranges::sort(peers);
    if (m_peersKnown && peers == m_peers)
        return false;
    m_peersKnown = true;
    m_peers = std::move(peers);
    m_peerHashes.clear();
    for (const auto &name : m_peers)
        m_peerHashes.push_back(fastHash(name));
    return true;
}

auto warm_up_shares::rateFraction(std::string_view endpoint) const -> double
{
    if (!m_peersKnown)
        return 0;
    const auto endpointHash = fastHash(endpoint);
    const auto own = scoreOf(fastHash(m_options.self), endpointHash);
    std::uint32_t higherRanked = 0;
    for (const auto other : m_peerHashes) {
        if (scoreOf(other, endpointHash) > own && ++higherRanked == m_options.senders)
            return 0;
    }
    const auto entries = static_cast<std::uint32_t>(m_peerHashes.size()) + 1;
    return 1.0 / std::min(m_options.senders, entries);
}

} // namespace mustardline
