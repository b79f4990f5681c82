#pragma once

// Keeps state that is built from a log stream up to date, even if the stream's oldest records have
// expired.
//
//     stream_follower usage(loop, http, log, {.address = logAddress, .stream = "usage"},
//                           {.onSnapshot = ..., .onEntries = ..., .offset = ...});
//     usage.start();
//
// Reading starts at the first record, or, if the log no longer retains it, at the newest complete
// snapshot in the stream. A follower that falls behind the retained records restarts from a
// snapshot in the same way.

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
    // Restores the state from a snapshot; the entries after its offset follow.
    std::function<auto(const complete_snapshot &)->void> onSnapshot;
    // Applies entries, which come in offset order.
    std::function<auto(std::span<const v1::LogEntry>)->void> onEntries;
    // Returns the offset of the last applied entry.
    std::function<auto()->std::uint64_t> offset;
    // Optional, for streams that can be read from their oldest record without a snapshot, such as
    // the lease stream: called instead of looking for a snapshot.
    std::function<auto(std::uint64_t oldestOffset)->void> onTruncated;
};

class stream_follower
{
public:
    stream_follower(event_loop &loop, http_client &http, logger &log, log_client_options options,
                    stream_callbacks callbacks);

    auto start() -> void;

    // Appends a serialised record; the append may be retried after a lost reply.
    auto append(
        std::string record, log_client::append_handler done = [](const auto &) {}) -> void
    {
        m_client.append(std::move(record), std::move(done));
    }

    // Whether the head of the stream has been reached at least once.
    [[nodiscard]] auto isCaughtUp() const -> bool { return m_caughtUpUnix.has_value(); }

    // Wall-clock time at which the state was last known to include the head of the stream; 0 if
    // never. It is the time at which the read that showed it began, so that a pause of the process
    // cannot make it too late.
    [[nodiscard]] auto caughtUpUnix() const -> unix_milliseconds
    {
        return m_caughtUpUnix.value_or(0);
    }

    [[nodiscard]] auto isReachable() const -> bool { return m_client.isReachable(); }

private:
    auto follow(std::uint64_t from) -> void;
    auto applyEntries(std::span<const v1::LogEntry> entries) -> void;
    auto findSnapshot(std::span<const v1::LogEntry> entries) -> void;
    auto restart(std::uint64_t oldestOffset) -> void;
    auto updateCaughtUp(std::uint64_t nextOffset) -> void;

    logger &m_log;
    std::string m_stream;
    stream_callbacks m_callbacks;
    system_runtime_clock m_clock;
    log_client m_client;
    // Set while a snapshot to start from is being looked for; `m_buffered` holds the entries read
    // so far.
    std::optional<replay_start> m_start;
    std::deque<v1::LogEntry> m_buffered;
    unix_milliseconds m_readBegan = 0;
    std::optional<unix_milliseconds> m_caughtUpUnix;
};

} // namespace mustardline
