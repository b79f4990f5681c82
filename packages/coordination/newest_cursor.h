#pragma once

// The place in a load of the newest values of a topic, which are read page by page. Does no I/O.
//
//     newest_cursor cursor;
//     log.newest(topic, cursor.after(), ...);
//     switch (cursor.add(page)) { case cursor_step::next_page: ... }
//
// The pages are not one snapshot: reading on from the log's end as of the first page misses
// nothing. A page that does not bring the load further is an error, never the end of the load: the
// end is a page that says so itself.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "coordination/shared_log.h"

namespace mustardline {

// Stands in a key for bytes that are no text, in place of which a service or its client may put it.
inline constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

enum class cursor_step : std::uint8_t {
    next_page,
    // The page was the last one.
    finished,
    // The log came back from an older copy since the first page: the load has to begin anew.
    other_era,
    // The page says that more keys follow, but leads to none: see `reason`.
    no_progress
};

class newest_cursor
{
public:
    // Takes the page that was read after `after`.
    [[nodiscard]] auto add(const log_newest_page &page) -> cursor_step;

    // Goes back to the first page.
    auto reset() -> void { *this = {}; }

    // Moves to a key further on, for a service that does not go on from the present one: it takes
    // an empty key for none, begins the next page with the key itself, or does not name keys as
    // they are kept. Returns false if there is none left to try. Keys may be passed over.
    [[nodiscard]] auto skipAhead() -> bool;

    // Whether the present key is not as it was written, so that it may not lead on.
    [[nodiscard]] auto isInexact() const -> bool;

    // The key after which the next page begins, which may be empty; no value for the first page.
    [[nodiscard]] auto after() const -> const std::optional<std::string> & { return m_after; }
    // The end of the log as of the first page; no value before that.
    [[nodiscard]] auto end() const -> const std::optional<log_position> & { return m_end; }
    // Why the last page did not bring the load further.
    [[nodiscard]] auto reason() const -> std::string_view { return m_reason; }

private:
    std::optional<std::string> m_after;
    std::optional<log_position> m_end;
    // The last keys of the pages so far.
    std::set<std::string, std::less<>> m_pageEnds;
    std::string_view m_reason;
    // The number of keys that were tried since the last page that led on.
    int m_skips = 0;
};

} // namespace mustardline
