#pragma once

// Ports that a test hands to processes that it is about to start.
//
//     port_reservation port;
//     start("--port", port.number());
//
// The kernel chooses the port, and gives it to nobody else while the reservation lives: the socket
// stays bound without listening, which lets a process with SO_REUSEADDR listen on it, also again
// after a restart.

#include <cstdint>

namespace mustardline::standin {

class port_reservation
{
public:
    port_reservation();
    ~port_reservation();
    port_reservation(const port_reservation &) = delete;
    auto operator=(const port_reservation &) -> port_reservation & = delete;

    [[nodiscard]] auto number() const -> std::uint16_t { return m_port; }

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

} // namespace mustardline::standin
