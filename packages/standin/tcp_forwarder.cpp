#include "standin/tcp_forwarder.h"

#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace mustardline::standin {

namespace {

// Buffered bytes towards a slow reader at which reading from its sender is paused.
constexpr std::size_t maxPendingBytes = 256U << 10U;
constexpr int listenBacklog = 1024;

auto toSockaddr(const socket_address &address) -> sockaddr_in
{
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &converted.sin_addr);
    return converted;
}

auto disableNagle(int descriptor) -> void
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

// One of the two sockets of a forwarded connection.
struct tcp_forwarder::side
{
    bufferevent *channel = nullptr;
    side *other = nullptr;
    std::uint64_t *bytesReceived = nullptr;
    // The peer has closed its sending direction.
    bool inputEnded = false;
    // Shut down the sending direction once the output buffer is empty.
    bool shutdownWhenDrained = false;

    [[nodiscard]] auto pendingBytes() const -> std::size_t
    {
        return evbuffer_get_length(bufferevent_get_output(channel));
    }

    auto shutdownSending() -> void
    {
        shutdownWhenDrained = true;
        if (pendingBytes() == 0)
            shutdown(bufferevent_getfd(channel), SHUT_WR);
    }
};

struct tcp_forwarder::connection
{
    tcp_forwarder *owner = nullptr;
    std::uint64_t id = 0;
    side caller;
    side target;

    connection() = default;
    connection(const connection &) = delete;
    auto operator=(const connection &) -> connection & = delete;

    ~connection()
    {
        bufferevent_free(caller.channel);
        bufferevent_free(target.channel);
    }

    [[nodiscard]] auto sideOf(const bufferevent *channel) -> side &
    {
        return channel == caller.channel ? caller : target;
    }

    auto setReading(bool on) -> void
    {
        for (auto *channel : {caller.channel, target.channel}) {
            if (on)
                bufferevent_enable(channel, EV_READ);
            else
                bufferevent_disable(channel, EV_READ);
        }
    }
};

// libevent callbacks.
struct tcp_forwarder::callbacks
{
    static auto accepted(evconnlistener *, evutil_socket_t descriptor, sockaddr *, int,
                         void *argument) -> void
    {
        static_cast<tcp_forwarder *>(argument)->accept(descriptor);
    }

    static auto readable(bufferevent *channel, void *argument) -> void
    {
        auto &link = *static_cast<connection *>(argument);
        link.owner->forwardBytes(link, link.sideOf(channel));
    }

    static auto written(bufferevent *channel, void *argument) -> void
    {
        auto &writtenLink = *static_cast<connection *>(argument);
        auto &to = writtenLink.sideOf(channel);
        if (to.shutdownWhenDrained)
            to.shutdownSending();
        else if (writtenLink.owner->m_mode != forward_mode::stall)
            bufferevent_enable(to.other->channel, EV_READ);
    }

    static auto eventOccurred(bufferevent *channel, short what, void *argument) -> void
    {
        auto &affectedLink = *static_cast<connection *>(argument);
        if ((what & BEV_EVENT_CONNECTED) != 0)
            disableNagle(bufferevent_getfd(channel));
        else if ((what & BEV_EVENT_EOF) != 0)
            affectedLink.owner->onEndOfInput(affectedLink, affectedLink.sideOf(channel));
        else
            affectedLink.owner->close(affectedLink.id);
    }
};

tcp_forwarder::tcp_forwarder(event_loop &loop, forwarder_options options)
    : m_loop(loop), m_options(std::move(options))
{}

tcp_forwarder::~tcp_forwarder()
{
    m_connections.clear();
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
}

auto tcp_forwarder::listen() -> result<std::uint16_t>
{
    auto address = toSockaddr({.host = "127.0.0.1", .port = m_options.port});
    m_listener = evconnlistener_new_bind(m_loop.base(), callbacks::accepted, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listenBacklog,
                                         reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (m_listener == nullptr) {
        return error{.code = result_code::listen_failed,
                     .message = fmt::format("cannot listen on port {}", m_options.port)};
    }
    socklen_t length = sizeof address;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

auto tcp_forwarder::accept(int descriptor) -> void
{
    if (m_mode == forward_mode::drop) {
        ++m_counts.dropped;
        ::close(descriptor);
        return;
    }
    ++m_counts.accepted;
    disableNagle(descriptor);
    const auto id = m_nextId++;
    auto &added = *(m_connections[id] = std::make_unique<connection>());
    added.owner = this;
    added.id = id;
    added.caller
        = {.channel = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE),
           .other = &added.target,
           .bytesReceived = &m_counts.bytesToTarget};
    added.target = {.channel = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE),
                    .other = &added.caller,
                    .bytesReceived = &m_counts.bytesToCaller};
    for (auto *channel : {added.caller.channel, added.target.channel}) {
        bufferevent_setcb(channel, callbacks::readable, callbacks::written,
                          callbacks::eventOccurred, &added);
        bufferevent_enable(channel, EV_WRITE);
    }
    if (m_mode == forward_mode::pass)
        added.setReading(true);
    auto address = toSockaddr(m_options.target);
    bufferevent_socket_connect(added.target.channel, reinterpret_cast<sockaddr *>(&address),
                               sizeof address);
}

auto tcp_forwarder::forwardBytes(connection &link, side &from) -> void
{
    auto *input = bufferevent_get_input(from.channel);
    auto &to = *from.other;
    *from.bytesReceived += evbuffer_get_length(input);
    if (to.shutdownWhenDrained) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    bufferevent_write_buffer(to.channel, input);
    if (link.owner->m_mode == forward_mode::stall || to.pendingBytes() > maxPendingBytes)
        bufferevent_disable(from.channel, EV_READ);
}

auto tcp_forwarder::onEndOfInput(connection &endedLink, side &from) -> void
{
    from.inputEnded = true;
    from.other->shutdownSending();
    if (from.other->inputEnded)
        close(endedLink.id);
}

auto tcp_forwarder::close(std::uint64_t id) -> void
{
    m_connections.erase(id);
}

auto tcp_forwarder::setMode(forward_mode mode) -> void
{
    m_mode = mode;
    for (auto &[id, link] : m_connections)
        link->setReading(mode != forward_mode::stall);
}

auto tcp_forwarder::halfClose() -> void
{
    for (auto &[id, link] : m_connections)
        link->caller.shutdownSending();
}

auto tcp_forwarder::cutAll() -> void
{
    m_connections.clear();
}

auto tcp_forwarder::counts() const -> forwarder_counts
{
    auto counts = m_counts;
    counts.open = m_connections.size();
    return counts;
}

} // namespace mustardline::standin
