#include "coordination/configuration_gossip.h"

#include <algorithm>
#include <iterator>

namespace mustardline {

configuration_gossip::configuration_gossip(configuration_gossip_options options,
                                           configuration_feed &feed)
    : m_options(options), m_feed(feed), m_random(options.seed), m_toldOffset(feed.offset())
{}

auto configuration_gossip::setPeers(std::vector<std::string> peers, time_point now) -> void
{
    m_peers = std::move(peers);
    m_ahead.clear();
    // Processes that start together do not ask together.
    const auto share = static_cast<std::int64_t>(m_random() % 1000);
    m_nextPoll = now + m_options.period * share / 1000;
}

auto configuration_gossip::tick(time_point now) -> std::vector<catch_up_ask>
{
    std::vector<catch_up_ask> asks;
    if (m_peers.empty())
        return asks;
    fetch(now, asks);
    // An answer with the beginning of another snapshot would end the one that is being fetched.
    if (m_feed.isFetching() && !m_source.empty())
        return asks;
    repeatUnanswered(now, asks);
    tell(now, asks);
    poll(now, asks);
    return asks;
}

auto configuration_gossip::heard(const std::string &peer, std::uint64_t offset, time_point now)
    -> void
{
    // Peers are chosen at random, so a question of one tells as much as a question to one.
    m_nextPoll = std::max(m_nextPoll, now + m_options.period);
    if (offset > m_feed.offset())
        m_ahead[peer] = offset;
}

auto configuration_gossip::replied(const std::string &peer, const v1::CatchUpReply &reply,
                                   std::uint64_t offset, time_point now) -> void
{
    const auto moved = m_feed.take(reply);
    if (m_feed.isFetching())
        m_partSource = peer;
    if (peer == m_source)
        m_source.clear();
    std::erase_if(m_open, [&](const auto &item) { return item.peer == peer; });
    heard(peer, offset, now);
    // A peer that is ahead and gave nothing of use is left alone for a while.
    if (!moved && offset > m_feed.offset())
        failed(peer, now);
}

auto configuration_gossip::failed(const std::string &peer, time_point /*now*/) -> void
{
    m_ahead.erase(peer);
    if (peer == m_source)
        m_source.clear();
}

auto configuration_gossip::fetch(time_point now, std::vector<catch_up_ask> &asks) -> void
{
    std::erase_if(m_ahead, [this](const auto &item) { return item.second <= m_feed.offset(); });
    if (!m_source.empty()) {
        if (now < m_sourceAskedAt + m_options.patience)
            return;
        // The message may just be lost: the peer stays among those that are ahead.
        m_source.clear();
    }
    if (m_ahead.empty())
        return;
    auto chosen = m_ahead.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random() % m_ahead.size()));
    if (m_feed.isFetching() && m_ahead.contains(m_partSource))
        chosen = m_ahead.find(m_partSource);
    m_source = chosen->first;
    m_sourceAskedAt = now;
    ask(m_source, asks);
}

auto configuration_gossip::tell(time_point now, std::vector<catch_up_ask> &asks) -> void
{
    if (m_feed.offset() <= m_toldOffset || now < m_nextTell)
        return;
    m_toldOffset = m_feed.offset();
    m_nextTell = now + m_options.tellEvery;
    for (std::size_t i = 0; i < m_options.fanOut; ++i)
        askRandomPeer(now, 0, asks);
}

auto configuration_gossip::poll(time_point now, std::vector<catch_up_ask> &asks) -> void
{
    if (now < m_nextPoll)
        return;
    m_nextPoll = now + m_options.period;
    askRandomPeer(now, 0, asks);
}

auto configuration_gossip::repeatUnanswered(time_point now, std::vector<catch_up_ask> &asks) -> void
{
    const auto isDue = [&](const auto &item) { return now >= item.askedAt + m_options.patience; };
    std::vector<open_ask> due;
    std::ranges::copy_if(m_open, std::back_inserter(due), isDue);
    std::erase_if(m_open, isDue);
    for (const auto &item : due) {
        if (item.repeats < m_options.maxRepeats)
            askRandomPeer(now, item.repeats + 1, asks);
    }
}

auto configuration_gossip::askRandomPeer(time_point now, std::uint32_t repeats,
                                         std::vector<catch_up_ask> &asks) -> void
{
    const auto &peer = randomPeer();
    m_open.push_back({.peer = peer, .askedAt = now, .repeats = repeats});
    ask(peer, asks);
}

auto configuration_gossip::ask(const std::string &peer, std::vector<catch_up_ask> &asks) const
    -> void
{
    asks.push_back({.peer = peer, .request = m_feed.request()});
}

auto configuration_gossip::randomPeer() -> const std::string &
{
    return m_peers[m_random() % m_peers.size()];
}

} // namespace mustardline
