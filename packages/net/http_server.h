#pragma once

// HTTP/1.1 server on libevhtp with hard limits and streamed answers.
//
//     http_server server(loop, {.address = "127.0.0.1", .port = 0});
//     server.onRequest([](std::shared_ptr<http_exchange> exchange) {
//         exchange->reply(200, {}, "hello");
//     });
//     const auto port = server.listen();   // the port that the kernel chose
//
// The handler runs once the whole request has been read. The exchange may be kept and answered
// later, at once or as a stream. If the caller leaves first, the `onGone` function is called and
// every later call on the exchange has no effect.
//
// Limits: a request over the body or header limit is answered 413 or 431 and the handler is not
// called; connections over the limit are closed on arrival; a caller that is slower than the idle
// timeout in sending its request is disconnected.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace mustardline {

struct http_server_options
{
    std::string address = "127.0.0.1";
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxHeaderBytes = 32U << 10U;
    std::size_t maxConnections = 4096;
    // Longest pause of a caller that is sending a request, or that holds an idle connection.
    duration idleTimeout = std::chrono::seconds(60);
};

// One request and its answer.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    // `query` is the raw query of the request, without its question mark.
    http_exchange(event_loop &loop, evhtp_request *request, std::string query);

    [[nodiscard]] auto method() const -> std::string_view { return m_method; }
    // The path without the query.
    [[nodiscard]] auto path() const -> std::string_view { return m_path; }
    // The raw query without its question mark.
    [[nodiscard]] auto query() const -> std::string_view { return m_query; }
    [[nodiscard]] auto headers() const -> std::span<const http_header> { return m_headers; }
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view
    {
        return findHeader(m_headers, name);
    }
    [[nodiscard]] auto body() const -> std::string_view { return m_body; }

    // The value of a query parameter, unescaped; empty if absent.
    [[nodiscard]] auto parameter(std::string_view name) const -> std::string;

    // Sends the whole answer.
    auto reply(int status, std::span<const http_header> headers, std::string_view body) -> void;

    // Sends an answer in parts: one start, any number of chunks, one end.
    auto startStream(int status, std::span<const http_header> headers) -> void;
    auto sendChunk(std::string_view data) -> void;
    auto endStream() -> void;

    // Closes the connection, so that the caller can tell that the answer is not whole.
    auto abort() -> void;

    // Bytes of the answer that the caller has not taken yet.
    [[nodiscard]] auto backlogBytes() const -> std::size_t;

    // Called once if the caller leaves before the answer has ended.
    auto onGone(std::function<auto()->void> callback) -> void { m_onGone = std::move(callback); }

    // Whether the caller is still there and the answer has not ended.
    [[nodiscard]] auto isOpen() const -> bool { return m_request != nullptr && !m_ended; }

private:
    friend class http_server;

    auto addHeaders(std::span<const http_header> headers) -> void;
    auto finish() -> void;
    auto detach() -> void;

    event_loop &m_loop;
    evhtp_request *m_request;
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::vector<http_header> m_headers;
    std::function<auto()->void> m_onGone;
    bool m_started = false;
    bool m_ended = false;
};

class http_server
{
public:
    using request_handler = std::function<auto(std::shared_ptr<http_exchange>)->void>;

    http_server(event_loop &loop, http_server_options options);
    ~http_server();
    http_server(const http_server &) = delete;
    auto operator=(const http_server &) -> http_server & = delete;

    auto onRequest(request_handler handler) -> void { m_handler = std::move(handler); }

    // Opens the socket; answers the port, or `listen_failed`.
    [[nodiscard]] auto listen() -> result<std::uint16_t>;

    // Accepts no more connections; those that are open stay.
    auto stopListening() -> void;

    [[nodiscard]] auto connectionCount() const -> std::size_t { return m_connections.size(); }

private:
    struct connection_state;
    struct callbacks;

    auto dispatch(evhtp_request *request, connection_state &state) -> void;

    event_loop &m_loop;
    http_server_options m_options;
    request_handler m_handler;
    evhtp *m_server;
    bool m_listening = false;
    std::set<evhtp_connection *> m_connections;
};

} // namespace mustardline
