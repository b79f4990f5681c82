#pragma once

// Gossip protocol that spreads the configuration among entry processes: decides which peer is sent
// a catch-up request, and when.
//
//     configuration_gossip gossip({.seed = boot}, feed);
//     gossip.setPeers(names, now);
//     for (const auto &item : gossip.tick(now)) send(item.peer, item.request);
//     gossip.heard(sender, itsOffset, now);             // for every message of a peer
//     gossip.handleReply(peer, reply, itsOffset, now);  // a request was answered
//     gossip.handleFailure(peer, now);                  // a request failed
//
// When its configuration has changed, a process requests what follows its own offset from a few
// random peers. The request carries that offset, so a peer that is behind sends a request back at
// once, and the change reaches all processes within a few rounds. In addition, a process that has
// exchanged no message for a poll interval sends a request to one random peer; this repairs what
// lost messages left out, and bounds the traffic of an idle process.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/configuration_feed.h"

namespace mustardline {

struct configuration_gossip_options
{
    // Number of random peers that a changed configuration is announced to.
    std::size_t fanOut = 3;
    // A process that has received nothing from any peer for this long polls a random one.
    duration pollInterval = std::chrono::seconds(1);
    // A request without a reply is retried after this long, with another random peer.
    duration replyTimeout = std::chrono::milliseconds(250);
    // Retries of one request.
    std::uint32_t maxRetries = 3;
    // Least time between two announcements, so that a burst of changes is announced once.
    duration minAnnounceInterval = std::chrono::milliseconds(200);
    std::uint64_t seed = 1;
};

struct catch_up_query
{
    std::string peer;
    v1::CatchUpRequest request;
};

class configuration_gossip
{
public:
    configuration_gossip(configuration_gossip_options options, configuration_feed &feed);

    // Sets the other entry processes, under the names that `tick` returns.
    auto setPeers(std::vector<std::string> peers, time_point now) -> void;

    // Returns the requests to send now.
    [[nodiscard]] auto tick(time_point now) -> std::vector<catch_up_query>;

    // Records the configuration offset in a message received from a peer.
    auto heard(const std::string &peer, std::uint64_t offset, time_point now) -> void;

    auto handleReply(const std::string &peer, const v1::CatchUpReply &reply, std::uint64_t offset,
                     time_point now) -> void;
    auto handleFailure(const std::string &peer, time_point now) -> void;

private:
    // A request to a random peer that is not answered yet.
    struct unanswered_query
    {
        std::string peer;
        time_point sentAt;
        std::uint32_t retries = 0;
    };

    auto retryUnanswered(time_point now, std::vector<catch_up_query> &queries) -> void;
    auto queryRandomPeer(time_point now, std::uint32_t retries,
                         std::vector<catch_up_query> &queries) -> void;
    auto announce(time_point now, std::vector<catch_up_query> &queries) -> void;
    auto fetch(time_point now, std::vector<catch_up_query> &queries) -> void;
    auto poll(time_point now, std::vector<catch_up_query> &queries) -> void;
    auto addQuery(const std::string &peer, std::vector<catch_up_query> &queries) const -> void;
    [[nodiscard]] auto randomPeer() -> const std::string &;

    configuration_gossip_options m_options;
    configuration_feed &m_feed;
    std::mt19937_64 m_random;
    std::vector<std::string> m_peers;
    // Offsets of the peers that are known to be ahead of this process.
    std::map<std::string, std::uint64_t> m_peersAhead;
    std::vector<unanswered_query> m_unanswered;
    std::uint64_t m_announcedOffset = 0;
    time_point m_nextAnnouncement;
    time_point m_nextPoll;
    // The peer that sent the last accepted part of the snapshot being fetched.
    std::string m_snapshotPeer;
    // The peer ahead of this process that has an open request; empty if none has.
    std::string m_fetchPeer;
    time_point m_fetchStartedAt;
};

} // namespace mustardline
