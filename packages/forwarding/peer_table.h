#pragma once

// The other edges, as this one has heard of them.
//
//     peer_table peers({.self = {...}, .seeds = {...}}, now);
//     peers.heard(state, now);           // a message of another edge
//     peers.tick(now);                   // some times a second
//     for (const auto &id : peers.takeChanged()) use(id, peers.usesOf(id));
//     for (const auto &address : peers.addresses(now)) send(address, ...);
//     const auto count = peers.sharingCount(now);
//
// An edge counts as sharing the fleet's allowances until it has been silent for as long as the
// longest window in which those are counted, so that its part is not given out twice. A new process
// that has heard of nobody yet assumes some others rather than take all for itself.
//
// Where there are many edges, each is told in turn, all within four rounds, and is taken to be
// silent only after as many times the usual silence: bytes grow by a fourth of what they would
// otherwise.
//
// What the others have at an endpoint is summed as they tell it: a message costs as much as it
// names endpoints, however many edges and endpoints there are.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/http_message.h"
#include "peer.pb.h"
#include "policy/lane_needs.h"

namespace mustardline {

struct peer_table_options
{
    std::string name;
    std::string boot;
    // Addresses that may be stale.
    std::vector<socket_address> seeds;
    // An edge that is silent for longer no longer lives, as far as is known.
    duration silence = std::chrono::milliseconds(2500);
    // It shares the allowances for so long after it was heard last.
    duration sharing = std::chrono::seconds(10);
    // Addresses are tried for so long without an answer.
    duration forgetting = std::chrono::seconds(30);
    // Edges told in one round, or a fourth of all if that is more.
    std::size_t roundSize = 16;
    // Edges assumed until `settling` after the start.
    std::uint32_t assumedCount = 5;
    duration settling = std::chrono::seconds(3);
};

// What one edge, or all others, have at an endpoint.
struct endpoint_use
{
    std::uint32_t inFlight = 0;
    // Of prompts that were not read yet.
    std::uint32_t promptTokens = 0;
};

struct peer_row
{
    std::string boot;
    socket_address address;
    std::uint64_t sequence = 0;
    time_point heardAt{};
    bool leaving = false;
    // What it told last, and is part of the sums.
    std::vector<std::pair<std::string, endpoint_use>> uses;
    std::map<std::string, lane_needs> lanes;
    std::uint64_t configurationVersion = 0;
};

class peer_table
{
public:
    peer_table(peer_table_options options, time_point now);

    // Takes a message; false if it is our own or older than one that was taken.
    auto heard(const v1::EdgeState &state, time_point now) -> bool;
    // Takes what silent edges told out of the sums.
    auto tick(time_point now) -> void;
    // An address at which an edge may be.
    auto learnt(const socket_address &address, time_point now) -> void;

    [[nodiscard]] auto isLive(const peer_row &row, time_point now) const -> bool
    {
        return !row.leaving && now - row.heardAt <= silence();
    }

    // Where to send to: all that are known, or those whose turn it is.
    [[nodiscard]] auto addresses(time_point now) -> std::vector<socket_address>;
    [[nodiscard]] auto addressesInTurn(time_point now) -> std::vector<socket_address>;
    // Edges that live, this one included.
    [[nodiscard]] auto liveCount(time_point now) const -> std::uint32_t;
    // A live edge with the newest configuration that any has, others at each call; none if no
    // live edge has one.
    [[nodiscard]] auto bestInformed(time_point now) -> const peer_row *;
    // Live edges whose names come before our own.
    [[nodiscard]] auto rank(time_point now) const -> std::uint32_t;
    // Edges that may use the fleet's allowances, this one included.
    [[nodiscard]] auto sharingCount(time_point now) const -> std::uint32_t;
    // True once the other edges have had the time to tell of themselves.
    [[nodiscard]] auto isSettled(time_point now) const -> bool
    {
        return now - m_startedAt > m_options.settling;
    }
    // The names of the other edges that were heard of lately, also of those that may be gone.
    [[nodiscard]] auto knownNames(time_point now) const -> std::vector<std::string>;
    // What the other live edges have at an endpoint.
    [[nodiscard]] auto usesOf(const std::string &endpoint) const -> endpoint_use;
    // What the other live edges' requests ask for, by model or service.
    [[nodiscard]] auto laneDemand(time_point now) const -> std::map<std::string, lane_needs>;
    // Endpoints of which that may have changed since the last call.
    [[nodiscard]] auto takeChanged() -> std::unordered_set<std::string>
    {
        return std::exchange(m_changed, {});
    }
    // Addresses of `most` live edges, others at each call.
    [[nodiscard]] auto someAddresses(std::size_t most, time_point now)
        -> std::vector<socket_address>;

    [[nodiscard]] auto rows() const -> const std::map<std::string, peer_row> & { return m_rows; }

private:
    static constexpr std::size_t mostRounds = 4;

    auto clearUses(peer_row &row) -> void;
    // After this an edge counts as silent.
    [[nodiscard]] auto silence() const -> duration
    {
        return m_options.silence * static_cast<std::int64_t>(m_rounds);
    }

    peer_table_options m_options;
    time_point m_startedAt;
    // By name.
    std::map<std::string, peer_row> m_rows;
    // By endpoint.
    std::unordered_map<std::string, endpoint_use> m_sums;
    std::unordered_set<std::string> m_changed;
    // Rounds in which all addresses are told once, and the number of the next one.
    std::size_t m_rounds = 1;
    std::size_t m_round = 0;
    // Counts the calls of `bestInformed`.
    std::size_t m_asked = 0;
    // The name after which the next addresses are taken.
    std::string m_lastNamed;
    // When each address was first named or last heard.
    std::map<socket_address, time_point> m_addresses;
};

} // namespace mustardline
