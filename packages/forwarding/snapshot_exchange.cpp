#include "forwarding/snapshot_exchange.h"

#include <utility>

#include "peer.pb.h"

namespace mustardline {

namespace {

constexpr std::string_view snapshotPath = "/v1/knowledge";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
// Time without data from a peer after which the request fails and another peer can be asked.
constexpr duration requestTimeout = std::chrono::milliseconds(500);
// Time for a whole snapshot.
constexpr duration transferLimit = std::chrono::seconds(5);

auto fill(v1::TopicKnowledge &message, const topic_snapshot &snapshot) -> void
{
    message.set_end(snapshot.end.offset);
    message.set_era(snapshot.end.era);
    for (const auto &record : snapshot.records)
        *message.add_records() = toMessage(record);
}

auto read(const v1::TopicKnowledge &message) -> topic_snapshot
{
    topic_snapshot snapshot{.end = {.era = message.era(), .offset = message.end()}};
    for (const auto &record : message.records())
        snapshot.records.push_back(fromMessage(record));
    return snapshot;
}

auto decode(const http_outcome &outcome, const http_answer &answer, const std::string &body)
    -> result<fleet_snapshot>
{
    if (const auto *failure = std::get_if<http_failure>(&outcome))
        return failure->reason;
    if (answer.status != statusOk)
        return error{.code = result_code::no_configuration,
                     .message = "the peer has no complete snapshot"};
    v1::EdgeKnowledge message;
    if (!message.ParseFromString(body))
        return error{.code = result_code::malformed_message,
                     .message = "the peer's snapshot cannot be decoded"};
    return fleet_snapshot{.configuration = read(message.configuration()),
                          .endpoints = read(message.endpoints())};
}

} // namespace

auto toMessage(const keyed_record &record) -> v1::KeyedRecord
{
    v1::KeyedRecord message;
    message.set_offset(record.position.offset);
    message.set_era(record.position.era);
    message.set_key(record.key);
    if (record.value)
        message.set_value(*record.value);
    return message;
}

auto fromMessage(const v1::KeyedRecord &message) -> keyed_record
{
    keyed_record record{.key = message.key(),
                        .position = {.era = message.era(), .offset = message.offset()}};
    if (message.has_value())
        record.value = message.value();
    return record;
}

snapshot_exchange::snapshot_exchange(event_loop &loop, http_client &http,
                                     const snapshot_exchange_options &options)
    : m_http(http),
      m_maxSnapshotBytes(options.maxSnapshotBytes),
      m_server(loop, {.address = options.address.host,
                      .port = options.address.port,
                      .maxConnections = options.maxConnections})
{
    m_server.onRequest([this](const auto &exchange) { respond(*exchange); });
}

auto snapshot_exchange::respond(http_exchange &exchange) const -> void
{
    if (exchange.path() != snapshotPath) {
        exchange.reply(statusNotFound, {}, "");
        return;
    }
    const auto snapshot = onRequested ? onRequested() : std::nullopt;
    if (!snapshot) {
        exchange.reply(statusUnavailable, {}, "");
        return;
    }
    v1::EdgeKnowledge message;
    fill(*message.mutable_configuration(), snapshot->configuration);
    fill(*message.mutable_endpoints(), snapshot->endpoints);
    exchange.reply(statusOk, {}, message.SerializeAsString());
}

auto snapshot_exchange::request(const socket_address &peer, handler done) -> void
{
    m_call.cancel();
    m_call = m_http.fetch(
        peer,
        {.path = std::string(snapshotPath),
         .idleTimeout = requestTimeout,
         .timeLimit = transferLimit,
         .maxAnswerBytes = m_maxSnapshotBytes},
        [done = std::move(done)](const http_outcome &outcome, const http_answer &answer,
                                 const std::string &body) { done(decode(outcome, answer, body)); });
}

} // namespace mustardline
