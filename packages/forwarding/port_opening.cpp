#include "forwarding/port_opening.h"

#include <algorithm>

#include <fmt/format.h>

#include "forwarding/events.h"

namespace mustardline {

auto port_opening::open(std::vector<opened_port> ports) -> void
{
    m_ports = std::move(ports);
    m_openCount = 0;
    m_failedTries = 0;
    tryPorts();
}

auto port_opening::tryPorts() -> void
{
    for (; m_openCount < m_ports.size(); ++m_openCount) {
        const auto outcome = m_ports[m_openCount].listen();
        if (const auto *failure = failed(outcome)) {
            handleFailure(*failure);
            return;
        }
    }
    m_retry = {};
    if (onOpen)
        onOpen();
}

auto port_opening::handleFailure(const error &failure) -> void
{
    const auto left = timeLeft();
    if (left && *left <= duration::zero()) {
        m_retry = {};
        if (onGivenUp)
            onGivenUp(failure);
        return;
    }
    const auto triesPerLine
        = std::max<std::int64_t>(m_options.lineInterval / m_options.retryInterval, 1);
    if (m_failedTries % triesPerLine == 0) {
        const auto &port = m_ports[m_openCount];
        m_log.write(
            portHeld, field("port", port.name), field("address", addressText(port.address)),
            field("reason", failure.message),
            field("gives_up_after_ms", left ? fmt::format("{}", toMilliseconds(*left)) : "never"));
    }
    ++m_failedTries;
    m_retry = m_loop.after(m_options.retryInterval, [this] { tryPorts(); });
}

auto port_opening::timeLeft() const -> std::optional<duration>
{
    if (!m_options.waitLimit)
        return std::nullopt;
    return *m_options.waitLimit - m_failedTries * m_options.retryInterval;
}

} // namespace mustardline
