#pragma once

// Transfers a snapshot of the fleet's state from another edge over HTTP, for an edge that cannot
// read the shared log. It uses the address at which edges reach each other.
//
//     snapshot_exchange snapshots(loop, http, {.address = {.host = ..., .port = ...}});
//     snapshots.onRequested = [] { return the snapshot of this edge; };
//     snapshots.listen();
//     snapshots.request(peer, [](const result<fleet_snapshot> &outcome) { ... });
//
// `GET /v1/knowledge` returns an EdgeKnowledge of wire/peer.proto, or 503 while this edge has no
// complete snapshot itself.

#include <functional>
#include <optional>

#include "coordination/keyed_follower.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

namespace v1 {
class KeyedRecord;
} // namespace v1

[[nodiscard]] auto toMessage(const keyed_record &record) -> v1::KeyedRecord;
[[nodiscard]] auto fromMessage(const v1::KeyedRecord &message) -> keyed_record;

struct fleet_snapshot
{
    topic_snapshot configuration;
    topic_snapshot endpoints;
};

struct snapshot_exchange_options
{
    socket_address address;
    // Connections of other edges.
    std::size_t maxConnections = 32;
    // Size of a snapshot that is taken from another edge.
    std::size_t maxSnapshotBytes = 16U << 20U;
};

class snapshot_exchange
{
public:
    snapshot_exchange(event_loop &loop, http_client &http,
                      const snapshot_exchange_options &options);

    [[nodiscard]] auto listen() -> result<std::uint16_t> { return m_server.listen(); }
    [[nodiscard]] auto server() -> http_server & { return m_server; }

    // Returns this edge's snapshot, or nothing if it is not complete.
    std::function<auto()->std::optional<fleet_snapshot>> onRequested;

    using handler = std::function<auto(const result<fleet_snapshot> &outcome)->void>;
    // Requests a snapshot from another edge. Only one request is in flight; a later one replaces
    // it.
    auto request(const socket_address &peer, handler done) -> void;

private:
    auto respond(http_exchange &exchange) const -> void;

    http_client &m_http;
    std::size_t m_maxSnapshotBytes;
    http_server m_server;
    http_call m_call;
};

} // namespace mustardline
