#include "coordination/configuration_gossip.h"

#include <algorithm>
#include <iterator>

namespace mustardline {

configuration_gossip::configuration_gossip(configuration_gossip_options options,
                                           configuration_feed &feed)
    : m_options(options), m_feed(feed), m_random(options.seed), m_announcedOffset(feed.offset())
{}

auto configuration_gossip::setPeers(std::vector<std::string> peers, time_point now) -> void
{
    m_peers = std::move(peers);
    m_peersAhead.clear();
    // A random first delay keeps processes that start together from polling together.
    const auto permille = static_cast<std::int64_t>(m_random() % 1000);
    m_nextPoll = now + m_options.pollInterval * permille / 1000;
}

auto configuration_gossip::tick(time_point now) -> std::vector<catch_up_query>
{
    std::vector<catch_up_query> queries;
    if (m_peers.empty())
        return queries;
    fetch(now, queries);
    // A reply with the first part of another snapshot would abort the fetch in progress.
    if (m_feed.isFetching() && !m_fetchPeer.empty())
        return queries;
    retryUnanswered(now, queries);
    announce(now, queries);
    poll(now, queries);
    return queries;
}

auto configuration_gossip::heard(const std::string &peer, std::uint64_t offset, time_point now)
    -> void
{
    // Peers are chosen at random, so a received message is as good as a poll of one's own.
    m_nextPoll = std::max(m_nextPoll, now + m_options.pollInterval);
    if (offset > m_feed.offset())
        m_peersAhead[peer] = offset;
}

auto configuration_gossip::handleReply(const std::string &peer, const v1::CatchUpReply &reply,
                                       std::uint64_t offset, time_point now) -> void
{
    const auto advanced = m_feed.applyReply(reply);
    if (m_feed.isFetching())
        m_snapshotPeer = peer;
    if (peer == m_fetchPeer)
        m_fetchPeer.clear();
    std::erase_if(m_unanswered, [&](const auto &item) { return item.peer == peer; });
    heard(peer, offset, now);
    // A peer that is ahead but sent nothing usable is not asked until it is heard from again.
    if (!advanced && offset > m_feed.offset())
        handleFailure(peer, now);
}

auto configuration_gossip::handleFailure(const std::string &peer, time_point /*now*/) -> void
{
    m_peersAhead.erase(peer);
    if (peer == m_fetchPeer)
        m_fetchPeer.clear();
}

auto configuration_gossip::fetch(time_point now, std::vector<catch_up_query> &queries) -> void
{
    std::erase_if(m_peersAhead,
                  [this](const auto &item) { return item.second <= m_feed.offset(); });
    if (!m_fetchPeer.empty()) {
        if (now < m_fetchStartedAt + m_options.replyTimeout)
            return;
        // The message may merely be lost, so the peer remains a candidate.
        m_fetchPeer.clear();
    }
    if (m_peersAhead.empty())
        return;
    auto chosen = m_peersAhead.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random() % m_peersAhead.size()));
    if (m_feed.isFetching() && m_peersAhead.contains(m_snapshotPeer))
        chosen = m_peersAhead.find(m_snapshotPeer);
    m_fetchPeer = chosen->first;
    m_fetchStartedAt = now;
    addQuery(m_fetchPeer, queries);
}

auto configuration_gossip::announce(time_point now, std::vector<catch_up_query> &queries) -> void
{
    if (m_feed.offset() <= m_announcedOffset || now < m_nextAnnouncement)
        return;
    m_announcedOffset = m_feed.offset();
    m_nextAnnouncement = now + m_options.minAnnounceInterval;
    for (std::size_t i = 0; i < m_options.fanOut; ++i)
        queryRandomPeer(now, 0, queries);
}

auto configuration_gossip::poll(time_point now, std::vector<catch_up_query> &queries) -> void
{
    if (now < m_nextPoll)
        return;
    m_nextPoll = now + m_options.pollInterval;
    queryRandomPeer(now, 0, queries);
}

auto configuration_gossip::retryUnanswered(time_point now, std::vector<catch_up_query> &queries)
    -> void
{
    const auto isDue
        = [&](const auto &item) { return now >= item.sentAt + m_options.replyTimeout; };
    std::vector<unanswered_query> due;
    std::ranges::copy_if(m_unanswered, std::back_inserter(due), isDue);
    std::erase_if(m_unanswered, isDue);
    for (const auto &item : due) {
        if (item.retries < m_options.maxRetries)
            queryRandomPeer(now, item.retries + 1, queries);
    }
}

auto configuration_gossip::queryRandomPeer(time_point now, std::uint32_t retries,
                                           std::vector<catch_up_query> &queries) -> void
{
    const auto &peer = randomPeer();
    m_unanswered.push_back({.peer = peer, .sentAt = now, .retries = retries});
    addQuery(peer, queries);
}

auto configuration_gossip::addQuery(const std::string &peer,
                                    std::vector<catch_up_query> &queries) const -> void
{
    queries.push_back({.peer = peer, .request = m_feed.request()});
}

auto configuration_gossip::randomPeer() -> const std::string &
{
    return m_peers[m_random() % m_peers.size()];
}

} // namespace mustardline
