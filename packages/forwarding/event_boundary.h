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

// The blank lines that end an event, where all lines of the stream end alike.
inline constexpr std::string_view plainEventEnd = "\n\n";
inline constexpr std::string_view eventEndWithReturns = "\r\n\r\n";

// Whether `text` ends with a blank line. Lines may end with LF, CR or CR LF, also in turns.
[[nodiscard]] inline auto endsWithBlankLine(std::string_view text) -> bool
{
    if (text.ends_with("\r\n"))
        text.remove_suffix(2);
    else if (text.ends_with('\n') || text.ends_with('\r'))
        text.remove_suffix(1);
    else
        return false;
    return text.ends_with('\n') || text.ends_with('\r');
}

class event_boundary
{
public:
    auto feed(std::string_view bytes) -> void
    {
        m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), maxMark));
        m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), maxMark));
    }

    [[nodiscard]] auto isEmpty() const -> bool { return m_tail.empty(); }

    // True before the first byte as well.
    [[nodiscard]] auto isAtEnd() const -> bool
    {
        return m_tail.empty() || endsWithBlankLine(m_tail);
    }

private:
    // The longest end of an event.
    static constexpr std::size_t maxMark = eventEndWithReturns.size();

    std::string m_tail;
};

} // namespace mustardline
