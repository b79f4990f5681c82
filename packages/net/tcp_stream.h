#pragma once

// A TCP connection in the event loop, with at most one read and one write per iteration.
//
//     auto stream = tcp_stream::adopt(loop, descriptor, {});
//     stream->onData = [](std::string_view data) { ... };
//     stream->onEnd = [](bool orderly) { ... };
//     stream->send("text"); // writes immediately; buffers what the socket does not accept
//
// The stream keeps itself alive while one of its callbacks runs, so a callback may drop the last
// reference. The callbacks are members of the stream, so they must not hold a shared_ptr to it.
// `onEnd` is called once, unless `close` was called before. A peer that disappears without closing
// is detected by TCP keep-alive probes and by the timeout for unacknowledged data.

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http_message.h"

struct event;

namespace mustardline {

struct tcp_stream_options
{
    // The connection is considered lost if the peer acknowledges nothing for this long.
    duration silenceLimit = std::chrono::seconds(6);
};

class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    // Takes ownership of a connected socket.
    [[nodiscard]] static auto adopt(event_loop &loop, int descriptor, tcp_stream_options options)
        -> std::shared_ptr<tcp_stream>;

    // Starts to connect; `onConnected` or `onEnd` follows. Null if that fails immediately.
    [[nodiscard]] static auto connect(event_loop &loop, const socket_address &address,
                                      tcp_stream_options options) -> std::shared_ptr<tcp_stream>;

    ~tcp_stream();
    tcp_stream(const tcp_stream &) = delete;
    auto operator=(const tcp_stream &) -> tcp_stream & = delete;

    std::function<auto()->void> onConnected;
    std::function<auto(std::string_view data)->void> onData;
    // `orderly`: the peer closed the connection after it had received everything that was sent;
    // otherwise the connection broke.
    std::function<auto(bool orderly)->void> onEnd;

    // Called when buffered bytes have been sent.
    std::function<auto(std::size_t bytes)->void> onSent;

    // Sends `data`; buffers what cannot be sent without blocking.
    auto send(std::string_view data) -> void;
    // The same for large data, which is kept without a copy of it.
    auto sendOwned(std::string data) -> void;
    // Frees the send buffer and sends nothing more; the connection is to be closed soon.
    auto discardOutput() -> void;
    // Bytes in the send buffer.
    [[nodiscard]] auto backlogBytes() const -> std::size_t { return m_backlogBytes; }

    // Bytes that were sent and that the peer has not acknowledged: those in the send buffer and
    // those that the kernel holds.
    [[nodiscard]] auto undeliveredBytes() const -> std::size_t;

    // Memory of the send buffer.
    [[nodiscard]] auto heldBytes() const -> std::size_t { return m_heldBytes; }

    auto setReading(bool reading) -> void;
    // Bounds the size of one read.
    auto setMaxReadBytes(std::size_t bytes) -> void { m_maxReadBytes = bytes; }
    // Whether the peer has ended its side or the connection broke, also behind unread input.
    [[nodiscard]] auto hasPeerEnded() const -> bool;
    // Whether there is unread input, an unread end of stream or a socket error.
    [[nodiscard]] auto hasUnread() const -> bool;
    // Whether there is unread input.
    [[nodiscard]] auto hasInput() -> bool;

    // Closes the connection immediately; no callback follows.
    auto close() -> void;
    // The same, and the peer learns that the connection broke; it may lose what it has not read.
    auto reset() -> void;
    // Sends the buffered data, closes the connection and calls `onEnd`, however long the peer takes
    // to receive it; a peer that receives nothing for the silence limit is given up. Until then,
    // input is read and discarded, because closing a socket with unread input resets the
    // connection, and the peer may lose what was sent.
    auto closeAfterSending() -> void;
    [[nodiscard]] auto isClosed() const -> bool { return m_descriptor < 0; }

private:
    tcp_stream(event_loop &loop, int descriptor, tcp_stream_options options);

    auto startReading() -> void;
    auto handleReadable() -> void;
    auto handleWritable() -> void;
    auto flush() -> void;
    // Sends what the socket accepts now, without blocking; none if the connection is broken.
    [[nodiscard]] auto trySend(std::string_view data) -> std::optional<std::size_t>;
    [[nodiscard]] auto buffersOutput() const -> bool { return m_connecting || m_backlogBytes > 0; }
    // Adds a block to the send buffer, of which `sent` bytes have been sent.
    auto buffer(std::string block, std::size_t sent) -> void;
    auto dropFirstBlock() -> void;
    auto finishConnecting() -> void;
    auto finishLingering() -> void;
    // Gives the peer time to receive what is left, or to close; at its end, goes on waiting if the
    // peer has received something meanwhile.
    auto awaitDelivery() -> void;
    // Whether the connection is sound although the peer has ended its side.
    [[nodiscard]] auto isEndOrderly() const -> bool;
    auto finish(bool orderly) -> void;

    event_loop &m_loop;
    int m_descriptor;
    duration m_silenceLimit;
    event *m_readEvent = nullptr;
    event *m_writeEvent = nullptr;
    std::size_t m_maxReadBytes = SIZE_MAX;
    // The send buffer. Each block is freed once it has been sent; small pieces share one.
    std::list<std::string> m_output;
    // Bytes of the first block that have been sent.
    std::size_t m_sent = 0;
    // Bytes of the send buffer that have not been sent, and the memory of all its blocks.
    std::size_t m_backlogBytes = 0;
    std::size_t m_heldBytes = 0;
    bool m_discardsOutput = false;
    bool m_connecting = false;
    bool m_reading = false;
    bool m_lingering = false;
    bool m_writeShutDown = false;
    bool m_peerEnded = false;
    // An error of the socket was seen. The kernel reports each error once, and after that an end of
    // input that looks orderly.
    bool m_isBroken = false;
    event_handle m_lingerTimer;
    // What was undelivered when the timer was set.
    std::size_t m_lingeringBytes = 0;
};

} // namespace mustardline
