#include "forwarding/event_cutter.h"

#include <algorithm>
#include <utility>

namespace mustardline {

namespace {

// One past the last blank line of `text`; 0 if there is none.
auto endOfWholeEvents(std::string_view text) -> std::size_t
{
    constexpr std::string_view plain = "\n\n";
    constexpr std::string_view withReturns = "\r\n\r\n";
    const auto endAfter = [text](std::string_view mark) {
        const auto at = text.rfind(mark);
        return at == std::string_view::npos ? 0 : at + mark.size();
    };
    return std::max(endAfter(plain), endAfter(withReturns));
}

} // namespace

auto event_cutter::take(std::string_view bytes) -> std::string_view
{
    m_whole.clear();
    m_open += bytes;
    if (m_passesAll || m_open.size() > maxEventBytes) {
        m_passesAll = true;
        m_whole = std::exchange(m_open, {});
        return m_whole;
    }
    const auto end = endOfWholeEvents(m_open);
    m_whole.assign(m_open, 0, end);
    m_open.erase(0, end);
    noteId(m_whole);
    return m_whole;
}

auto event_cutter::rest() -> std::string
{
    return std::exchange(m_open, {});
}

auto event_cutter::noteId(std::string_view events) -> void
{
    constexpr std::string_view field = "id:";
    auto at = events.rfind(field);
    // Only at the start of a line is it the field.
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
