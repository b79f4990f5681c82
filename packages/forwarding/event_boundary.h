#pragma once

// Tells whether a stream of server-sent events that is passed on unchanged ends at the end of an
// event, that is, after a blank line.
//
//     event_boundary boundary;
//     boundary.feed(bytes);
//     if (!boundary.isAtEnd()) streamWasBrokenOff();

#include <algorithm>
#include <string>
#include <string_view>

namespace mustardline {

// The blank lines that end an event.
inline constexpr std::string_view plainEventEnd = "\n\n";
inline constexpr std::string_view eventEndWithReturns = "\r\n\r\n";

class event_boundary
{
public:
    auto feed(std::string_view bytes) -> void
    {
        m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), maxMark));
        m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), maxMark));
    }

    // True before the first byte as well.
    [[nodiscard]] auto isAtEnd() const -> bool
    {
        return m_tail.empty() || m_tail.ends_with(plainEventEnd)
               || m_tail.ends_with(eventEndWithReturns);
    }

private:
    // The longest end.
    static constexpr std::size_t maxMark = eventEndWithReturns.size();

    std::string m_tail;
};

} // namespace mustardline
