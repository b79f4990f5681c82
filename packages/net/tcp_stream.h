#pragma once

// A TCP connection in the event loop, with one read and one write a turn.
//
//     auto stream = tcp_stream::adopt(loop, descriptor, {});
//     stream->onData = [](std::string_view data) { ... };
//     stream->onEnd = [](bool orderly) { ... };
//     stream->send("text"); // writes at once; what the peer does not take waits
//
// The stream keeps itself alive while one of its callbacks runs, so that a callback may drop the
// last reference. The callbacks live as long as the stream: they must not hold it alive. `onEnd` is
// called once, unless `close` was called before. A peer that falls silent without closing is found
// by TCP keep-alive probes and by unacknowledged data.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http_message.h"

struct event;

namespace mustardline {

struct tcp_stream_options
{
    // A connection on which the peer acknowledges nothing for this long has ended.
    duration silenceLimit = std::chrono::seconds(6);
};

class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    // Takes over a connected socket.
    [[nodiscard]] static auto adopt(event_loop &loop, int descriptor, tcp_stream_options options)
        -> std::shared_ptr<tcp_stream>;

    // Begins to connect; `onConnected` or `onEnd` follows. Null if no socket could be opened.
    [[nodiscard]] static auto connect(event_loop &loop, const socket_address &address,
                                      tcp_stream_options options) -> std::shared_ptr<tcp_stream>;

    ~tcp_stream();
    tcp_stream(const tcp_stream &) = delete;
    auto operator=(const tcp_stream &) -> tcp_stream & = delete;

    std::function<auto()->void> onConnected;
    std::function<auto(std::string_view data)->void> onData;
    // `orderly` if the peer closed, not if the connection broke.
    std::function<auto(bool orderly)->void> onEnd;

    // Sends, or keeps what cannot be sent yet.
    auto send(std::string_view data) -> void;
    // Bytes that wait to be sent.
    [[nodiscard]] auto backlogBytes() const -> std::size_t { return m_output.size() - m_sent; }

    auto setReading(bool reading) -> void;
    // Whether bytes, or the peer's end, have arrived that were not read yet.
    [[nodiscard]] auto hasUnread() const -> bool;

    // Ends the connection; no callback follows.
    auto close() -> void;
    // Sends what waits, then ends the connection, and calls `onEnd`. Input is read and dropped
    // meanwhile, because closing with unread input would reset the connection and lose what was
    // sent.
    auto closeAfterSending() -> void;
    [[nodiscard]] auto isClosed() const -> bool { return m_descriptor < 0; }

private:
    tcp_stream(event_loop &loop, int descriptor, tcp_stream_options options);

    auto startReading() -> void;
    auto readable() -> void;
    auto writable() -> void;
    auto flush() -> void;
    auto finishConnecting() -> void;
    auto finishLingering() -> void;
    auto ended(bool orderly) -> void;

    event_loop &m_loop;
    int m_descriptor;
    event *m_readEvent = nullptr;
    event *m_writeEvent = nullptr;
    std::string m_output;
    // Bytes of m_output that are sent already.
    std::size_t m_sent = 0;
    bool m_connecting = false;
    bool m_reading = false;
    bool m_lingering = false;
    bool m_shutDown = false;
    bool m_peerEnded = false;
    event_handle m_lingerTimer;
};

} // namespace mustardline
