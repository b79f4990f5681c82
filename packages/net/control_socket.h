#pragma once

// Control messages between our processes: one request, one reply, over nng.
//
//     control_server server(loop);
//     server.onMessage([](std::string_view request) { return makeReply(request); });
//     const auto port = server.listen("127.0.0.1", 0);
//
//     control_client client(loop, {.host = "127.0.0.1", .port = *port}, {});
//     client.send(request, [](result<std::string> reply) { ... });
//
// nng runs threads of its own; both classes take its messages over on the event loop's thread, so
// that handlers may touch the tables. Messages are opaque bytes here.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace mustardline {

class control_server
{
public:
    using message_handler = std::function<auto(std::string_view request)->std::string>;

    explicit control_server(event_loop &loop);
    ~control_server();
    control_server(const control_server &) = delete;
    auto operator=(const control_server &) -> control_server & = delete;

    auto onMessage(message_handler handler) -> void { m_handler = std::move(handler); }

    // Opens the socket; a port of 0 lets the kernel choose. Answers the port, or `listen_failed`.
    [[nodiscard]] auto listen(const std::string &address, std::uint16_t port)
        -> result<std::uint16_t>;

private:
    auto receiveAll() -> void;

    event_loop &m_loop;
    message_handler m_handler;
    std::uint32_t m_socket = 0;
    bool m_open = false;
    event_handle m_readable;
};

struct control_client_options
{
    // Longest wait for a reply.
    duration timeout = std::chrono::seconds(2);
};

// A client of one peer with at most one request under way.
class control_client
{
public:
    using reply_handler = std::function<auto(const result<std::string> &)->void>;

    control_client(event_loop &loop, socket_address peer, control_client_options options);
    ~control_client();
    control_client(const control_client &) = delete;
    auto operator=(const control_client &) -> control_client & = delete;

    // Sends a request. One that is still under way is given up and its handler called with
    // `cancelled`.
    auto send(std::string_view request, reply_handler done) -> void;

    [[nodiscard]] auto isBusy() const -> bool { return m_done != nullptr; }

private:
    auto trySend() -> void;
    auto receive() -> void;
    auto finish(const result<std::string> &reply) -> void;

    event_loop &m_loop;
    control_client_options m_options;
    std::uint32_t m_socket = 0;
    bool m_open = false;
    reply_handler m_done;
    // The request while the connection does not stand yet.
    std::string m_unsent;
    event_handle m_readable;
    event_handle m_sendTimer;
    event_handle m_timer;
};

} // namespace mustardline
