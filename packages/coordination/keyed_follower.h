#pragma once

// Follows one keyed topic of a shared log: its newest values first, then each record as it comes.
//
//     keyed_follower follower(loop, log, {.topic = "settings", .wait = 2s});
//     follower.onRecord = [](const keyed_record &record) { ... };
//     follower.onWhole = [](const std::set<std::string> &keys) { ... };
//     follower.start();
//
// `onWhole` tells which keys exist after the newest values were read, at the start and whenever
// records were forgotten before they were read; a key that is not among them was dropped. The same
// record may be told twice, never an older one after a newer one of the same key. `onLost` and
// `onReturned` tell when the service stops answering and when it answers again.
//
// Processes that follow the same topic may share their reads: each passes on what it read by
// `onRead`, and takes what others read by `offer`, which puts its own next read off. With a delay
// of its own for each (`setDelay`), one of them reads and the others take over when it does not.

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
    // How long one call may wait for a record.
    duration wait{};
    // Least pause between two calls.
    duration pace = std::chrono::milliseconds(100);
    // Pause after a call that failed.
    duration retryAfter = std::chrono::milliseconds(400);
    // While others' reads were offered so lately, a call that fails is no loss of the service.
    duration offerTrust = std::chrono::seconds(2);
};

// The newest record of each key of a topic, and up to where the topic was read.
struct topic_knowledge
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
    std::function<auto(const std::set<std::string, std::less<>> &keys)->void> onWhole;
    std::function<auto(const std::string &reason)->void> onLost;
    std::function<auto()->void> onReturned;
    std::function<auto(std::string_view bytes)->void> onMalformed;
    // Records from `offset` on were forgotten unread; the newest values are read again.
    std::function<auto(std::uint64_t offset)->void> onForgotten;
    // All records from `from` up to `end` were read and told; none of them was offered.
    std::function<auto(std::uint64_t from, std::uint64_t end)->void> onRead;

    auto start() -> void { readNewest(""); }

    // Another process has read the records from `from` up to `end`, and passes on those that
    // matter. Those told already are left out; false if they do not follow on what was read.
    auto offer(std::uint64_t from, std::uint64_t end, std::span<const keyed_record> records) -> bool
    {
        if (!m_following || from > *m_readFrom || end < *m_readFrom)
            return false;
        m_offeredAt = system_runtime_clock().now();
        heard();
        const auto readFrom = std::exchange(m_readFrom, end);
        for (const auto &record : records) {
            if (record.offset >= *readFrom)
                tell(record);
        }
        if (!m_calling)
            again(m_options.pace + m_delay, [this] { readOn(); });
        return true;
    }

    // What is known now, for a process that the service refuses; nothing before it was read whole.
    [[nodiscard]] auto knowledge() const -> std::optional<topic_knowledge>
    {
        if (!m_following)
            return std::nullopt;
        topic_knowledge known{.end = *m_readFrom};
        for (const auto &[key, record] : m_newest)
            known.records.push_back(record);
        return known;
    }

    // Takes what another process knows, and reads on from there. False if the topic was read
    // whole already: what is known then may be newer.
    auto adopt(const topic_knowledge &known) -> bool
    {
        if (m_whole)
            return false;
        m_readFrom = known.end;
        for (const auto &record : known.records)
            tell(record);
        whole();
        return true;
    }

    // Waits so much longer between two reads than others that follow the same topic.
    auto setDelay(duration delay) -> void { m_delay = delay; }

    // Whether the topic has been read to its end at least once.
    [[nodiscard]] auto isWhole() const -> bool { return m_whole; }

private:
    auto readNewest(const std::string &after) -> void
    {
        if (after.empty()) {
            m_newest.clear();
            m_readFrom.reset();
            m_following = false;
        }
        m_log.newest(m_options.topic, after,
                     [this](const log_newest_outcome &outcome) { newestCame(outcome); });
    }

    auto newestCame(const log_newest_outcome &outcome) -> void
    {
        const bool wasAnswered = isAnswered(outcome);
        // Another process has told all since the call began, and reading goes on from there: what
        // has come is older.
        if (m_following)
            return;
        if (!wasAnswered) {
            again(m_options.retryAfter, [this] { readNewest(""); });
            return;
        }
        const auto &page = std::get<log_newest_page>(outcome);
        // Pages are not a snapshot: reading on from the end of the first one misses nothing.
        if (!m_readFrom)
            m_readFrom = page.endOffset;
        for (const auto &record : page.entries)
            tell(record);
        if (page.more && !page.entries.empty()) {
            readNewest(page.entries.back().key);
            return;
        }
        whole();
    }

    auto whole() -> void
    {
        m_whole = true;
        m_following = true;
        std::set<std::string, std::less<>> keys;
        for (const auto &[key, record] : m_newest)
            keys.insert(key);
        if (onWhole)
            onWhole(keys);
        again(m_options.pace, [this] { readOn(); });
    }

    auto readOn() -> void
    {
        m_calling = true;
        // A service that did not answer the last call may swallow this one; one that does not wait
        // ends the sooner.
        const auto wait = m_answers ? m_options.wait : duration{};
        m_log.read({.topic = m_options.topic, .offset = *m_readFrom, .wait = wait},
                   [this, from = *m_readFrom](const log_read_outcome &outcome) {
                       m_calling = false;
                       recordsCame(from, outcome);
                   });
    }

    // What was asked for from `from` on; some of it may have been offered since.
    auto recordsCame(std::uint64_t from, const log_read_outcome &outcome) -> void
    {
        if (!isAnswered(outcome)) {
            again(m_options.retryAfter, [this] { readOn(); });
            return;
        }
        const auto *batch = std::get_if<log_batch>(&outcome);
        // Records are gone unread, or the log ends before what was read of it.
        if (batch == nullptr || batch->endOffset < from || batch->firstOffset > from) {
            if (onForgotten)
                onForgotten(from);
            m_following = false;
            again(m_options.pace, [this] { readNewest(""); });
            return;
        }
        const auto toldFrom = *m_readFrom;
        auto next = from;
        for (const auto &bytes : batch->records) {
            const auto offset = next++;
            if (offset < toldFrom)
                continue;
            auto record = Log::keyedRecord(bytes);
            if (!record) {
                if (onMalformed)
                    onMalformed(bytes);
                continue;
            }
            record->offset = offset;
            tell(*record);
        }
        m_readFrom = std::max(toldFrom, next);
        if (onRead)
            onRead(toldFrom, *m_readFrom);
        again(m_options.pace + m_delay, [this] { readOn(); });
    }

    auto tell(const keyed_record &record) -> void
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

    auto again(duration delay, std::function<auto()->void> step) -> void
    {
        m_timer = m_loop.after(delay, std::move(step));
    }

    // Notes whether the service answered a call of this process.
    template<class Outcome>
    auto isAnswered(const Outcome &outcome) -> bool
    {
        const auto *fault = std::get_if<log_unavailable>(&outcome);
        m_answers = fault == nullptr;
        if (m_answers)
            heard();
        else
            lost(fault->reason);
        return m_answers;
    }

    auto heard() -> void
    {
        if (std::exchange(m_lost, false) && onReturned)
            onReturned();
    }

    auto lost(const std::string &reason) -> void
    {
        const auto now = system_runtime_clock().now();
        if (m_offeredAt && now - *m_offeredAt < m_options.offerTrust)
            return;
        if (!std::exchange(m_lost, true) && onLost)
            onLost(reason);
    }

    event_loop &m_loop;
    Log &m_log;
    keyed_follower_options m_options;
    std::optional<std::uint64_t> m_readFrom;
    // The newest record told of each key.
    std::unordered_map<std::string, keyed_record> m_newest;
    std::optional<time_point> m_offeredAt;
    duration m_delay{};
    // The service answered the last call of this process, whatever others told.
    bool m_answers = false;
    // A read is under way.
    bool m_calling = false;
    bool m_lost = false;
    bool m_whole = false;
    // The newest values are read, and records are read on from there.
    bool m_following = false;
    event_handle m_timer;
};

} // namespace mustardline
