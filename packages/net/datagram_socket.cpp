#include "net/datagram_socket.h"

#include <array>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mustardline {

namespace {

// Maximum size of an IPv4 datagram.
constexpr std::size_t maxDatagramBytes = 65536;
// Datagrams read per event loop iteration, so that a flood does not starve other events.
constexpr int maxDatagramsPerIteration = 16;

auto toSockaddr(const std::string &host, std::uint16_t port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

auto fromSockaddr(const sockaddr_in &address) -> socket_address
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {.host = text.data(), .port = ntohs(address.sin_port)};
}

} // namespace

datagram_socket::~datagram_socket()
{
    m_readEvent = {};
    if (m_descriptor >= 0)
        close(m_descriptor);
}

auto datagram_socket::bind(const std::string &address, std::uint16_t port) -> result<std::uint16_t>
{
    // A call before this one may have failed.
    if (m_descriptor >= 0)
        close(m_descriptor);
    m_descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto bound = toSockaddr(address, port);
    socklen_t length = sizeof bound;
    auto *sockaddrPointer = reinterpret_cast<sockaddr *>(&bound);
    if (m_descriptor < 0 || ::bind(m_descriptor, sockaddrPointer, length) != 0
        || getsockname(m_descriptor, sockaddrPointer, &length) != 0) {
        return error{.code = result_code::listen_failed,
                     .message = fmt::format("cannot receive datagrams on {}:{}", address, port)};
    }
    m_readEvent = m_loop.whenReadable(m_descriptor, [this] { receivePending(); });
    return ntohs(bound.sin_port);
}

auto datagram_socket::send(const socket_address &to, std::string_view bytes) -> void
{
    const auto peer = toSockaddr(to.host, to.port);
    sendto(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr *>(&peer), sizeof peer);
}

auto datagram_socket::receivePending() -> void
{
    static std::array<char, maxDatagramBytes> buffer;
    for (auto i = 0; i < maxDatagramsPerIteration; ++i) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const auto count = recvfrom(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                    reinterpret_cast<sockaddr *>(&from), &length);
        if (count < 0)
            return;
        if (m_handler)
            m_handler(fromSockaddr(from),
                      std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    }
}

} // namespace mustardline
