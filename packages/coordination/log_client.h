#pragma once

// Client of one stream of the platform's log service.
//
//     log_client log(loop, http, {.address = logAddress, .stream = "configuration"});
//     log.append(bytes, [](const result<std::uint64_t> &offset) { ... });
//     log.follow(config.offset() + 1, {.onEntries = ..., .onExpired = ...});
//
// Appends are grouped: those that come while one is under way go together in the next. An append
// whose answer was lost is repeated, so readers must drop repeats by the record's writer, boot and
// sequence. An append fails with `log_unavailable` only after its patience; it may still take
// effect later, which the caller must treat as an unknown outcome.
//
// Following reads on from an offset for ever, with backoff through outages.

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
    // How long one append is tried before it is reported as failed.
    duration appendPatience = std::chrono::seconds(10);
    // Longest silence of the log service during one call.
    duration callTimeout = std::chrono::seconds(2);
    // Pause after a failed call, doubled up to the longest.
    duration shortestBackoff = std::chrono::milliseconds(50);
    duration longestBackoff = std::chrono::seconds(2);
    // How long the log service may hold a read for the next record.
    duration readWait = std::chrono::seconds(1);
    std::uint32_t maxEntriesPerRead = 1000;
    std::uint32_t maxRecordsPerAppend = 256;
};

struct log_follower
{
    // Entries in offset order without gaps.
    std::function<auto(std::span<const v1::LogEntry>)->void> onEntries;
    // The offset asked for is no longer kept; the follower stops until `follow` is called again.
    std::function<auto(std::uint64_t oldestOffset)->void> onExpired;
    // Called after each read with the offset that the next append will get.
    std::function<auto(std::uint64_t nextOffset)->void> onPosition;
};

class log_client
{
public:
    using append_handler = std::function<auto(const result<std::uint64_t> &)->void>;

    log_client(event_loop &loop, http_client &http, log_client_options options);
    ~log_client();
    log_client(const log_client &) = delete;
    auto operator=(const log_client &) -> log_client & = delete;

    // Appends one serialised LogRecord; `done` gets its offset.
    auto append(std::string record, append_handler done) -> void;

    // Starts to read from `from`, or moves a running follower there.
    auto follow(std::uint64_t from, log_follower follower) -> void;

    // Whether the last call to the log service succeeded.
    [[nodiscard]] auto isReachable() const -> bool { return m_reachable; }

private:
    struct pending_append
    {
        std::string record;
        append_handler done;
        time_point giveUpAt;
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
    std::size_t m_sent = 0;
    duration m_appendBackoff;
    event_handle m_appendTimer;
    http_call m_appendCall;

    log_follower m_follower;
    std::uint64_t m_next = 1;
    duration m_readBackoff;
    event_handle m_readTimer;
    http_call m_readCall;
};

} // namespace mustardline
