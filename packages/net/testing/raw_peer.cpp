#include "net/testing/raw_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mustardline {

raw_peer::raw_peer(event_loop &loop, const socket_address &address)
    : m_stream(tcp_stream::connect(loop, address, {}))
{
    setStreamCallbacks();
}

raw_peer::raw_peer(std::shared_ptr<tcp_stream> stream, int descriptor)
    : m_stream(std::move(stream)), m_descriptor(descriptor)
{
    setStreamCallbacks();
}

auto raw_peer::shutDownSending() -> void
{
    shutdown(m_descriptor, SHUT_WR);
}

auto raw_peer::reset() -> void
{
    m_stream->reset();
}

auto raw_peer::setStreamCallbacks() -> void
{
    m_stream->onData = [this](std::string_view bytes) {
        m_received += bytes;
        if (onChange)
            onChange();
    };
    m_stream->onEnd = [this](bool orderly) {
        m_ended = true;
        m_broken = !orderly;
        if (onChange)
            onChange();
    };
}

raw_listener::raw_listener(event_loop &loop)
    : m_loop(loop), m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof bound;
    auto *sockaddrPointer = reinterpret_cast<sockaddr *>(&bound);
    if (bind(m_descriptor, sockaddrPointer, length) != 0 || ::listen(m_descriptor, 8) != 0
        || getsockname(m_descriptor, sockaddrPointer, &length) != 0)
        return;
    m_address = {.host = "127.0.0.1", .port = ntohs(bound.sin_port)};
    m_acceptEvent = loop.whenReadable(m_descriptor, [this] {
        const auto descriptor = accept(m_descriptor, nullptr, nullptr);
        if (descriptor < 0)
            return;
        m_peers.push_back(
            std::make_unique<raw_peer>(tcp_stream::adopt(m_loop, descriptor, {}), descriptor));
        if (onOpen)
            onOpen(*m_peers.back());
    });
}

raw_listener::~raw_listener()
{
    m_acceptEvent = {};
    close(m_descriptor);
}

auto runUntil(event_loop &loop, const std::function<auto()->bool> &condition) -> bool
{
    constexpr auto maxIterations = 5000;
    auto iteration = 0;
    const auto timer = loop.every(std::chrono::milliseconds(1), [&] {
        if (condition() || ++iteration > maxIterations)
            loop.stop();
    });
    loop.run();
    return condition();
}

} // namespace mustardline
