#include "forwarding/sse_event_buffer.h"

#include <algorithm>
#include <utility>

#include "forwarding/event_boundary.h"

namespace mustardline {

namespace {

// Returns the position after the last blank line of `text`; 0 if there is none.
auto endOfCompleteEvents(std::string_view text) -> std::size_t
{
    const auto endAfter = [text](std::string_view mark) {
        const auto at = text.rfind(mark);
        return at == std::string_view::npos ? 0 : at + mark.size();
    };
    return std::max(endAfter(plainEventEnd), endAfter(eventEndWithReturns));
}

} // namespace

auto sse_event_buffer::feed(std::string_view bytes) -> std::string_view
{
    m_complete.clear();
    // An end of an event that was not there before ends in the new bytes.
    const auto searchFrom
        = m_incomplete.size() - std::min(m_incomplete.size(), eventEndWithReturns.size() - 1);
    m_incomplete += bytes;
    if (m_isPassThrough || m_incomplete.size() > maxEventBytes) {
        m_isPassThrough = true;
        m_complete = std::exchange(m_incomplete, {});
        return m_complete;
    }
    const auto endInSearched
        = endOfCompleteEvents(std::string_view(m_incomplete).substr(searchFrom));
    const auto end = endInSearched > 0 ? searchFrom + endInSearched : 0;
    m_complete.assign(m_incomplete, 0, end);
    m_incomplete.erase(0, end);
    updateLastId(m_complete);
    return m_complete;
}

auto sse_event_buffer::takeRemainder() -> std::string
{
    return std::exchange(m_incomplete, {});
}

auto sse_event_buffer::updateLastId(std::string_view events) -> void
{
    constexpr std::string_view field = "id:";
    auto at = events.rfind(field);
    // It is a field only at the start of a line.
    while (at != std::string_view::npos && at > 0 && events[at - 1] != '\n')
        at = at == 0 ? std::string_view::npos : events.rfind(field, at - 1);
    if (at == std::string_view::npos)
        return;
    auto value = events.substr(at + field.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    m_lastId = value;
}

} // namespace mustardline
