#include "base/log_output.h"

#include <algorithm>
#include <climits>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace mustardline {

auto log_output::add(std::string_view line) -> void
{
    if (m_buffer.size() + line.size() > m_options.maxBufferBytes) {
        ++m_droppedLines;
        ++m_unreportedDrops;
        return;
    }
    m_buffer += line;
    m_buffer += '\n';
    if (m_buffer.size() >= m_options.flushBytes)
        flush();
}

auto log_output::flush() -> void
{
    while (!m_buffer.empty()) {
        const auto written = writePart(m_buffer);
        if (written == 0)
            return;
        m_buffer.erase(0, written);
    }
    if (m_unreportedDrops == 0)
        return;
    m_buffer = fmt::format("level=warning name=log_lines_dropped lines={}\n", m_unreportedDrops);
    m_unreportedDrops = 0;
}

auto log_output::writePart(std::string_view text) const noexcept -> std::size_t
{
    pollfd ready{.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return 0;
    // A writable pipe accepts PIPE_BUF bytes without blocking.
    const auto length = std::min<std::size_t>(text.size(), PIPE_BUF);
    const auto written = write(m_options.descriptor, text.data(), length);
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

auto log_output::writeOnCrash(std::string_view line) const noexcept -> void
{
    for (const auto text : {std::string_view(m_buffer), line, std::string_view("\n")}) {
        auto rest = text;
        while (!rest.empty()) {
            const auto written = writePart(rest);
            if (written == 0)
                return;
            rest.remove_prefix(written);
        }
    }
}

} // namespace mustardline
