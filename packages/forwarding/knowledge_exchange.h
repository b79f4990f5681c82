#pragma once

// An edge that the shared log refuses learns what another edge knows, over HTTP on the address at
// which edges reach each other.
//
//     knowledge_exchange knowledge(loop, http, {.address = ...});
//     knowledge.onAsked = [] { return what this edge knows; };
//     knowledge.listen();
//     knowledge.ask(peer, [](const result<edge_knowledge> &outcome) { ... });
//
// `GET /v1/knowledge` answers an EdgeKnowledge of wire/peer.proto, or 503 while this edge does not
// know all itself.

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

struct edge_knowledge
{
    topic_snapshot configuration;
    topic_snapshot endpoints;
};

class knowledge_exchange
{
public:
    knowledge_exchange(event_loop &loop, http_client &http, const socket_address &address);

    [[nodiscard]] auto listen() -> result<std::uint16_t> { return m_server.listen(); }

    // What this edge knows, if it knows all.
    std::function<auto()->std::optional<edge_knowledge>> onAsked;

    using handler = std::function<auto(const result<edge_knowledge> &outcome)->void>;
    // Asks another edge; one question is under way at a time, a later one takes its place.
    auto ask(const socket_address &peer, handler done) -> void;

private:
    auto answer(http_exchange &exchange) const -> void;

    http_client &m_http;
    http_server m_server;
    http_call m_call;
};

} // namespace mustardline
