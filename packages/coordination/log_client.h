#pragma once

// Client of one stream of the platform's log service.
//
//     log_client log(loop, http, {.address = logAddress, .stream = "configuration"});
//     log.append(bytes, [](const result<std::uint64_t> &offset) { ... });
//     log.follow(config.offset() + 1, {.onEntries = ..., .onExpired = ...});
//
// Appends are batched: those made while a call is in progress are sent together in the next one. An
// append whose response was lost is retried, so readers must discard duplicates by the record's
// writer, boot and sequence. An append fails with `log_unavailable` only after its timeout; it may
// still take effect later, so the caller must treat the outcome as unknown.
//
// `follow` reads from an offset on until the client is destroyed; during outages it retries with
// exponential backoff.

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "log.pb.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mustardline {

struct log_client_options
{
    socket_address address;
    std::string stream;
    // How long one append is retried before it is reported as failed.
    duration appendTimeout = std::chrono::seconds(10);
    // Longest time without data from the log service during one call.
    duration callTimeout = std::chrono::seconds(2);
    // Pause after a failed call; doubled with each further failure, up to the maximum.
    duration minBackoff = std::chrono::milliseconds(50);
    duration maxBackoff = std::chrono::seconds(2);
    // How long the log service may hold a read until the next record is appended.
    duration readWait = std::chrono::seconds(1);
    std::uint32_t maxEntriesPerRead = 1000;
    std::uint32_t maxRecordsPerAppend = 256;
};

struct log_read_callbacks
{
    // Called with the entries read, in offset order and without gaps.
    std::function<auto(std::span<const v1::LogEntry>)->void> onEntries;
    // The requested offset has expired; reading stops until `follow` is called again.
    std::function<auto(std::uint64_t oldestOffset)->void> onExpired;
    // Called after each read with the offset of the next record to be appended.
    std::function<auto(std::uint64_t nextOffset)->void> onNextOffset;
};

class log_client
{
public:
    using append_handler = std::function<auto(const result<std::uint64_t> &)->void>;

    log_client(event_loop &loop, http_client &http, log_client_options options);
    ~log_client();
    log_client(const log_client &) = delete;
    auto operator=(const log_client &) -> log_client & = delete;

    // Appends one serialised LogRecord; `done` receives its offset.
    auto append(std::string record, append_handler done) -> void;

    // Reads from `from` on; replaces the offset and callbacks of an earlier call.
    auto follow(std::uint64_t from, log_read_callbacks callbacks) -> void;

    // Whether the last call to the log service succeeded.
    [[nodiscard]] auto isReachable() const -> bool { return m_reachable; }

private:
    struct pending_append
    {
        std::string record;
        append_handler done;
        time_point deadline;
    };

    auto sendAppends() -> void;
    auto appendAnswered(const http_outcome &outcome, const http_answer &answer,
                        std::string_view body) -> void;
    auto dropExpiredAppends() -> void;
    auto read() -> void;
    auto readAnswered(const http_outcome &outcome, const http_answer &answer, std::string_view body)
        -> void;
    [[nodiscard]] auto url(std::string_view call) const -> std::string;

    event_loop &m_loop;
    http_client &m_http;
    log_client_options m_options;
    system_runtime_clock m_clock;
    bool m_reachable = false;

    std::deque<pending_append> m_pending;
    std::size_t m_inFlight = 0;
    duration m_appendBackoff;
    event_handle m_appendTimer;
    http_call m_appendCall;

    log_read_callbacks m_callbacks;
    std::uint64_t m_nextOffset = 1;
    duration m_readBackoff;
    event_handle m_readTimer;
    http_call m_readCall;
};

} // namespace mustardline
