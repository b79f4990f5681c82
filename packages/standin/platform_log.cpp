#include "standin/platform_log.h"

#include <optional>
#include <utility>

#include "log.pb.h"
#include "net/decimal.h"

namespace mustardline::standin {

namespace {

constexpr auto streamNames
    = std::to_array<std::string_view>({"configuration", "leases", "usage", "claims"});
constexpr std::size_t defaultMaxEntries = 1000;
constexpr std::size_t maxEntries = 10'000;
constexpr std::uint64_t maxWaitMs = 60'000;
constexpr int badRequestStatus = 400;
constexpr int expiredStatus = 410;

// A numeric query parameter: `defaultValue` if absent, nothing if malformed.
auto readNumber(const exchange_ptr &exchange, std::string_view name, std::uint64_t defaultValue)
    -> std::optional<std::uint64_t>
{
    const auto text = exchange->parameter(name);
    if (text.empty())
        return defaultValue;
    return parseDecimal<std::uint64_t>(text);
}

auto protobufResponse(int status, const google::protobuf::MessageLite &message) -> gate_response
{
    return {
        .status = status, .contentType = "application/proto", .body = message.SerializeAsString()};
}

} // namespace

auto platform_log::addRoutes(route_table &routes) -> void
{
    for (const auto name : streamNames) {
        auto &stream = m_streams[std::string(name)];
        const auto path = "/v1/log/" + std::string(name);
        routes.add("POST", path + "/append",
                   [this, &stream](const exchange_ptr &exchange) { append(stream, exchange); });
        routes.add("GET", path + "/read",
                   [this, &stream](const exchange_ptr &exchange) { read(stream, exchange); });
    }
}

auto platform_log::find(const std::string &stream) -> log_stream *
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : &found->second.records;
}

auto platform_log::endLongPolls() -> void
{
    for (auto &[name, stream] : m_streams) {
        for (const auto &[id, read] : std::exchange(stream.waiting, {}))
            respondToRead(stream.records, read);
    }
}

auto platform_log::append(served_stream &stream, const exchange_ptr &exchange) -> void
{
    if (!m_gate.admit(exchange))
        return;
    v1::AppendRequest request;
    const auto body = exchange->body();
    if (!request.ParseFromArray(body.data(), static_cast<int>(body.size()))
        || request.records().empty()) {
        replyError(exchange, badRequestStatus, "the body is not an AppendRequest with records");
        return;
    }
    const std::vector<std::string> records(request.records().begin(), request.records().end());
    v1::AppendResponse response;
    response.set_first_offset(stream.records.append(records));
    m_gate.respond(exchange, call_kind::write, protobufResponse(200, response));
    wakeReaders(stream);
}

auto platform_log::read(served_stream &stream, const exchange_ptr &exchange) -> void
{
    if (!m_gate.admit(exchange))
        return;
    const auto from = readNumber(exchange, "from", 1);
    const auto max = readNumber(exchange, "max", defaultMaxEntries);
    const auto waitMs = readNumber(exchange, "wait_ms", 0);
    if (!from || !max || !waitMs) {
        replyError(exchange, badRequestStatus, "from, max and wait_ms must be numbers");
        return;
    }
    waiting_read read{
        .exchange = exchange, .from = *from, .max = std::min<std::size_t>(*max, maxEntries)};
    if (*from < stream.records.nextOffset() || *waitMs == 0)
        respondToRead(stream.records, read);
    else
        wait(stream, std::move(read), std::min(*waitMs, maxWaitMs));
}

auto platform_log::wait(served_stream &stream, waiting_read read, std::uint64_t waitMs) -> void
{
    const auto id = m_nextWait++;
    read.exchange->onGone([&stream, id] { stream.waiting.erase(id); });
    stream.waiting.emplace(id, std::move(read));
    m_timers.after(std::chrono::milliseconds(waitMs), [this, &stream, id] {
        const auto waiting = stream.waiting.extract(id);
        if (!waiting.empty())
            respondToRead(stream.records, waiting.mapped());
    });
}

auto platform_log::respondToRead(const log_stream &records, const waiting_read &read) -> void
{
    m_gate.serve(read.exchange, call_kind::read, [&] {
        v1::ReadResponse response;
        response.set_oldest_offset(records.oldestOffset());
        response.set_next_offset(records.nextOffset());
        if (read.from < records.oldestOffset())
            return protobufResponse(expiredStatus, response);
        for (auto &found : records.read(read.from, read.max)) {
            auto *entry = response.add_entries();
            entry->set_offset(found.offset);
            entry->set_record(std::move(found.record));
        }
        return protobufResponse(200, response);
    });
}

auto platform_log::wakeReaders(served_stream &stream) -> void
{
    auto &waiting = stream.waiting;
    for (auto next = waiting.begin(); next != waiting.end();) {
        if (next->second.from >= stream.records.nextOffset()) {
            ++next;
            continue;
        }
        const auto read = std::move(next->second);
        next = waiting.erase(next);
        respondToRead(stream.records, read);
    }
}

} // namespace mustardline::standin
