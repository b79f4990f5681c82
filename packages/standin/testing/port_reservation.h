#pragma once

// Reserves a free TCP port for a process that a test is about to start.
//
//     port_reservation port;
//     start("--port", port.number());
//
// The kernel chooses the port. While the reservation exists, a socket stays bound to the port
// without listening, so the kernel assigns the port to no one else, but a process that sets
// SO_REUSEADDR can listen on it, also after a restart.

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
