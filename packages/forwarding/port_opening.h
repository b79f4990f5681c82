#pragma once

// Opens the ports of a process in order, and waits for one that another socket still holds.
//
//     port_opening ports(loop, log, {.waitLimit = std::chrono::seconds(10)});
//     ports.onOpen = [] { serve(); };
//     ports.onGivenUp = [](const error &failure) { exit with an error };
//     ports.open({{.name = "callers", .address = address, .listen = [] { return listen(); }}});
//
// A port may be held for a while by an older process that completes its requests, or by an outgoing
// connection. A port is opened only once those before it are open. The wait is counted in tries, so
// that neither a suspended process nor a step of a clock shortens it.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace mustardline {

struct opened_port
{
    // For the log.
    std::string name;
    socket_address address;
    // Opens the port, or returns `listen_failed`; may be called again after that.
    std::function<auto()->result<std::uint16_t>> listen;
};

struct port_opening_options
{
    duration retryInterval = std::chrono::milliseconds(100);
    // Interval between log lines.
    duration lineInterval = std::chrono::seconds(1);
    // Time after which a port is given up; without one it is tried for as long as the process runs.
    std::optional<duration> waitLimit;
};

class port_opening
{
public:
    port_opening(event_loop &loop, logger &log, port_opening_options options)
        : m_loop(loop), m_log(log), m_options(options)
    {}

    // Called once all ports are open.
    std::function<auto()->void> onOpen;
    // Called once if a port is given up.
    std::function<auto(const error &failure)->void> onGivenUp;

    // Tries at once, and then from the event loop. The callbacks are called from here, too.
    auto open(std::vector<opened_port> ports) -> void;

private:
    auto tryPorts() -> void;
    // One more try at the first port that is not open has failed.
    auto handleFailure(const error &failure) -> void;
    [[nodiscard]] auto timeLeft() const -> std::optional<duration>;

    event_loop &m_loop;
    logger &m_log;
    port_opening_options m_options;
    std::vector<opened_port> m_ports;
    std::size_t m_openCount = 0;
    // Failed tries at all ports together.
    std::int64_t m_failedTries = 0;
    event_handle m_retry;
};

} // namespace mustardline
