#pragma once

// Request/reply messages between mustardline processes over nng.
//
//     control_server server(loop);
//     server.onMessage([](std::string_view request) { return makeReply(request); });
//     const auto port = server.listen("127.0.0.1", 0);
//
//     control_client client(loop, {.host = "127.0.0.1", .port = *port}, {});
//     client.send(request, [](result<std::string> reply) { ... });
//
// nng has its own threads; both classes receive its messages on the event loop's thread and call
// handlers there, so that handlers may access the tables. The messages are opaque bytes.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

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

    // Opens the socket; port 0 lets the kernel choose one. Returns the port, or `listen_failed`.
    [[nodiscard]] auto listen(const std::string &address, std::uint16_t port)
        -> result<std::uint16_t>;

private:
    // Receives one request at a time and sends its reply.
    class reply_slot;

    auto receiveAll() -> void;
    // A slot that is not sending a reply.
    [[nodiscard]] auto freeSlot() -> reply_slot &;

    event_loop &m_loop;
    message_handler m_handler;
    std::uint32_t m_socket = 0;
    bool m_open = false;
    event_handle m_readable;
    // As many as replies were ever sent at the same time, and one.
    std::vector<std::unique_ptr<reply_slot>> m_slots;
};

struct control_client_options
{
    // Maximum wait for a reply.
    duration timeout = std::chrono::seconds(2);
};

// A client of one peer with at most one request in flight.
class control_client
{
public:
    using reply_handler = std::function<auto(const result<std::string> &)->void>;

    control_client(event_loop &loop, socket_address peer, control_client_options options);
    ~control_client();
    control_client(const control_client &) = delete;
    auto operator=(const control_client &) -> control_client & = delete;

    // Sends a request. If another one is in flight, it is abandoned and its handler is called with
    // `cancelled`.
    auto send(std::string_view request, reply_handler onReply) -> void;

    [[nodiscard]] auto isBusy() const -> bool { return m_replyHandler != nullptr; }

private:
    auto trySend() -> void;
    auto receive() -> void;
    auto finish(const result<std::string> &reply) -> void;

    event_loop &m_loop;
    control_client_options m_options;
    std::uint32_t m_socket = 0;
    bool m_open = false;
    reply_handler m_replyHandler;
    // The request, until nng has accepted it.
    std::string m_unsent;
    event_handle m_readable;
    event_handle m_sendTimer;
    event_handle m_timer;
};

} // namespace mustardline
