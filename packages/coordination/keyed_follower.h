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
// again. `onLoadProgress` reports a load of the newest values.
//
// When the service comes back from an older copy, in a later era, the newest values are read again.
// What it has lost of them is kept as keyed_values decides; a key that is given up then is reported
// as deleted.
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
#include <utility>

#include "coordination/keyed_values.h"
#include "coordination/newest_loader.h"
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
    // Pause after a failed call; the first retry of a call whose answer was lost follows at once.
    duration retryAfter = std::chrono::milliseconds(400);
    // A failed call is not reported by `onUnavailable` if a peer's read was offered within this
    // time: the service then answers others.
    duration peerReadTrustTime = std::chrono::seconds(2);
    // Time after which the newest values are read again if pages of them did not lead on. Doubles
    // with each such load, up to `maxReloadAfter`.
    duration reloadAfter = std::chrono::seconds(2);
    duration maxReloadAfter = std::chrono::seconds(60);
    // What is kept when the service comes back from an older copy.
    keyed_values_options values;
};

// The newest record of each key of a topic, and the place up to which the topic was read.
struct topic_snapshot
{
    log_position end;
    std::vector<keyed_record> records;
};

template<shared_log Log>
class keyed_follower
{
public:
    keyed_follower(event_loop &loop, Log &log, keyed_follower_options options)
        : m_loop(loop),
          m_log(log),
          m_options(std::move(options)),
          m_loader(loop, log, {.topic = m_options.topic, .retryAfter = m_options.retryAfter}),
          m_values(m_options.values)
    {
        connectLoader();
    }
    keyed_follower(const keyed_follower &) = delete;
    auto operator=(const keyed_follower &) -> keyed_follower & = delete;

    std::function<auto(const keyed_record &)->void> onRecord;
    std::function<auto(const std::set<std::string, std::less<>> &keys)->void> onLoaded;
    std::function<auto(const std::string &reason)->void> onUnavailable;
    std::function<auto()->void> onAvailable;
    // So many records of one read cannot be decoded.
    std::function<auto(std::size_t records)->void> onMalformed;
    // Records from `from` on expired before they were read; the newest values are read again.
    std::function<auto(const log_position &from)->void> onRecordsExpired;
    // The service came back from an older copy; the newest values are read again. `from` is where
    // this process would have read on.
    std::function<auto(const log_position &from)->void> onEraEnded;
    // A load of the newest values began, has lasted for another second, or ended; `progress` says
    // how far it has come and what kept it from going on.
    std::function<auto(load_stage stage, const load_progress &progress)->void> onLoadProgress;
    // This process has read and reported all records from `from` up to `end`; records that were
    // offered by a peer are not included.
    std::function<auto(const log_position &from, const log_position &end)->void> onRead;

    auto start() -> void { m_loader.start(load_cause::start); }

    // Applies what another process has read from `from` up to `end`; `records` holds those of that
    // range that it forwarded. Records already reported are skipped. Returns false, and has no
    // effect, if the range leaves a gap to what was read, ends before it, or is of another era. One
    // of a later era makes this process read soon, as its own era may have ended.
    auto offer(const log_position &from, const log_position &end,
               std::span<const keyed_record> records) -> bool
    {
        if (!m_isFollowing)
            return false;
        if (from.era != m_next->era || end.era != m_next->era) {
            ++m_otherEraOffers;
            if (from.era > m_next->era && !m_isReading)
                schedule(m_readDelay, [this] { readNext(); });
            return false;
        }
        if (from > *m_next || end < *m_next)
            return false;
        m_lastOfferAt = m_clock.now();
        markAvailable();
        const auto previousEnd = *std::exchange(m_next, end);
        for (const auto &record : records) {
            if (record.position >= previousEnd)
                apply(record);
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
        return topic_snapshot{.end = *m_next, .records = m_values.records()};
    }

    // Starts from the values of another process and continues reading from their end. Returns
    // false, and has no effect, if the newest values were read before: they may be newer.
    auto adopt(const topic_snapshot &known) -> bool
    {
        if (m_isLoaded)
            return false;
        m_loader.endByPeer();
        m_next = known.end;
        m_values.clear();
        m_values.beginLoad();
        for (const auto &record : known.records)
            applyLoaded(record);
        finishLoading();
        return true;
    }

    // Takes from the values of another process what the service has lost, for a process that has
    // read the newest values from an older copy.
    auto learn(const topic_snapshot &known) -> void
    {
        if (!m_isFollowing)
            return;
        for (const auto &record : known.records) {
            if (m_values.learn(record, *m_next, m_clock.now()) && onRecord)
                onRecord(record);
        }
        awaitDecisions();
    }

    // Keeps the key of a record that was reported, but not its value, which nobody can use.
    auto discardValue(const std::string &key) -> void { m_values.discardValue(key); }

    // The number of values that are kept although the service holds others, or none.
    [[nodiscard]] auto keptCount() const -> std::size_t { return m_values.keptCount(); }
    // The number of offers of another era, which had no effect.
    [[nodiscard]] auto otherEraOfferCount() const -> std::uint64_t { return m_otherEraOffers; }
    // Where this process reads on; the beginning, in era 0, while the newest values have not been
    // read, or are to be read anew: what was reported then does not reach up to any later place.
    [[nodiscard]] auto position() const -> log_position
    {
        return m_isFollowing ? *m_next : log_position();
    }

    // When the last read of this process that reached the end of the topic was begun: all that was
    // appended before has been reported. Its answer may have waited for any time. Nothing before
    // the first one.
    [[nodiscard]] auto readToEndAt() const -> std::optional<time_point> { return m_readToEndAt; }

    // Adds a delay to the pause between two reads, different for each process.
    auto setDelay(duration delay) -> void { m_readDelay = delay; }

    // Whether the newest values have been read or adopted at least once.
    [[nodiscard]] auto isLoaded() const -> bool { return m_isLoaded; }

    // When the load of the newest values that is in progress began; no value if there is none.
    [[nodiscard]] auto loadBegunAt() const -> std::optional<time_point>
    {
        return m_loader.begunAt();
    }

private:
    auto connectLoader() -> void
    {
        m_loader.onFirstPage = [this] {
            m_values.beginLoad();
            m_isFollowing = false;
            if (m_next)
                m_readUpTo = std::exchange(m_next, std::nullopt);
        };
        m_loader.onOutcome = [this](const log_newest_outcome &outcome) { noteOutcome(outcome); };
        m_loader.onPage
            = [this](const log_newest_page &page, bool isFirst) { applyPage(page, isFirst); };
        m_loader.onLoaded = [this](const log_position &end) {
            m_next = end;
            finishLoading();
        };
        m_loader.onProgress = [this](load_stage stage, const load_progress &progress) {
            if (onLoadProgress)
                onLoadProgress(stage, progress);
        };
    }

    auto applyPage(const log_newest_page &page, bool isFirst) -> void
    {
        // Without a new era, a log that ends before what was read of it is another one.
        if (isFirst && m_readUpTo && page.end.era == m_readUpTo->era && page.end < *m_readUpTo)
            m_values.clear();
        for (const auto &record : page.entries)
            applyLoaded(record);
    }

    auto finishLoading() -> void
    {
        m_isLoaded = true;
        m_isFollowing = true;
        m_values.finishLoad(*m_next, m_clock.now(), m_loader.isDoubtful());
        scheduleReload();
        if (onLoaded)
            onLoaded(m_values.keys());
        awaitDecisions();
        schedule(m_options.readPause, [this] { readNext(); });
    }

    // A load of which pages did not lead on may have passed over keys.
    auto scheduleReload() -> void
    {
        m_reloadAt.reset();
        if (!m_loader.isDoubtful()) {
            m_reloadAfter = m_options.reloadAfter;
            return;
        }
        m_reloadAt = m_clock.now() + m_reloadAfter;
        m_reloadAfter = std::min(m_reloadAfter * 2, m_options.maxReloadAfter);
    }

    auto readNext() -> void
    {
        if (m_reloadAt && m_clock.now() >= *m_reloadAt) {
            readNewestAfter({}, load_cause::pages_contradicted);
            return;
        }
        m_isReading = true;
        // After a failed call the read does not wait for a record, so that its answer, or its
        // failure, shows soon whether the service is back.
        const auto wait = m_lastCallAnswered ? m_options.wait : duration{};
        m_log.read(
            {.topic = m_options.topic, .from = *m_next, .wait = wait},
            [this, from = *m_next, begunAt = m_clock.now()](const log_read_outcome &outcome) {
                m_isReading = false;
                handleRecords(from, begunAt, outcome);
            });
    }

    // Handles the answer to a read from `from` on; peers may have offered some of it meanwhile.
    auto handleRecords(const log_position &from, time_point begunAt,
                       const log_read_outcome &outcome) -> void
    {
        const bool wasLastAnswered = m_lastCallAnswered;
        if (!noteOutcome(outcome)) {
            // A single call may be lost with its connection alone; records wait since it began.
            schedule(wasLastAnswered ? duration{} : m_options.retryAfter, [this] { readNext(); });
            return;
        }
        const auto *batch = std::get_if<log_batch>(&outcome);
        const auto era = batch != nullptr ? batch->era : std::get<log_expired>(outcome).first.era;
        if (era != from.era) {
            if (onEraEnded)
                onEraEnded(from);
            // The processes that follow the topic do not read it all at the same time.
            readNewestAfter(m_readDelay, load_cause::era_ended);
            return;
        }
        // Records expired unread, or the log ends before what was already read of it.
        if (batch == nullptr || batch->endOffset < from.offset
            || batch->firstOffset > from.offset) {
            if (onRecordsExpired)
                onRecordsExpired(from);
            readNewestAfter(m_options.readPause, load_cause::records_expired);
            return;
        }
        const auto reportedUpTo = *m_next;
        auto next = from;
        std::size_t malformed = 0;
        for (const auto &bytes : batch->records) {
            const auto position = next;
            ++next.offset;
            if (position < reportedUpTo)
                continue;
            auto record = Log::decodeKeyedRecord(bytes);
            if (!record) {
                ++malformed;
                continue;
            }
            record->position = position;
            apply(*record);
        }
        if (malformed > 0 && onMalformed)
            onMalformed(malformed);
        m_next = std::max(reportedUpTo, next);
        if (next.offset >= batch->endOffset)
            m_readToEndAt = begunAt;
        if (onRead)
            onRead(reportedUpTo, *m_next);
        schedule(m_options.readPause + m_readDelay, [this] { readNext(); });
    }

    auto readNewestAfter(duration delay, load_cause cause) -> void
    {
        m_isFollowing = false;
        m_timer = {};
        m_loader.start(cause, delay);
    }

    auto apply(const keyed_record &record) -> void
    {
        if (m_values.apply(record, m_clock.now()) && onRecord)
            onRecord(record);
    }

    auto applyLoaded(const keyed_record &record) -> void
    {
        if (m_values.applyLoaded(record, m_clock.now()) && onRecord)
            onRecord(record);
    }

    // Reports what takes the place of kept values, once their time is over.
    auto awaitDecisions() -> void
    {
        if (m_values.keptCount() == 0)
            return;
        m_decisionTimer = m_loop.after(m_options.values.rewriteTime, [this] {
            for (const auto &record : m_values.takeDecided(m_clock.now())) {
                if (onRecord)
                    onRecord(record);
            }
            awaitDecisions();
        });
    }

    auto schedule(duration delay, std::function<auto()->void> action) -> void
    {
        m_timer = m_loop.after(delay, std::move(action));
    }

    // Returns whether the service answered the call, and reports a change of its availability.
    template<class Outcome>
    auto noteOutcome(const Outcome &outcome) -> bool
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
        const auto now = m_clock.now();
        if (m_lastOfferAt && now - *m_lastOfferAt < m_options.peerReadTrustTime)
            return;
        if (!std::exchange(m_isUnavailable, true) && onUnavailable)
            onUnavailable(reason);
    }

    event_loop &m_loop;
    Log &m_log;
    keyed_follower_options m_options;
    newest_loader<Log> m_loader;
    system_runtime_clock m_clock;
    // Where to read on; no value while the newest values have not been read.
    std::optional<log_position> m_next;
    // Where the topic was read up to before the newest values were read again.
    std::optional<log_position> m_readUpTo;
    keyed_values m_values;
    // When the newest values are read again, as the last load may have missed some.
    std::optional<time_point> m_reloadAt;
    duration m_reloadAfter = m_options.reloadAfter;
    std::optional<time_point> m_lastOfferAt;
    std::optional<time_point> m_readToEndAt;
    duration m_readDelay{};
    std::uint64_t m_otherEraOffers = 0;
    // The service answered the last call of this process.
    bool m_lastCallAnswered = false;
    // A read is in progress.
    bool m_isReading = false;
    bool m_isUnavailable = false;
    bool m_isLoaded = false;
    // The newest values were read or adopted, and records are being read from there.
    bool m_isFollowing = false;
    event_handle m_timer;
    event_handle m_decisionTimer;
};

} // namespace mustardline
