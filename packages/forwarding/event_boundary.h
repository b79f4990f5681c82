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
        return m_tail.empty() || m_tail.ends_with("\n\n") || m_tail.ends_with("\r\n\r\n");
    }

private:
    // Length of the longest mark of an end.
    static constexpr std::size_t maxMark = 4;

    std::string m_tail;
};

} // namespace mustardline
