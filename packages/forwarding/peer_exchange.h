#pragma once

// Exchanges state with the other edges by datagrams: requests in flight, usage counts and endpoint
// updates.
//
//     peer_exchange exchange(loop, {.address = ...}, peers, usage, clock);
//     exchange.start();
//     exchange.announce(state); // several times a second
//
// Every message carries the complete state, so a lost one only causes a delay. Messages go to all
// known edges. An edge discovers others through its seeds and the addresses in its peers' messages.

#include <functional>
#include <optional>
#include <vector>

#include "coordination/shared_log.h"
#include "forwarding/peer_table.h"
#include "forwarding/prompt_part_watch.h"
#include "forwarding/rollout_table.h"
#include "forwarding/usage_windows.h"
#include "forwarding/wall_clock_estimator.h"
#include "net/datagram_socket.h"
#include "policy/endpoint_pace.h"

namespace mustardline {

struct peer_exchange_options
{
    std::string name;
    std::string boot;
    socket_address address;
};

// Endpoint records that an edge has read from the topic of endpoints: those in [`from`, `end`) that
// changed something. Both places are of one era.
struct endpoint_updates
{
    log_position from;
    log_position end;
    std::vector<keyed_record> records;
};

// The part of an announcement that the owner supplies; usage counts are added to it.
struct edge_announcement
{
    // Keyed by endpoint.
    std::map<std::string, endpoint_use> uses;
    // Keyed by model or service.
    std::map<std::string, lane_demand> lanes;
    prompt_part_report promptParts;
    std::vector<service_rollout_report> rollouts;
    // Of endpoints whose speed differs from the mean of their service.
    std::vector<endpoint_pace_report> paces;
    std::uint64_t configurationVersion = 0;
    std::int64_t sealedWindow = 0;
    // Records that this edge keeps although the shared log has lost them or holds older ones.
    std::uint32_t keptRecords = 0;
    bool leaving = false;
    // Goes to all edges at once.
    bool urgent = false;
    // Endpoint updates that were just read, if any.
    std::optional<endpoint_updates> updates;
};

class peer_exchange
{
public:
    peer_exchange(event_loop &loop, peer_exchange_options options, peer_table &peers,
                  usage_windows &usage, wall_clock_estimator &wallClock);

    // Returns the port, or `listen_failed`.
    [[nodiscard]] auto start() -> result<std::uint16_t>;
    auto announce(const edge_announcement &announcement) -> void;

    // Called for each message that is not a duplicate.
    std::function<auto(const v1::EdgeState &state)->void> onState;
    std::function<auto(const endpoint_updates &updates)->void> onUpdates;
    std::function<auto(const prompt_part_report &report)->void> onPromptParts;
    // `boot` identifies a start of the sender.
    std::function<auto(const std::string &boot, const service_rollout_report &report)->void>
        onRollout;
    std::function<auto(const std::vector<endpoint_pace_report> &paces)->void> onPaces;
    // Called with messages of `sendStreams`.
    std::function<auto(const socket_address &from, const v1::StreamNews &news)->void> onStreams;

    // Sends a message on streams to one edge.
    auto sendStreams(const socket_address &to, const v1::StreamNews &news) -> void;

private:
    auto onDatagram(const socket_address &from, std::string_view bytes) -> void;

    peer_exchange_options m_options;
    peer_table &m_peers;
    usage_windows &m_usage;
    wall_clock_estimator &m_wallClock;
    system_runtime_clock m_clock;
    datagram_socket m_socket;
    std::uint64_t m_sequence = 0;
};

} // namespace mustardline
