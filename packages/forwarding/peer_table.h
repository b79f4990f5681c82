#pragma once

// State of the other edges, as received in their messages.
//
//     peer_table peers({.name = ..., .boot = ..., .seeds = {...}}, now);
//     peers.applyState(state, now);      // a message of another edge
//     peers.tick(now);                   // several times a second
//     for (const auto &id : peers.takeChanged()) use(id, peers.peerUseOf(id));
//     for (const auto &address : peers.addresses(now)) send(address, ...);
//     const auto count = peers.budgetSharerCount(now);
//
// An edge counts as sharing the fleet-wide limits until it has been silent for as long as the
// longest window over which those are counted, so that its share is not given out twice. A new
// process that has received no message yet assumes that there are some others rather than use the
// whole limit.
//
// Where there are many edges, messages go to a part of them per round, to all within at most four
// rounds, and the liveness timeout is multiplied by the number of rounds. Traffic then grows by a
// fourth of what it would otherwise.
//
// What arrives may come from anything that can reach the port. The number of edges, of addresses
// and the load that is kept are limited; what is beyond the limit is ignored.
//
// The other edges' load per endpoint is summed incrementally: the cost of a message depends only on
// the number of endpoints that it names, not on the number of edges and endpoints.

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
#include "policy/lane_demand.h"

namespace mustardline {

struct peer_table_options
{
    std::string name;
    std::string boot;
    // Addresses for discovery; they may be stale.
    std::vector<socket_address> seeds;
    // Liveness timeout: an edge that is silent for longer counts as dead.
    duration livenessTimeout = std::chrono::milliseconds(2500);
    // An edge shares the fleet-wide limits for this long after its last message.
    duration sharingPeriod = std::chrono::seconds(10);
    // An address is kept for this long without a message from it.
    duration addressTtl = std::chrono::seconds(30);
    // Edges that receive a message in one round; a fourth of all if that is more.
    std::size_t roundSize = 16;
    // Assumed number of edges during the `startupPeriod`.
    std::uint32_t assumedEdgeCount = 5;
    duration startupPeriod = std::chrono::seconds(3);
    // Limits on what is kept: edges, addresses that were only named by others (as many again may
    // have sent messages), and the memory for the load and demand of all edges.
    std::size_t maxEdges = 2000;
    std::size_t maxNamedAddresses = 2000;
    std::size_t maxLoadBytes = 32U << 20U;
};

// In-flight load of one edge, or of all others, at an endpoint.
struct endpoint_use
{
    std::uint32_t inFlight = 0;
    // Tokens of prompts that are not processed yet.
    std::uint32_t promptTokens = 0;
};

struct peer_row
{
    std::string boot;
    socket_address address;
    std::uint64_t sequence = 0;
    time_point lastMessageAt{};
    bool leaving = false;
    // Load of its last message, which is included in the sums.
    std::vector<std::pair<std::string, endpoint_use>> uses;
    std::map<std::string, lane_demand> lanes;
    // Approximate memory for `uses` and `lanes`.
    std::size_t loadBytes = 0;
    std::uint64_t configurationVersion = 0;
    // See EdgeState.kept_records of wire/peer.proto.
    std::uint32_t keptRecords = 0;
};

class peer_table
{
public:
    peer_table(peer_table_options options, time_point now);

    // Applies a message; returns false for our own messages, duplicates and older ones.
    auto applyState(const v1::EdgeState &state, time_point now) -> bool;
    // Removes the load of edges that are not live from the sums, and forgets edges that have been
    // silent for long.
    auto tick(time_point now) -> void;
    // Adds an address at which there may be an edge.
    auto addAddress(const socket_address &address, time_point now) -> void;

    [[nodiscard]] auto isLive(const peer_row &row, time_point now) const -> bool
    {
        return !row.leaving && now - row.lastMessageAt <= livenessTimeout();
    }

    // Addresses to send to: all known ones, or those of the next round.
    [[nodiscard]] auto addresses(time_point now) -> std::vector<socket_address>;
    [[nodiscard]] auto nextRoundAddresses(time_point now) -> std::vector<socket_address>;
    // Number of live edges, including this one.
    [[nodiscard]] auto liveCount(time_point now) const -> std::uint32_t;
    // Returns a live edge with the newest configuration version among all, rotating between calls;
    // null if no live edge has a configuration.
    [[nodiscard]] auto newestConfiguredPeer(time_point now) -> const peer_row *;
    // Returns the live edge that keeps most records of which the shared log has none or older ones;
    // null if no live edge keeps any.
    [[nodiscard]] auto keepingPeer(time_point now) const -> const peer_row *;
    // Number of live edges whose names sort before our own.
    [[nodiscard]] auto rank(time_point now) const -> std::uint32_t;
    // Number of edges that may use the fleet-wide limits, including this one.
    [[nodiscard]] auto budgetSharerCount(time_point now) const -> std::uint32_t;
    // The other edges have not been able to announce themselves before `now`.
    auto restartStartup(time_point now) -> void { m_startedAt = now; }
    // True once the other edges had time to announce themselves.
    [[nodiscard]] auto isPastStartup(time_point now) const -> bool
    {
        return now - m_startedAt > m_options.startupPeriod;
    }
    // Number of other edges that should be heard. Before they had time to announce themselves, an
    // edge with seeds is not alone.
    [[nodiscard]] auto expectedPeers(time_point now) const -> std::uint32_t;
    // Names of the other edges that sent a message within `addressTtl`, live or not.
    [[nodiscard]] auto knownNames(time_point now) const -> std::vector<std::string>;
    // In-flight load of the other live edges at an endpoint.
    [[nodiscard]] auto peerUseOf(const std::string &endpoint) const -> endpoint_use;
    // Lane demand of the other live edges, by model or service.
    [[nodiscard]] auto laneDemand(time_point now) const -> std::map<std::string, lane_demand>;
    // Endpoints whose load by other edges may have changed since the last call.
    [[nodiscard]] auto takeChanged() -> std::unordered_set<std::string>
    {
        return std::exchange(m_changed, {});
    }
    // Addresses of up to `maxCount` live edges, rotating between calls.
    [[nodiscard]] auto rotateAddresses(std::size_t maxCount, time_point now)
        -> std::vector<socket_address>;

    [[nodiscard]] auto rows() const -> const std::map<std::string, peer_row> & { return m_rows; }

private:
    static constexpr std::size_t maxRounds = 4;

    [[nodiscard]] auto isAcceptable(const v1::EdgeState &state) const -> bool;
    auto setLoad(peer_row &row, const v1::EdgeState &state) -> void;
    auto clearLoad(peer_row &row) -> void;
    // Counts the memory for an item of load; returns false if there is none left, or the name is
    // too long.
    auto reserve(peer_row &row, const std::string &name) -> bool;
    auto keepAddress(const socket_address &address, time_point now, std::size_t maxAddresses)
        -> void;
    // Liveness timeout, adjusted to the number of rounds.
    [[nodiscard]] auto livenessTimeout() const -> duration
    {
        return m_options.livenessTimeout * static_cast<std::int64_t>(m_rounds);
    }

    peer_table_options m_options;
    time_point m_startedAt;
    // Keyed by name.
    std::map<std::string, peer_row> m_rows;
    // Approximate memory for the load in all rows.
    std::size_t m_loadBytes = 0;
    // Keyed by endpoint.
    std::unordered_map<std::string, endpoint_use> m_useSums;
    std::unordered_set<std::string> m_changed;
    // Number of rounds in which all addresses get a message, and the number of the next round.
    std::size_t m_rounds = 1;
    std::size_t m_round = 0;
    // Number of calls of `newestConfiguredPeer`.
    std::size_t m_newestConfiguredCalls = 0;
    // The name after which `rotateAddresses` continues.
    std::string m_lastRotatedName;
    // Time when each address was first named or last sent a message.
    std::map<socket_address, time_point> m_addresses;
};

} // namespace mustardline
