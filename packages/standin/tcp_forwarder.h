#pragma once

// Forwards TCP connections to one target and disturbs them on command.
//
//     tcp_forwarder link(loop, {.target = {"127.0.0.1", 8080}});
//     const auto port = link.listen();
//     link.setMode(forward_mode::stall);
//
// Bytes are passed on unchanged. A side that ends its sending is passed on as such, after the bytes
// that came before it.

#include <cstdint>
#include <map>
#include <memory>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"

struct bufferevent;
struct evconnlistener;

namespace mustardline::standin {

enum class forward_mode : std::uint8_t {
    pass,
    // New connections are closed at once; those that are open pass.
    drop,
    // Connections are accepted and stay open, and no byte moves on any of them.
    stall,
};

struct forwarder_options
{
    std::uint16_t port = 0;
    socket_address target;
};

struct forwarder_counts
{
    std::size_t open = 0;
    std::uint64_t accepted = 0;
    std::uint64_t dropped = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesToCaller = 0;
};

class tcp_forwarder
{
public:
    tcp_forwarder(event_loop &loop, forwarder_options options);
    ~tcp_forwarder();
    tcp_forwarder(const tcp_forwarder &) = delete;
    auto operator=(const tcp_forwarder &) -> tcp_forwarder & = delete;

    // Opens the socket; answers the port, or `listen_failed`.
    [[nodiscard]] auto listen() -> result<std::uint16_t>;

    auto setMode(forward_mode mode) -> void;
    // Ends the sending towards all callers, as a target does that has said everything.
    auto halfClose() -> void;
    // Closes every connection now.
    auto cutAll() -> void;

    [[nodiscard]] auto counts() const -> forwarder_counts;

private:
    struct side;
    struct connection;
    struct callbacks;

    auto accept(int descriptor) -> void;
    auto moveBytes(connection &moved, side &from) -> void;
    auto sideEnded(connection &ended, side &from) -> void;
    auto close(std::uint64_t id) -> void;

    event_loop &m_loop;
    forwarder_options m_options;
    evconnlistener *m_listener = nullptr;
    forward_mode m_mode = forward_mode::pass;
    forwarder_counts m_counts;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<connection>> m_connections;
};

} // namespace mustardline::standin
