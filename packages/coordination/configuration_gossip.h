#pragma once

// Spreads the configuration among entries: who is asked, when, and for what.
//
//     configuration_gossip gossip({.seed = boot}, feed);
//     gossip.setPeers(names, now);
//     for (const auto &ask : gossip.tick(now)) send(ask.peer, ask.request);
//     gossip.heard(sender, itsOffset, now);         // from every message of another entry
//     gossip.replied(peer, reply, itsOffset, now);  // to an ask
//     gossip.failed(peer, now);
//
// Whenever its configuration has moved, a process asks a few random peers for what follows its own
// offset. The question itself tells them that offset, so those that are behind ask back at once,
// and the change spreads like a rumour, in a few rounds. Besides, each process asks one random peer
// in every period; this mends what lost messages left out, and bounds what a quiet process costs.

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
    // Peers told at once of a newer configuration.
    std::size_t fanOut = 3;
    // A process that has not exchanged a message with a peer for so long asks a random one.
    duration period = std::chrono::seconds(1);
    // A question without an answer is asked again after this long, of another peer if there is one.
    duration patience = std::chrono::milliseconds(250);
    // How often one question is asked again.
    std::uint32_t maxRepeats = 3;
    // Least pause between two tellings, so that many changes at once go together.
    duration tellEvery = std::chrono::milliseconds(200);
    std::uint64_t seed = 1;
};

struct catch_up_ask
{
    std::string peer;
    v1::CatchUpRequest request;
};

class configuration_gossip
{
public:
    configuration_gossip(configuration_gossip_options options, configuration_feed &feed);

    // Sets the other entries, by whatever name the caller sends to.
    auto setPeers(std::vector<std::string> peers, time_point now) -> void;

    // What to send now.
    [[nodiscard]] auto tick(time_point now) -> std::vector<catch_up_ask>;

    // Takes note of a peer's configuration offset.
    auto heard(const std::string &peer, std::uint64_t offset, time_point now) -> void;

    auto replied(const std::string &peer, const v1::CatchUpReply &reply, std::uint64_t offset,
                 time_point now) -> void;
    auto failed(const std::string &peer, time_point now) -> void;

private:
    // A question to a random peer that is not answered yet.
    struct open_ask
    {
        std::string peer;
        time_point askedAt;
        std::uint32_t repeats = 0;
    };

    auto repeatUnanswered(time_point now, std::vector<catch_up_ask> &asks) -> void;
    auto askRandomPeer(time_point now, std::uint32_t repeats, std::vector<catch_up_ask> &asks)
        -> void;
    auto tell(time_point now, std::vector<catch_up_ask> &asks) -> void;
    auto fetch(time_point now, std::vector<catch_up_ask> &asks) -> void;
    auto poll(time_point now, std::vector<catch_up_ask> &asks) -> void;
    auto ask(const std::string &peer, std::vector<catch_up_ask> &asks) const -> void;
    [[nodiscard]] auto randomPeer() -> const std::string &;

    configuration_gossip_options m_options;
    configuration_feed &m_feed;
    std::mt19937_64 m_random;
    std::vector<std::string> m_peers;
    // Offsets of peers that are known to be ahead.
    std::map<std::string, std::uint64_t> m_ahead;
    std::vector<open_ask> m_open;
    std::uint64_t m_toldOffset = 0;
    time_point m_nextTell;
    time_point m_nextPoll;
    // The peer whose snapshot is being fetched in parts.
    std::string m_partSource;
    // The peer that is being asked for what this process lacks.
    std::string m_source;
    time_point m_sourceAskedAt;
};

} // namespace mustardline
