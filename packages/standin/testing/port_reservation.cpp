#include "standin/testing/port_reservation.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/testing/process.h"

namespace mustardline::standin {

port_reservation::port_reservation() : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(m_descriptor, generic, length) != 0
        || getsockname(m_descriptor, generic, &length) != 0)
        throw harness_error("cannot reserve a port");
    m_port = ntohs(address.sin_port);
}

port_reservation::~port_reservation()
{
    close(m_descriptor);
}

} // namespace mustardline::standin
