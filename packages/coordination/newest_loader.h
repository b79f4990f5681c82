#pragma once

// Reads the newest value of each key of a topic, page by page, until the service says that there
// are no more.
//
//     newest_loader<Log> loader(loop, log, {.topic = "settings"});
//     loader.onPage = [](const log_newest_page &page, bool isFirst) { ... };
//     loader.onLoaded = [](const log_position &end) { read on from there };
//     loader.start(load_cause::start);
//
// A page that was lost is asked for again at its own key. A page that does not bring the load
// further is asked for again after a pause, then from a key further on, and then the load begins
// anew. `onProgress` says once a second how far the load has come and what keeps it.

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "coordination/load_progress.h"
#include "coordination/newest_cursor.h"
#include "coordination/shared_log.h"
#include "net/event_loop.h"

namespace mustardline {

struct newest_loader_options
{
    std::string topic;
    // Pause after a page that was refused or did not bring the load further, and after the second
    // one that was lost in a row.
    duration retryAfter = std::chrono::milliseconds(400);
    // Interval of `onProgress` while a load lasts.
    duration progressInterval = std::chrono::seconds(1);
};

template<shared_log Log>
class newest_loader
{
public:
    newest_loader(event_loop &loop, Log &log, newest_loader_options options)
        : m_loop(loop), m_log(log), m_options(std::move(options))
    {}
    newest_loader(const newest_loader &) = delete;
    auto operator=(const newest_loader &) -> newest_loader & = delete;

    // Called before the first page is read, and whenever the load begins anew.
    std::function<auto()->void> onFirstPage;
    // Called with each page that belongs to the load.
    std::function<auto(const log_newest_page &page, bool isFirst)->void> onPage;
    // All newest values were read; `end` is the log's end as of the first page.
    std::function<auto(const log_position &end)->void> onLoaded;
    // Called with the outcome of each call, before it takes effect.
    std::function<auto(const log_newest_outcome &outcome)->void> onOutcome;
    // The load began, has lasted for another interval, or ended.
    std::function<auto(load_stage stage, const load_progress &progress)->void> onProgress;

    // Begins a load after `delay`; there must be none in progress.
    auto start(load_cause cause, duration delay = {}) -> void
    {
        m_isRunning = true;
        m_isDoubtful = false;
        m_progress = {.cause = cause, .begunAt = m_clock.now()};
        m_progressTimer
            = m_loop.every(m_options.progressInterval, [this] { report(load_stage::continues); });
        report(load_stage::began);
        if (delay > duration{})
            schedule(delay, [this] { begin(); });
        else
            begin();
    }

    // Ends the load, if there is one, as the values were received from another process. The
    // response to a call in progress has no effect.
    auto endByPeer() -> void
    {
        if (!m_isRunning)
            m_progress = {.begunAt = m_clock.now()};
        m_progress.isFromPeer = true;
        m_isDoubtful = false;
        end();
    }

    // Whether a page of the last pass over the pages did not lead on, or ended at a key that is not
    // as it was written. Keys may be missing then.
    [[nodiscard]] auto isDoubtful() const -> bool { return m_isDoubtful; }
    [[nodiscard]] auto isRunning() const -> bool { return m_isRunning; }
    // When the load in progress began; no value if there is none.
    [[nodiscard]] auto begunAt() const -> std::optional<time_point>
    {
        return m_isRunning ? std::optional(m_progress.begunAt) : std::nullopt;
    }

private:
    auto begin() -> void
    {
        m_cursor.reset();
        m_isLastWithoutProgress = false;
        m_isDoubtful = false;
        if (onFirstPage)
            onFirstPage();
        ask();
    }

    auto beginAnew() -> void
    {
        m_progress.beginAnew();
        begin();
    }

    auto ask() -> void
    {
        m_log.newest(m_options.topic, m_cursor.after(),
                     [this, call = ++m_calls](const log_newest_outcome &outcome) {
                         if (onOutcome)
                             onOutcome(outcome);
                         if (m_isRunning && call == m_calls)
                             handle(outcome);
                     });
    }

    auto handle(const log_newest_outcome &outcome) -> void
    {
        if (const auto *failure = std::get_if<log_unavailable>(&outcome)) {
            retryLost(*failure);
            return;
        }
        m_wasAnswered = true;
        const auto &page = std::get<log_newest_page>(outcome);
        const bool isFirst = !m_cursor.end();
        const auto step = m_cursor.add(page);
        m_isDoubtful = m_isDoubtful || m_cursor.isInexact();
        if (step == cursor_step::other_era) {
            m_progress.fail(std::string(m_cursor.reason()));
            schedule(m_options.retryAfter, [this] { beginAnew(); });
            return;
        }
        onPage(page, isFirst);
        if (step == cursor_step::no_progress) {
            retryWithoutProgress();
            return;
        }
        m_isLastWithoutProgress = false;
        m_progress.addPage(page);
        if (step == cursor_step::next_page) {
            ask();
            return;
        }
        end();
        onLoaded(*m_cursor.end());
    }

    // A single page may be lost with its connection alone; one that was refused takes its time.
    auto retryLost(const log_unavailable &failure) -> void
    {
        m_progress.fail(failure.reason);
        const bool isAtOnce = std::exchange(m_wasAnswered, false) && failure.mayHaveTakenEffect;
        schedule(isAtOnce ? duration{} : m_options.retryAfter, [this] { ask(); });
    }

    // A key that is not as it was written cannot be expected to lead on.
    auto retryWithoutProgress() -> void
    {
        m_progress.fail(std::string(m_cursor.reason()));
        m_isDoubtful = true;
        const bool isFirstTry = !std::exchange(m_isLastWithoutProgress, true);
        if (m_cursor.isInexact() && m_cursor.skipAhead())
            ask();
        else if (isFirstTry || m_cursor.skipAhead())
            schedule(m_options.retryAfter, [this] { ask(); });
        else
            schedule(m_options.retryAfter, [this] { beginAnew(); });
    }

    auto end() -> void
    {
        m_isRunning = false;
        // The response to a call in progress must not count for a later load.
        ++m_calls;
        m_timer = {};
        m_progressTimer = {};
        report(load_stage::ended);
    }

    auto report(load_stage stage) const -> void
    {
        if (onProgress)
            onProgress(stage, m_progress);
    }

    auto schedule(duration delay, std::function<auto()->void> action) -> void
    {
        m_timer = m_loop.after(delay, std::move(action));
    }

    event_loop &m_loop;
    Log &m_log;
    newest_loader_options m_options;
    system_runtime_clock m_clock;
    newest_cursor m_cursor;
    load_progress m_progress;
    bool m_isRunning = false;
    // The last call was answered.
    bool m_wasAnswered = false;
    // The last page did not lead on.
    bool m_isLastWithoutProgress = false;
    bool m_isDoubtful = false;
    // Numbers the calls, so that a late response to an earlier one is told apart.
    std::uint64_t m_calls = 0;
    event_handle m_timer;
    event_handle m_progressTimer;
};

} // namespace mustardline
