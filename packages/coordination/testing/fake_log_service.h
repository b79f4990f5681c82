#pragma once

// A log service for tests: serves the platform's HTTP interface and injects faults on request.

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

    // The record of offset n is at index n - 1.
    std::vector<std::string> records;
    std::uint64_t oldestOffset = 1;
    // Number of calls still to be refused with status 503.
    int callsToRefuse = 0;
    // Number of appends still to be aborted after they took effect.
    int responsesToDrop = 0;
    int appendCallCount = 0;
    // If set, a read that may wait and finds no entry is never answered.
    bool holdEmptyReads = false;

private:
    auto answer(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        if (callsToRefuse > 0) {
            --callsToRefuse;
            exchange->reply(503, {}, "");
        } else if (exchange->method() == "POST") {
            append(exchange);
        } else {
            read(exchange);
        }
    }

    auto append(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        ++appendCallCount;
        v1::AppendRequest request;
        request.ParseFromString(std::string(exchange->body()));
        v1::AppendResponse response;
        response.set_first_offset(records.size() + 1);
        records.insert(records.end(), request.records().begin(), request.records().end());
        if (responsesToDrop > 0) {
            --responsesToDrop;
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
