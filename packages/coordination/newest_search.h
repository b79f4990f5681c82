#pragma once

// Finds the newest value of one key of a topic, on whichever page it is.
//
//     findNewest(log, "duties", "usage", [](const newest_search_outcome &outcome) { ... });
//
// A failed call, a page that does not lead to the next one and a new era between two pages end the
// search with `log_unavailable`.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "coordination/newest_cursor.h"
#include "coordination/shared_log.h"

namespace mustardline {

struct newest_search_result
{
    // No value if the key does not exist.
    std::optional<keyed_record> record;
    // The log's end as of the first page.
    log_position end;
};

using newest_search_outcome = std::variant<newest_search_result, log_unavailable>;
using newest_search_handler = std::function<auto(const newest_search_outcome &)->void>;

template<shared_log Log>
class newest_search : public std::enable_shared_from_this<newest_search<Log>>
{
public:
    newest_search(Log &log, std::string topic, std::string key, newest_search_handler done)
        : m_log(log), m_topic(std::move(topic)), m_key(std::move(key)), m_done(std::move(done))
    {}

    // Reads the next page; the search lives until it has ended.
    auto readPage() -> void
    {
        m_log.newest(m_topic, m_cursor.after(),
                     [self = this->shared_from_this()](const log_newest_outcome &outcome) {
                         self->handle(outcome);
                     });
    }

private:
    auto handle(const log_newest_outcome &outcome) -> void
    {
        if (const auto *failure = std::get_if<log_unavailable>(&outcome)) {
            m_done(*failure);
            return;
        }
        const auto &page = std::get<log_newest_page>(outcome);
        const auto step = m_cursor.add(page);
        const auto found = std::ranges::find(page.entries, m_key, &keyed_record::key);
        const bool isFound = step != cursor_step::other_era && found != page.entries.end();
        if (isFound)
            m_done(newest_search_result{.record = *found, .end = *m_cursor.end()});
        else if (step == cursor_step::finished)
            m_done(newest_search_result{.record = std::nullopt, .end = *m_cursor.end()});
        else if (step == cursor_step::next_page)
            readPage();
        else
            m_done(log_unavailable{.reason = std::string(m_cursor.reason())});
    }

    Log &m_log;
    std::string m_topic;
    std::string m_key;
    newest_search_handler m_done;
    newest_cursor m_cursor;
};

template<shared_log Log>
auto findNewest(Log &log, std::string topic, std::string key, newest_search_handler done) -> void
{
    std::make_shared<newest_search<Log>>(log, std::move(topic), std::move(key), std::move(done))
        ->readPage();
}

} // namespace mustardline
