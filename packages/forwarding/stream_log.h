#pragma once

// Keeps in the shared log at which versions streams began, for edges that have lost all they knew.
//
//     stream_log<Log> streams(loop, log, {.topic = "streams"});
//     streams.onRead = [](std::uint64_t stream, const stream_origin &origin) { ... };
//     streams.add(stream, origin);           // appended with others within the interval
//     streams.read([] { ... });              // all that was appended before has been passed on
//
// Records are appended after the streams have begun, so that no stream waits for the log. Those of
// the last interval are lost if an edge is killed, and while the log is out of reach for long. What
// the log has is true in every era of it.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/read_turns.h"
#include "coordination/shared_log.h"
#include "forwarding/stream_origins.h"
#include "net/event_loop.h"
#include "peer.pb.h"

namespace mustardline {

struct stream_log_options
{
    std::string topic;
    // Streams that wait to be appended beyond which the oldest are dropped.
    std::size_t maxWaiting = 10'000;
};

template<shared_log Log>
class stream_log
{
public:
    stream_log(event_loop &loop, Log &log, stream_log_options options)
        : m_loop(loop), m_log(log), m_options(std::move(options))
    {}
    stream_log(const stream_log &) = delete;
    auto operator=(const stream_log &) -> stream_log & = delete;

    // Called for each stream that was read.
    std::function<auto(std::uint64_t stream, const stream_origin &origin)->void> onRead;

    // The number of edges, which share the rate of appends.
    auto setEdgeCount(std::uint32_t count) -> void
    {
        m_interval = std::max(minInterval, intervalPerEdge * count);
    }

    auto add(std::uint64_t stream, const stream_origin &origin) -> void
    {
        if (m_waiting.size() >= m_options.maxWaiting)
            m_waiting.pop_front();
        m_waiting.emplace_back(stream, origin);
        scheduleAppend();
    }

    // Reads what was appended since the last read. A call during a read is answered by the next
    // one. `done` is called after a failure as well.
    auto read(std::function<auto()->void> done) -> void
    {
        if (m_readers.add(std::move(done)))
            beginRead();
    }

private:
    using waiting_streams = std::deque<std::pair<std::uint64_t, stream_origin>>;

    // All edges together append no more often than once in this time, which leaves the partition
    // and the rate of calls to others.
    static constexpr duration intervalPerEdge = std::chrono::milliseconds(10);
    static constexpr duration minInterval = std::chrono::milliseconds(200);

    auto scheduleAppend() -> void
    {
        if (m_isAppending)
            return;
        m_isAppending = true;
        m_timer = m_loop.after(m_interval, [this] { append(); });
    }

    auto append() -> void
    {
        auto appended = std::exchange(m_waiting, {});
        std::map<std::pair<std::string, std::string>, v1::StreamOrigins> messages;
        for (const auto &[stream, origin] : appended)
            messages[{origin.service, origin.version}].add_streams(stream);
        std::vector<std::string> records;
        for (auto &[origin, message] : messages) {
            message.set_service(origin.first);
            message.set_version(origin.second);
            records.push_back(message.SerializeAsString());
        }
        m_log.append({.topic = m_options.topic, .records = std::move(records)},
                     [this, appended = std::move(appended)](const auto &outcome) {
                         onAppended(appended, outcome);
                     });
    }

    // A stream that is appended twice does no harm.
    auto onAppended(const waiting_streams &appended, const log_append_outcome &outcome) -> void
    {
        m_isAppending = false;
        if (!std::holds_alternative<log_appended>(outcome)) {
            const auto room
                = m_options.maxWaiting - std::min(m_options.maxWaiting, m_waiting.size());
            const auto kept = std::min(room, appended.size());
            m_waiting.insert(m_waiting.begin(), appended.end() - static_cast<std::ptrdiff_t>(kept),
                             appended.end());
        }
        if (!m_waiting.empty())
            scheduleAppend();
    }

    auto beginRead() -> void
    {
        m_readers.begin();
        readFrom(m_next);
    }

    auto readFrom(const log_position &from) -> void
    {
        m_log.read({.topic = m_options.topic, .from = from},
                   [this, from](const log_read_outcome &outcome) { onBatch(from, outcome); });
    }

    auto onBatch(const log_position &from, const log_read_outcome &outcome) -> void
    {
        if (const auto *expired = std::get_if<log_expired>(&outcome)) {
            // The log ends before, in a new era; or records have expired.
            if (expired->first == from) {
                finishRead();
                return;
            }
            m_next = expired->first;
            readFrom(m_next);
            return;
        }
        const auto *batch = std::get_if<log_batch>(&outcome);
        if (batch == nullptr) {
            finishRead();
            return;
        }
        if (batch->era != from.era && from.offset > 0) {
            m_next = {.era = batch->era, .offset = batch->firstOffset};
            readFrom(m_next);
            return;
        }
        for (const auto &record : batch->records)
            apply(record);
        m_next = {.era = batch->era, .offset = from.offset + batch->records.size()};
        if (batch->records.empty() || m_next.offset >= batch->endOffset)
            finishRead();
        else
            readFrom(m_next);
    }

    auto apply(const std::string &record) -> void
    {
        v1::StreamOrigins message;
        // Records of other programs are ignored.
        if (!message.ParseFromString(record))
            return;
        const stream_origin origin{.service = message.service(), .version = message.version()};
        for (const auto stream : message.streams())
            onRead(stream, origin);
    }

    auto finishRead() -> void
    {
        if (m_readers.finish())
            beginRead();
    }

    event_loop &m_loop;
    Log &m_log;
    stream_log_options m_options;
    duration m_interval = minInterval;
    waiting_streams m_waiting;
    bool m_isAppending = false;
    event_handle m_timer;
    // Where the next read begins.
    log_position m_next;
    read_turns<std::function<auto()->void>> m_readers;
};

} // namespace mustardline
