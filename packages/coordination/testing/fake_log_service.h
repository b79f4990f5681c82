#pragma once

// A log service for tests: the published interface over HTTP, with faults on command.

#include <string>
#include <vector>

#include <fmt/format.h>

#include "log.pb.h"
#include "net/http_server.h"

namespace mustardline {

class fake_log_service
{
public:
    explicit fake_log_service(event_loop &loop) : m_server(loop, {})
    {
        m_server.onRequest(
            [this](const std::shared_ptr<http_exchange> &exchange) { answer(exchange); });
        m_address = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(m_server.listen())};
    }

    [[nodiscard]] auto address() const -> socket_address { return m_address; }

    // Records by offset - 1.
    std::vector<std::string> records;
    std::uint64_t oldestOffset = 1;
    // Calls to refuse with 503.
    int refusals = 0;
    // Appends whose answer is lost after they took effect.
    int lostAnswers = 0;
    int appendCalls = 0;
    // Whether a read that may wait and finds nothing is held for ever.
    bool holdEmptyReads = false;

private:
    auto answer(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        if (refusals > 0) {
            --refusals;
            exchange->reply(503, {}, "");
        } else if (exchange->method() == "POST") {
            append(exchange);
        } else {
            read(exchange);
        }
    }

    auto append(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        ++appendCalls;
        v1::AppendRequest request;
        request.ParseFromString(std::string(exchange->body()));
        v1::AppendResponse response;
        response.set_first_offset(records.size() + 1);
        records.insert(records.end(), request.records().begin(), request.records().end());
        if (lostAnswers > 0) {
            --lostAnswers;
            exchange->abort();
            return;
        }
        exchange->reply(200, {}, response.SerializeAsString());
    }

    auto read(const std::shared_ptr<http_exchange> &exchange) const -> void
    {
        const auto from = std::stoull(exchange->parameter("from"));
        const auto max = std::stoull(exchange->parameter("max"));
        v1::ReadResponse response;
        response.set_oldest_offset(oldestOffset);
        response.set_next_offset(records.size() + 1);
        for (auto offset = from;
             from >= oldestOffset && offset <= records.size() && offset < from + max; ++offset) {
            auto &entry = *response.add_entries();
            entry.set_offset(offset);
            entry.set_record(records[offset - 1]);
        }
        if (holdEmptyReads && response.entries().empty() && exchange->parameter("wait_ms") != "0")
            return;
        exchange->reply(from < oldestOffset ? 410 : 200, {}, response.SerializeAsString());
    }

    http_server m_server;
    socket_address m_address;
};

} // namespace mustardline
