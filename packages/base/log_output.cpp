#include "base/log_output.h"

#include <algorithm>
#include <climits>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace mustardline {

auto log_output::add(std::string_view line) -> void
{
    if (m_kept.size() + line.size() > m_options.maxKeptBytes) {
        ++m_dropped;
        ++m_untold;
        return;
    }
    m_kept += line;
    m_kept += '\n';
    if (m_kept.size() >= m_options.flushBytes)
        flush();
}

auto log_output::flush() -> void
{
    while (!m_kept.empty()) {
        const auto written = writePart(m_kept);
        if (written == 0)
            return;
        m_kept.erase(0, written);
    }
    if (m_untold == 0)
        return;
    m_kept = fmt::format("level=warning name=log_lines_dropped lines={}\n", m_untold);
    m_untold = 0;
}

auto log_output::writePart(std::string_view text) const noexcept -> std::size_t
{
    pollfd ready{.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return 0;
    // A pipe that is ready takes this much without blocking.
    const auto part = std::min<std::size_t>(text.size(), PIPE_BUF);
    const auto written = write(m_options.descriptor, text.data(), part);
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

auto log_output::writeLast(std::string_view line) const noexcept -> void
{
    for (const auto text : {std::string_view(m_kept), line, std::string_view("\n")}) {
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
