#include "forwarding/knowledge_exchange.h"

#include <utility>

#include "peer.pb.h"

namespace mustardline {

namespace {

constexpr std::string_view knowledgePath = "/v1/knowledge";
constexpr int found = 200;
constexpr int notFound = 404;
constexpr int unavailable = 503;
// Longest silence of a peer that is asked; another one is asked after it.
constexpr duration askTimeout = std::chrono::milliseconds(500);

auto fill(v1::TopicKnowledge &message, const topic_snapshot &known) -> void
{
    message.set_end(known.end);
    for (const auto &record : known.records)
        *message.add_records() = toMessage(record);
}

auto read(const v1::TopicKnowledge &message) -> topic_snapshot
{
    topic_snapshot known{.end = message.end()};
    for (const auto &record : message.records())
        known.records.push_back(fromMessage(record));
    return known;
}

auto decode(const http_outcome &outcome, const http_answer &answer, const std::string &body)
    -> result<edge_knowledge>
{
    if (const auto *failure = std::get_if<http_failure>(&outcome))
        return failure->reason;
    if (answer.status != found)
        return error{.code = result_code::no_configuration, .message = "the peer knows not all"};
    v1::EdgeKnowledge message;
    if (!message.ParseFromString(body))
        return error{.code = result_code::malformed_message, .message = "no knowledge of an edge"};
    return edge_knowledge{.configuration = read(message.configuration()),
                          .endpoints = read(message.endpoints())};
}

} // namespace

auto toMessage(const keyed_record &record) -> v1::KeyedRecord
{
    v1::KeyedRecord message;
    message.set_offset(record.offset);
    message.set_key(record.key);
    if (record.value)
        message.set_value(*record.value);
    return message;
}

auto fromMessage(const v1::KeyedRecord &message) -> keyed_record
{
    keyed_record record{.key = message.key(), .offset = message.offset()};
    if (message.has_value())
        record.value = message.value();
    return record;
}

knowledge_exchange::knowledge_exchange(event_loop &loop, http_client &http,
                                       const socket_address &address)
    : m_http(http), m_server(loop, {.address = address.host, .port = address.port})
{
    m_server.onRequest([this](const auto &exchange) { answer(*exchange); });
}

auto knowledge_exchange::answer(http_exchange &exchange) const -> void
{
    if (exchange.path() != knowledgePath) {
        exchange.reply(notFound, {}, "");
        return;
    }
    const auto known = onAsked ? onAsked() : std::nullopt;
    if (!known) {
        exchange.reply(unavailable, {}, "");
        return;
    }
    v1::EdgeKnowledge message;
    fill(*message.mutable_configuration(), known->configuration);
    fill(*message.mutable_endpoints(), known->endpoints);
    exchange.reply(found, {}, message.SerializeAsString());
}

auto knowledge_exchange::ask(const socket_address &peer, handler done) -> void
{
    m_call.cancel();
    m_call = m_http.fetch(
        peer, {.path = std::string(knowledgePath), .idleTimeout = askTimeout},
        [done = std::move(done)](const http_outcome &outcome, const http_answer &answer,
                                 const std::string &body) { done(decode(outcome, answer, body)); });
}

} // namespace mustardline
