#include "net/testing/raw_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mustardline {

raw_peer::raw_peer(event_loop &loop, const socket_address &address)
    : m_stream(tcp_stream::connect(loop, address, {}))
{
    watch();
}

raw_peer::raw_peer(std::shared_ptr<tcp_stream> stream) : m_stream(std::move(stream))
{
    watch();
}

auto raw_peer::watch() -> void
{
    m_stream->onData = [this](std::string_view bytes) {
        m_received += bytes;
        if (onChange)
            onChange();
    };
    m_stream->onEnd = [this](bool) {
        m_ended = true;
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
    auto *where = reinterpret_cast<sockaddr *>(&bound);
    if (bind(m_descriptor, where, length) != 0 || ::listen(m_descriptor, 8) != 0
        || getsockname(m_descriptor, where, &length) != 0)
        return;
    m_address = {.host = "127.0.0.1", .port = ntohs(bound.sin_port)};
    m_watch = loop.whenReadable(m_descriptor, [this] {
        const auto descriptor = accept(m_descriptor, nullptr, nullptr);
        if (descriptor < 0)
            return;
        m_peers.push_back(std::make_unique<raw_peer>(tcp_stream::adopt(m_loop, descriptor, {})));
        if (onOpen)
            onOpen(*m_peers.back());
    });
}

raw_listener::~raw_listener()
{
    m_watch = {};
    close(m_descriptor);
}

auto runUntil(event_loop &loop, const std::function<auto()->bool> &done) -> bool
{
    constexpr auto turns = 5000;
    auto turn = 0;
    const auto looking = loop.every(std::chrono::milliseconds(1), [&] {
        if (done() || ++turn > turns)
            loop.stop();
    });
    loop.run();
    return done();
}

} // namespace mustardline
