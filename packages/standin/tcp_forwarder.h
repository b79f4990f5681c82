#pragma once

// A TCP proxy with one target that injects connection faults on command.
//
//     tcp_forwarder link(loop, {.target = {"127.0.0.1", 8080}});
//     const auto port = link.listen();
//     link.setMode(forward_mode::stall);
//
// Bytes are forwarded unchanged. A half-close by one side is forwarded after the bytes sent before
// it.

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
    // New connections are closed at once; open ones continue.
    drop,
    // Connections are accepted and stay open, but no bytes are forwarded.
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

    // Starts listening; returns the port, or the error `listen_failed`.
    [[nodiscard]] auto listen() -> result<std::uint16_t>;

    auto setMode(forward_mode mode) -> void;
    // Half-closes all connections towards the callers, as if the target had finished sending.
    auto halfClose() -> void;
    // Closes all connections at once.
    auto cutAll() -> void;

    [[nodiscard]] auto counts() const -> forwarder_counts;

private:
    struct side;
    struct connection;
    struct callbacks;

    auto accept(int descriptor) -> void;
    auto forwardBytes(connection &link, side &from) -> void;
    auto onEndOfInput(connection &endedLink, side &from) -> void;
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
