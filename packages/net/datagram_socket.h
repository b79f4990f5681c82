#pragma once

// UDP datagrams between mustardline processes: small messages that may be lost, without
// connections.
//
//     datagram_socket socket(loop);
//     socket.onMessage([](const socket_address &from, std::string_view bytes) { ... });
//     const auto port = socket.bind("127.0.0.1", 0);
//     socket.send({.host = "127.0.0.1", .port = 7000}, bytes);
//
// Not built on nng, whose connection and threads per peer are too expensive for these messages; see
// docs/design/platform-port.md.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace mustardline {

class datagram_socket
{
public:
    using message_handler
        = std::function<auto(const socket_address &from, std::string_view bytes)->void>;

    explicit datagram_socket(event_loop &loop) : m_loop(loop) {}
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    auto operator=(const datagram_socket &) -> datagram_socket & = delete;

    auto onMessage(message_handler handler) -> void { m_handler = std::move(handler); }

    // Returns the bound port (chosen by the kernel for port 0), or `listen_failed`; it may
    // be called again after that.
    [[nodiscard]] auto bind(const std::string &address, std::uint16_t port)
        -> result<std::uint16_t>;

    // Sends without blocking; a datagram that cannot be sent is dropped.
    auto send(const socket_address &to, std::string_view bytes) -> void;

private:
    auto receivePending() -> void;

    event_loop &m_loop;
    message_handler m_handler;
    int m_descriptor = -1;
    event_handle m_readEvent;
};

} // namespace mustardline
