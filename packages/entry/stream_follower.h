#pragma once

// Keeps a fold at the head of a log stream whose beginning may have expired.
//
//     stream_follower usage(loop, http, log, {.address = logAddress, .stream = "usage"},
//                           {.onSnapshot = ..., .onEntries = ..., .offset = ...});
//     usage.start();
//
// Reading begins at the first record, or, where the log no longer keeps it, at the newest whole
// snapshot in the stream. A follower that falls behind what the log keeps begins again so.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/log_client.h"
#include "coordination/snapshot_parts.h"

namespace mustardline {

struct stream_callbacks
{
    // Restores the fold from a snapshot; entries after its offset follow.
    std::function<auto(const complete_snapshot &)->void> onSnapshot;
    // Folds entries in offset order.
    std::function<auto(std::span<const v1::LogEntry>)->void> onEntries;
    // The offset up to which the fold has come.
    std::function<auto()->std::uint64_t> offset;
    // The stream can be read from its oldest record without a snapshot, as that of the leases.
    std::function<auto(std::uint64_t oldestOffset)->void> onTruncated;
};

class stream_follower
{
public:
    stream_follower(event_loop &loop, http_client &http, logger &log, log_client_options options,
                    stream_callbacks callbacks);

    auto start() -> void;

    // Appends a serialised record; it may be repeated after a lost answer.
    auto append(
        std::string record, log_client::append_handler done = [](const auto &) {}) -> void
    {
        m_client.append(std::move(record), std::move(done));
    }

    // Whether the fold has once reached the head of the stream.
    [[nodiscard]] auto isCaughtUp() const -> bool { return m_caughtUpUnix.has_value(); }

    // Wall time at which the fold was last known to stand at the head of the stream; 0 if never.
    // It is the time when the read that showed it began, so a pause cannot make it too late.
    [[nodiscard]] auto caughtUpUnix() const -> unix_milliseconds
    {
        return m_caughtUpUnix.value_or(0);
    }

    [[nodiscard]] auto isReachable() const -> bool { return m_client.isReachable(); }

private:
    auto follow(std::uint64_t from) -> void;
    auto take(std::span<const v1::LogEntry> entries) -> void;
    auto findStart(std::span<const v1::LogEntry> entries) -> void;
    auto restart(std::uint64_t oldestOffset) -> void;
    auto reached(std::uint64_t nextOffset) -> void;

    logger &m_log;
    std::string m_stream;
    stream_callbacks m_callbacks;
    system_runtime_clock m_clock;
    log_client m_client;
    // Set while a place to begin is being looked for; the entries read so far wait beside it.
    std::optional<replay_start> m_start;
    std::deque<v1::LogEntry> m_held;
    unix_milliseconds m_readBegan = 0;
    std::optional<unix_milliseconds> m_caughtUpUnix;
};

} // namespace mustardline
