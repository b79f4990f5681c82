#pragma once

// Tells the other edges what this one has in flight and has counted, and takes in what they tell.
//
//     peer_exchange exchange(loop, {.address = ...}, peers, usage, time);
//     exchange.start();
//     exchange.tell(state); // some times a second
//
// Every message is whole, so losses cost only time. Messages go to all edges that are known; an
// edge learns of others by its seeds, by the shared log and by what its peers name.

#include <functional>
#include <optional>
#include <vector>

#include "coordination/shared_log.h"
#include "forwarding/peer_table.h"
#include "forwarding/true_time.h"
#include "forwarding/usage_windows.h"
#include "net/datagram_socket.h"

namespace mustardline {

struct peer_exchange_options
{
    std::string name;
    std::string boot;
    socket_address address;
};

// What an edge has read of the topic of endpoints: the records from `from` up to `end` that changed
// something.
struct endpoint_news
{
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<keyed_record> records;
};

// What this edge tells beside its counts.
struct edge_report
{
    // By endpoint.
    std::map<std::string, endpoint_use> uses;
    // By model or service.
    std::map<std::string, lane_needs> lanes;
    std::uint64_t configurationVersion = 0;
    std::int64_t sealedWindow = 0;
    bool leaving = false;
    // What was just read of the endpoints, if anything.
    std::optional<endpoint_news> news;
};

class peer_exchange
{
public:
    peer_exchange(event_loop &loop, peer_exchange_options options, peer_table &peers,
                  usage_windows &usage, true_time &time);

    // Answers the port, or `listen_failed`.
    [[nodiscard]] auto start() -> result<std::uint16_t>;
    auto tell(const edge_report &report) -> void;

    // Called for each message that was taken.
    std::function<auto(const v1::EdgeState &state)->void> onHeard;
    std::function<auto(const endpoint_news &news)->void> onNews;

private:
    auto received(std::string_view bytes) -> void;

    peer_exchange_options m_options;
    peer_table &m_peers;
    usage_windows &m_usage;
    true_time &m_time;
    system_runtime_clock m_clock;
    datagram_socket m_socket;
    std::uint64_t m_sequence = 0;
};

} // namespace mustardline
