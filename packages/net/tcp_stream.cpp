#include "net/tcp_stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mustardline {

namespace {

// Size of one read: holds several events of a stream, or most of a prompt.
constexpr std::size_t readBytes = 32U << 10U;
// Size up to which small pieces of output share a block.
constexpr std::size_t sharedBlockBytes = 32U << 10U;
// Maximum time that `closeAfterSending` waits for the peer to close once it has received
// everything.
constexpr duration lingerLimit = std::chrono::seconds(2);
// Unanswered keep-alive probes after which the connection is considered lost.
constexpr int keepAliveProbes = 3;

auto setOption(int descriptor, int level, int name, int value) -> void
{
    // Errors are ignored: the connection works without an option that the kernel lacks.
    setsockopt(descriptor, level, name, &value, sizeof value);
}

auto configureSocket(int descriptor, const tcp_stream_options &options) -> void
{
    const auto milliseconds = static_cast<int>(toMilliseconds(options.silenceLimit));
    constexpr int millisecondsPerSecond = 1000;
    const auto probeSeconds
        = std::max(1, milliseconds / millisecondsPerSecond / (keepAliveProbes + 1));
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
}

auto readBuffer() -> std::array<char, readBytes> &
{
    // Shared by all streams: they belong to one thread, and `onData` has returned before the next
    // read.
    static std::array<char, readBytes> buffer;
    return buffer;
}

// Returns the error that the kernel holds for the socket and clears it; 0 if there is none.
auto takeSocketError(int descriptor) -> int
{
    int socketError = 0;
    socklen_t length = sizeof socketError;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &socketError, &length);
    return socketError;
}

auto isTransient(int socketError) -> bool
{
    return socketError == EAGAIN || socketError == EWOULDBLOCK || socketError == EINTR;
}

} // namespace

tcp_stream::tcp_stream(event_loop &loop, int descriptor, tcp_stream_options options)
    : m_loop(loop), m_descriptor(descriptor), m_silenceLimit(options.silenceLimit)
{
    configureSocket(descriptor, options);
    const auto onReadable = [](evutil_socket_t, short, void *argument) {
        const auto keep = static_cast<tcp_stream *>(argument)->shared_from_this();
        keep->handleReadable();
    };
    const auto onWritable = [](evutil_socket_t, short, void *argument) {
        const auto keep = static_cast<tcp_stream *>(argument)->shared_from_this();
        keep->handleWritable();
    };
    m_readEvent = event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, onReadable, this);
    m_writeEvent = event_new(loop.base(), descriptor, EV_WRITE | EV_PERSIST, onWritable, this);
}

tcp_stream::~tcp_stream()
{
    close();
    event_free(m_readEvent);
    event_free(m_writeEvent);
}

auto tcp_stream::adopt(event_loop &loop, int descriptor, tcp_stream_options options)
    -> std::shared_ptr<tcp_stream>
{
    evutil_make_socket_nonblocking(descriptor);
    auto stream = std::shared_ptr<tcp_stream>(new tcp_stream(loop, descriptor, options));
    stream->startReading();
    return stream;
}

auto tcp_stream::connect(event_loop &loop, const socket_address &address,
                         tcp_stream_options options) -> std::shared_ptr<tcp_stream>
{
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr) != 1)
        return nullptr;
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    auto stream = std::shared_ptr<tcp_stream>(new tcp_stream(loop, descriptor, options));
    const auto *sockaddrPointer = reinterpret_cast<const sockaddr *>(&peer);
    if (::connect(descriptor, sockaddrPointer, sizeof peer) != 0 && errno != EINPROGRESS)
        return nullptr;
    stream->m_connecting = true;
    event_add(stream->m_writeEvent, nullptr);
    return stream;
}

auto tcp_stream::startReading() -> void
{
    m_reading = true;
    event_add(m_readEvent, nullptr);
}

auto tcp_stream::setReading(bool reading) -> void
{
    if (isClosed() || m_connecting || reading == m_reading)
        return;
    m_reading = reading;
    if (reading)
        event_add(m_readEvent, nullptr);
    else
        event_del(m_readEvent);
}

auto tcp_stream::hasUnread() const -> bool
{
    char byte = 0;
    const auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || !isTransient(errno);
}

auto tcp_stream::hasInput() -> bool
{
    char byte = 0;
    const auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    m_isBroken = m_isBroken || (count < 0 && !isTransient(errno));
    return count > 0;
}

auto tcp_stream::hasPeerEnded() const -> bool
{
    pollfd state{.fd = m_descriptor, .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

auto tcp_stream::handleReadable() -> void
{
    auto &buffer = readBuffer();
    const auto count
        = recv(m_descriptor, buffer.data(), std::min(buffer.size(), m_maxReadBytes), 0);
    if (count < 0) {
        if (!isTransient(errno))
            finish(false);
        return;
    }
    if (m_lingering) {
        if (count == 0) {
            m_peerEnded = true;
            setReading(false);
            finishLingering();
        }
        return;
    }
    if (count == 0) {
        finish(isEndOrderly());
        return;
    }
    // A copy, because the callback may replace `onData`.
    const auto callback = onData;
    if (callback)
        callback(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
}

auto tcp_stream::handleWritable() -> void
{
    if (m_connecting)
        finishConnecting();
    else
        flush();
}

auto tcp_stream::finishConnecting() -> void
{
    if (takeSocketError(m_descriptor) != 0) {
        finish(false);
        return;
    }
    m_connecting = false;
    event_del(m_writeEvent);
    startReading();
    const auto callback = onConnected;
    if (callback)
        callback();
    if (!isClosed() && backlogBytes() > 0)
        flush();
}

auto tcp_stream::send(std::string_view data) -> void
{
    if (isClosed() || m_lingering || m_discardsOutput || data.empty())
        return;
    if (buffersOutput()) {
        buffer(std::string(data), 0);
        return;
    }
    const auto sent = trySend(data);
    if (!sent || *sent == data.size())
        return;
    buffer(std::string(data.substr(*sent)), 0);
    event_add(m_writeEvent, nullptr);
}

auto tcp_stream::sendOwned(std::string data) -> void
{
    if (isClosed() || m_lingering || m_discardsOutput || data.empty())
        return;
    if (buffersOutput()) {
        buffer(std::move(data), 0);
        return;
    }
    const auto sent = trySend(data);
    if (!sent || *sent == data.size())
        return;
    buffer(std::move(data), *sent);
    event_add(m_writeEvent, nullptr);
}

auto tcp_stream::trySend(std::string_view data) -> std::optional<std::size_t>
{
    const auto count = ::send(m_descriptor, data.data(), data.size(), MSG_NOSIGNAL);
    if (count >= 0)
        return static_cast<std::size_t>(count);
    if (isTransient(errno))
        return 0;
    m_isBroken = true;
    // `onEnd` is posted, because the caller of `send` does not expect it to run within the call.
    m_loop.post([keep = shared_from_this()] { keep->finish(false); });
    return std::nullopt;
}

auto tcp_stream::buffer(std::string block, std::size_t sent) -> void
{
    const bool sharesLast
        = !m_output.empty() && m_output.back().size() + block.size() <= sharedBlockBytes;
    m_backlogBytes += block.size() - sent;
    if (sharesLast) {
        m_heldBytes -= m_output.back().capacity();
        m_output.back() += block;
    } else {
        // Sent bytes can lead the first block only.
        m_sent = m_output.empty() ? sent : m_sent;
        m_output.push_back(std::move(block));
    }
    m_heldBytes += m_output.back().capacity();
}

auto tcp_stream::dropFirstBlock() -> void
{
    m_heldBytes -= m_output.front().capacity();
    m_output.pop_front();
    m_sent = 0;
}

auto tcp_stream::discardOutput() -> void
{
    m_discardsOutput = true;
    m_output.clear();
    m_sent = 0;
    m_backlogBytes = 0;
    m_heldBytes = 0;
    if (!isClosed() && !m_connecting)
        event_del(m_writeEvent);
}

auto tcp_stream::flush() -> void
{
    if (m_output.empty()) {
        event_del(m_writeEvent);
        return;
    }
    const auto rest = std::string_view(m_output.front()).substr(m_sent);
    const auto count = ::send(m_descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (count < 0) {
        if (!isTransient(errno))
            finish(false);
        else
            event_add(m_writeEvent, nullptr);
        return;
    }
    m_sent += static_cast<std::size_t>(count);
    m_backlogBytes -= static_cast<std::size_t>(count);
    if (m_sent == m_output.front().size())
        dropFirstBlock();
    if (backlogBytes() > 0)
        event_add(m_writeEvent, nullptr);
    else
        event_del(m_writeEvent);
    // A copy, as for `onData`.
    const auto callback = onSent;
    if (callback)
        callback(static_cast<std::size_t>(count));
    if (isClosed() || backlogBytes() > 0)
        return;
    if (m_lingering)
        finishLingering();
}

auto tcp_stream::undeliveredBytes() const -> std::size_t
{
    int kernelBytes = 0;
    if (isClosed() || ioctl(m_descriptor, SIOCOUTQ, &kernelBytes) != 0)
        return backlogBytes();
    return backlogBytes() + static_cast<std::size_t>(kernelBytes);
}

auto tcp_stream::close() -> void
{
    if (isClosed())
        return;
    event_del(m_readEvent);
    event_del(m_writeEvent);
    ::close(std::exchange(m_descriptor, -1));
    m_lingerTimer = {};
}

auto tcp_stream::reset() -> void
{
    const linger discard{.l_onoff = 1, .l_linger = 0};
    if (!isClosed())
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    close();
}

auto tcp_stream::closeAfterSending() -> void
{
    if (isClosed() || m_lingering)
        return;
    m_lingering = true;
    setReading(true);
    awaitDelivery();
    finishLingering();
}

auto tcp_stream::awaitDelivery() -> void
{
    m_lingeringBytes = undeliveredBytes();
    m_lingerTimer = m_loop.after(m_lingeringBytes > 0 ? m_silenceLimit : lingerLimit, [this] {
        const auto keep = shared_from_this();
        if (undeliveredBytes() < m_lingeringBytes)
            awaitDelivery();
        else
            finish(true);
    });
}

// Shuts down writing once everything is sent, and closes the connection once the peer has closed.
auto tcp_stream::finishLingering() -> void
{
    // An end of the output would make a part of it look whole.
    if (backlogBytes() > 0 || m_discardsOutput)
        return;
    if (!std::exchange(m_writeShutDown, true))
        shutdown(m_descriptor, SHUT_WR);
    if (m_peerEnded)
        finish(true);
}

// A peer that ends its side and still has bytes to receive will reset the connection when they
// arrive; what it sent may be a part only.
auto tcp_stream::isEndOrderly() const -> bool
{
    return !m_isBroken && takeSocketError(m_descriptor) == 0 && undeliveredBytes() == 0;
}

auto tcp_stream::finish(bool orderly) -> void
{
    if (isClosed())
        return;
    const auto keep = shared_from_this();
    const auto callback = onEnd;
    close();
    if (callback)
        callback(orderly);
}

} // namespace mustardline
