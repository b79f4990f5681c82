#pragma once

// Asks other edges at which version a stream began.
//
//     stream_exchange exchange(loop, peers, {});
//     exchange.send = [](const socket_address &to, const v1::StreamNews &news) { ... };
//     exchange.onAsked = [](std::uint64_t stream) { return what this edge remembers; };
//     exchange.ask(stream, [](const std::optional<stream_origin> &origin) { ... });
//
// A few live edges are asked, so that the cost does not grow with their number; where there are few
// edges, all of them. A question is sent twice, as datagrams may be lost, and given up after a
// bounded time.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "forwarding/peer_table.h"
#include "forwarding/stream_origins.h"
#include "net/event_loop.h"
#include "peer.pb.h"

namespace mustardline {

struct stream_exchange_options
{
    std::size_t askedPeers = 8;
    // Time for an answer, after which the question is sent again, and after which it is given up.
    duration repeatAfter = std::chrono::milliseconds(120);
    duration giveUpAfter = std::chrono::milliseconds(400);
};

class stream_exchange
{
public:
    using origin_handler = std::function<auto(const std::optional<stream_origin> &origin)->void>;

    stream_exchange(event_loop &loop, peer_table &peers, stream_exchange_options options);
    stream_exchange(const stream_exchange &) = delete;
    auto operator=(const stream_exchange &) -> stream_exchange & = delete;

    // Sends a message to another edge.
    std::function<auto(const socket_address &to, const v1::StreamNews &news)->void> send;
    // Returns what this edge remembers of a stream that another edge asks about.
    std::function<auto(std::uint64_t stream)->std::optional<stream_origin>> onAsked;

    // Asks other edges; `done` is called once, at the latest after `giveUpAfter`.
    auto ask(std::uint64_t stream, origin_handler done) -> void;
    // Handles a message of another edge.
    auto receive(const socket_address &from, const v1::StreamNews &news) -> void;

private:
    struct pending_question
    {
        v1::StreamNews message;
        // Those that have not answered.
        std::set<socket_address> asked;
        origin_handler done;
        event_handle timer;
    };

    // Live edges in an order of their names that differs by stream.
    [[nodiscard]] auto peersFor(std::uint64_t stream) const -> std::vector<socket_address>;
    auto repeat(std::uint64_t number) -> void;
    auto finish(std::uint64_t number, const std::optional<stream_origin> &origin) -> void;
    auto answer(const socket_address &to, const v1::StreamNews &news) const -> void;
    auto applyAnswer(const socket_address &from, const v1::StreamAnswer &message) -> void;

    event_loop &m_loop;
    peer_table &m_peers;
    stream_exchange_options m_options;
    system_runtime_clock m_clock;
    std::map<std::uint64_t, pending_question> m_questions;
    // Random at the start, so that an answer to an earlier process of this edge matches nothing.
    std::uint64_t m_lastQuestion;
};

} // namespace mustardline
