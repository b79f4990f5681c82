#pragma once

// Follows one keyed topic of a shared log: reports the newest value of each key, then every record
// as it is appended.
//
//     keyed_follower follower(loop, log, {.topic = "settings", .wait = 2s});
//     follower.onRecord = [](const keyed_record &record) { ... };
//     follower.onLoaded = [](const std::set<std::string> &keys) { ... };
//     follower.start();
//
// `onLoaded` is called after the newest values were read or adopted, with the keys that exist: at
// the start, and whenever records expired before they were read. A key that is not among them was
// deleted. A record may be reported twice, but never after a newer one of the same key.
// `onUnavailable` and `onAvailable` report when the log service stops answering and when it answers
// again.
//
// Processes that follow the same topic can share their reads: each forwards what it has read
// (`onRead`) to its peers, and passes what peers have read to `offer`, which postpones its own next
// read. If each has a different delay (`setDelay`), the one with the shortest reads for all, and
// another takes over if it stops.

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

#include "coordination/shared_log.h"
#include "net/event_loop.h"

namespace mustardline {

struct keyed_follower_options
{
    std::string topic;
    // How long the service may hold one read until a record is appended.
    duration wait{};
    // Pause between the end of a read and the next one.
    duration readPause = std::chrono::milliseconds(100);
    // Pause after a failed call; the first retry of a read follows at once.
    duration retryAfter = std::chrono::milliseconds(400);
    // A failed call is not reported by `onUnavailable` if a peer's read was offered within this
    // time: the service then answers others.
    duration peerReadTrustTime = std::chrono::seconds(2);
};

// The newest record of each key of a topic, and the offset up to which the topic was read.
struct topic_snapshot
{
    std::uint64_t end = 0;
    std::vector<keyed_record> records;
};

template<shared_log Log>
class keyed_follower
{
public:
    keyed_follower(event_loop &loop, Log &log, keyed_follower_options options)
        : m_loop(loop), m_log(log), m_options(std::move(options))
    {}
    keyed_follower(const keyed_follower &) = delete;
    auto operator=(const keyed_follower &) -> keyed_follower & = delete;

    std::function<auto(const keyed_record &)->void> onRecord;
    std::function<auto(const std::set<std::string, std::less<>> &keys)->void> onLoaded;
    std::function<auto(const std::string &reason)->void> onUnavailable;
    std::function<auto()->void> onAvailable;
    std::function<auto(std::string_view bytes)->void> onMalformed;
    // Records from `offset` on expired before they were read; the newest values are read again.
    std::function<auto(std::uint64_t offset)->void> onRecordsExpired;
    // This process has read and reported all records from `from` up to `end`; records that were
    // offered by a peer are not included.
    std::function<auto(std::uint64_t from, std::uint64_t end)->void> onRead;

    auto start() -> void { readNewest(""); }

    // Applies what another process has read from `from` up to `end`; `records` holds those of that
    // range that it forwarded. Records already reported are skipped. Returns false, and has no
    // effect, if the range leaves a gap to what was read or ends before it.
    auto offer(std::uint64_t from, std::uint64_t end, std::span<const keyed_record> records) -> bool
    {
        if (!m_isFollowing || from > *m_nextOffset || end < *m_nextOffset)
            return false;
        m_lastOfferAt = system_runtime_clock().now();
        markAvailable();
        const auto previousEnd = std::exchange(m_nextOffset, end);
        for (const auto &record : records) {
            if (record.offset >= *previousEnd)
                report(record);
        }
        if (!m_isReading)
            schedule(m_options.readPause + m_readDelay, [this] { readNext(); });
        return true;
    }

    // The current values, for a process that cannot reach the service; no value while the newest
    // values have not been read.
    [[nodiscard]] auto knowledge() const -> std::optional<topic_snapshot>
    {
        if (!m_isFollowing)
            return std::nullopt;
        topic_snapshot known{.end = *m_nextOffset};
        for (const auto &[key, record] : m_newest)
            known.records.push_back(record);
        return known;
    }

    // Starts from the values of another process and continues reading from their end. Returns
    // false, and has no effect, if the newest values were read before: they may be newer.
    auto adopt(const topic_snapshot &known) -> bool
    {
        if (m_isLoaded)
            return false;
        m_nextOffset = known.end;
        for (const auto &record : known.records)
            report(record);
        finishLoading();
        return true;
    }

    // Adds a delay to the pause between two reads, different for each process.
    auto setDelay(duration delay) -> void { m_readDelay = delay; }

    // Whether the newest values have been read or adopted at least once.
    [[nodiscard]] auto isLoaded() const -> bool { return m_isLoaded; }

private:
    auto readNewest(const std::string &after) -> void
    {
        if (after.empty()) {
            m_newest.clear();
            m_nextOffset.reset();
            m_isFollowing = false;
        }
        m_log.newest(m_options.topic, after,
                     [this](const log_newest_outcome &outcome) { handleNewest(outcome); });
    }

    auto handleNewest(const log_newest_outcome &outcome) -> void
    {
        const bool wasAnswered = isAnswered(outcome);
        // The values of another process were adopted during the call; the page may be older.
        if (m_isFollowing)
            return;
        if (!wasAnswered) {
            schedule(m_options.retryAfter, [this] { readNewest(""); });
            return;
        }
        const auto &page = std::get<log_newest_page>(outcome);
        // The pages are not one consistent snapshot. Reading on from the log's end as of the first
        // page misses nothing.
        if (!m_nextOffset)
            m_nextOffset = page.endOffset;
        for (const auto &record : page.entries)
            report(record);
        if (page.more && !page.entries.empty()) {
            readNewest(page.entries.back().key);
            return;
        }
        finishLoading();
    }

    auto finishLoading() -> void
    {
        m_isLoaded = true;
        m_isFollowing = true;
        std::set<std::string, std::less<>> keys;
        for (const auto &[key, record] : m_newest)
            keys.insert(key);
        if (onLoaded)
            onLoaded(keys);
        schedule(m_options.readPause, [this] { readNext(); });
    }

    auto readNext() -> void
    {
        m_isReading = true;
        // After a failed call the read does not wait for a record, so that its answer, or its
        // failure, shows soon whether the service is back.
        const auto wait = m_lastCallAnswered ? m_options.wait : duration{};
        m_log.read({.topic = m_options.topic, .offset = *m_nextOffset, .wait = wait},
                   [this, from = *m_nextOffset](const log_read_outcome &outcome) {
                       m_isReading = false;
                       handleRecords(from, outcome);
                   });
    }

    // Handles the answer to a read from `from` on; peers may have offered some of it meanwhile.
    auto handleRecords(std::uint64_t from, const log_read_outcome &outcome) -> void
    {
        const bool wasLastAnswered = m_lastCallAnswered;
        if (!isAnswered(outcome)) {
            // A single call may be lost with its connection alone; records wait since it began.
            schedule(wasLastAnswered ? duration{} : m_options.retryAfter, [this] { readNext(); });
            return;
        }
        const auto *batch = std::get_if<log_batch>(&outcome);
        // Records expired unread, or the log ends before what was already read of it.
        if (batch == nullptr || batch->endOffset < from || batch->firstOffset > from) {
            if (onRecordsExpired)
                onRecordsExpired(from);
            m_isFollowing = false;
            schedule(m_options.readPause, [this] { readNewest(""); });
            return;
        }
        const auto reportedUpTo = *m_nextOffset;
        auto next = from;
        for (const auto &bytes : batch->records) {
            const auto offset = next++;
            if (offset < reportedUpTo)
                continue;
            auto record = Log::decodeKeyedRecord(bytes);
            if (!record) {
                if (onMalformed)
                    onMalformed(bytes);
                continue;
            }
            record->offset = offset;
            report(*record);
        }
        m_nextOffset = std::max(reportedUpTo, next);
        if (onRead)
            onRead(reportedUpTo, *m_nextOffset);
        schedule(m_options.readPause + m_readDelay, [this] { readNext(); });
    }

    auto report(const keyed_record &record) -> void
    {
        const auto known = m_newest.find(record.key);
        if (known != m_newest.end() && record.offset < known->second.offset)
            return;
        m_newest[record.key] = record;
        if (onRecord)
            onRecord(record);
        if (!record.value)
            m_newest.erase(record.key);
    }

    auto schedule(duration delay, std::function<auto()->void> action) -> void
    {
        m_timer = m_loop.after(delay, std::move(action));
    }

    // Returns whether the service answered the call, and reports a change of its availability.
    template<class Outcome>
    auto isAnswered(const Outcome &outcome) -> bool
    {
        const auto *failure = std::get_if<log_unavailable>(&outcome);
        m_lastCallAnswered = failure == nullptr;
        if (m_lastCallAnswered)
            markAvailable();
        else
            markUnavailable(failure->reason);
        return m_lastCallAnswered;
    }

    auto markAvailable() -> void
    {
        if (std::exchange(m_isUnavailable, false) && onAvailable)
            onAvailable();
    }

    auto markUnavailable(const std::string &reason) -> void
    {
        const auto now = system_runtime_clock().now();
        if (m_lastOfferAt && now - *m_lastOfferAt < m_options.peerReadTrustTime)
            return;
        if (!std::exchange(m_isUnavailable, true) && onUnavailable)
            onUnavailable(reason);
    }

    event_loop &m_loop;
    Log &m_log;
    keyed_follower_options m_options;
    std::optional<std::uint64_t> m_nextOffset;
    // The newest reported record of each key; deleted keys are absent.
    std::unordered_map<std::string, keyed_record> m_newest;
    std::optional<time_point> m_lastOfferAt;
    duration m_readDelay{};
    // The service answered the last call of this process.
    bool m_lastCallAnswered = false;
    // A read is in progress.
    bool m_isReading = false;
    bool m_isUnavailable = false;
    bool m_isLoaded = false;
    // The newest values were read or adopted, and records are being read from there.
    bool m_isFollowing = false;
    event_handle m_timer;
};

} // namespace mustardline
