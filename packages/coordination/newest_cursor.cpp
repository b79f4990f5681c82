#include "coordination/newest_cursor.h"

namespace mustardline {

namespace {

// Above any other text, and above any other byte.
constexpr std::string_view lastCharacter = "\xf4\x8f\xbf\xbf";
constexpr std::string_view lastByte = "\xff";

// The last key of a page at which no other page ended, preferably one that is as it was written, as
// going on after another one may pass over keys; null if there is none.
auto findPageEnd(const log_newest_page &page, const std::set<std::string, std::less<>> &pageEnds)
    -> const std::string *
{
    const std::string *inexact = nullptr;
    for (auto entry = page.entries.rbegin(); entry != page.entries.rend(); ++entry) {
        if (pageEnds.contains(entry->key))
            break;
        if (entry->key.find(replacementCharacter) == std::string::npos)
            return &entry->key;
        if (inexact == nullptr)
            inexact = &entry->key;
    }
    return inexact;
}

} // namespace

auto newest_cursor::add(const log_newest_page &page) -> cursor_step
{
    if (m_end && m_end->era != page.end.era) {
        m_reason = "the log is of another era than at the first page";
        return cursor_step::other_era;
    }
    if (!m_end)
        m_end = page.end;
    if (!page.more)
        return cursor_step::finished;
    if (page.entries.empty()) {
        m_reason = "the page says that more keys follow, but holds none";
        return cursor_step::no_progress;
    }
    const auto *pageEnd = findPageEnd(page, m_pageEnds);
    if (pageEnd == nullptr) {
        m_reason = "the page ends at a key at which an earlier page ended";
        return cursor_step::no_progress;
    }
    m_pageEnds.insert(*pageEnd);
    m_after = *pageEnd;
    m_skips = 0;
    return cursor_step::next_page;
}

auto newest_cursor::isInexact() const -> bool
{
    return m_after && m_after->find(replacementCharacter) != std::string::npos;
}

auto newest_cursor::skipAhead() -> bool
{
    if (!m_after)
        return false;
    ++m_skips;
    if (isInexact()) {
        m_after->resize(m_after->find(replacementCharacter));
        *m_after += lastCharacter;
        return true;
    }
    if (m_after->ends_with(lastCharacter)) {
        m_after->resize(m_after->size() - lastCharacter.size());
        *m_after += lastByte;
        return true;
    }
    if (m_skips == 1)
        m_after->push_back('\0');
    return m_skips == 1;
}

} // namespace mustardline
