#pragma once

// A TCP peer for tests that sends and receives raw bytes, in the event loop of the test.
//
//     raw_peer peer(loop, address);          // connects
//     peer.send("GET / HTTP/1.1\r\n...");
//     raw_listener listener(loop);           // accepts connections
//     listener.onOpen = [](raw_peer &peer) { ... };

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mustardline {

class raw_peer
{
public:
    raw_peer(event_loop &loop, const socket_address &address);
    // `descriptor`: the stream's socket.
    raw_peer(std::shared_ptr<tcp_stream> stream, int descriptor);

    auto send(std::string_view bytes) -> void { m_stream->send(bytes); }
    auto close() -> void { m_stream->close(); }
    auto setReading(bool reading) -> void { m_stream->setReading(reading); }
    // The next two are for accepted connections only.
    // Tells the peer that nothing more is sent; the connection stays.
    auto shutDownSending() -> void;
    // Closes the connection in a way that breaks it for the peer.
    auto reset() -> void;

    // Everything received so far.
    [[nodiscard]] auto received() const -> const std::string & { return m_received; }
    [[nodiscard]] auto hasEnded() const -> bool { return m_ended; }
    // Whether the connection has ended because it broke.
    [[nodiscard]] auto isBroken() const -> bool { return m_broken; }

    std::function<auto()->void> onChange;

private:
    auto setStreamCallbacks() -> void;

    std::shared_ptr<tcp_stream> m_stream;
    int m_descriptor = -1;
    std::string m_received;
    bool m_ended = false;
    bool m_broken = false;
};

class raw_listener
{
public:
    explicit raw_listener(event_loop &loop);
    ~raw_listener();
    raw_listener(const raw_listener &) = delete;
    auto operator=(const raw_listener &) -> raw_listener & = delete;

    [[nodiscard]] auto address() const -> const socket_address & { return m_address; }
    [[nodiscard]] auto peers() -> std::vector<std::unique_ptr<raw_peer>> & { return m_peers; }

    std::function<auto(raw_peer &)->void> onOpen;

private:
    event_loop &m_loop;
    int m_descriptor;
    socket_address m_address;
    event_handle m_acceptEvent;
    std::vector<std::unique_ptr<raw_peer>> m_peers;
};

// Runs the loop until `condition` holds, at most about five seconds; returns whether it holds.
auto runUntil(event_loop &loop, const std::function<auto()->bool> &condition) -> bool;

} // namespace mustardline
