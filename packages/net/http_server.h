#pragma once

// HTTP/1.1 server with hard limits and streamed answers.
//
//     http_server server(loop, {.address = "127.0.0.1", .port = 0});
//     server.onRequest([](std::shared_ptr<http_exchange> exchange) {
//         exchange->reply(200, {}, "hello");
//     });
//     const auto port = server.listen();   // the port that the kernel chose
//
// The handler runs once the whole request has been read. The exchange may be kept and answered
// later, at once or as a stream. If the caller leaves first, the `onGone` function is called and
// every later call on the exchange has no effect. Requests that a caller sends without waiting for
// the answers are answered one after the other, in their order.
//
// Limits: a request over the body or header limit is answered 413 or 431 and the handler is not
// called; a request that is malformed is answered 400 and its connection closed; connections over
// the limit are closed on arrival; a caller that is slower than the idle timeout in sending its
// request is disconnected.
//
// Built on libevent sockets and the strict http1_reader in place of libevhtp, which takes bodies of
// ambiguous length for empty ones and drops requests that are sent at once (docs/DESIGN.md).

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
#include "net/tcp_stream.h"

struct evconnlistener;

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
    // Longest time to send the headers of a request once they have begun; no bound of its own if
    // zero.
    duration headerTimeout{};
    tcp_stream_options stream;
};

// One request and its answer.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    struct request
    {
        std::string method;
        // Path and query as they were sent.
        std::string target;
        std::vector<http_header> headers;
        std::string body;
        bool keepAlive = true;
        bool understandsChunks = true;
    };

    [[nodiscard]] auto method() const -> std::string_view { return m_request.method; }
    // Path and query as the caller sent them.
    [[nodiscard]] auto target() const -> std::string_view { return m_request.target; }
    // The path without the query.
    [[nodiscard]] auto path() const -> std::string_view;
    // The raw query without its question mark.
    [[nodiscard]] auto query() const -> std::string_view;
    [[nodiscard]] auto headers() const -> std::span<const http_header> { return m_request.headers; }
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view
    {
        return findHeader(m_request.headers, name);
    }
    [[nodiscard]] auto body() const -> std::string_view { return m_request.body; }

    // The value of a query parameter, unescaped; empty if absent.
    [[nodiscard]] auto parameter(std::string_view name) const -> std::string;

    // Sends the whole answer.
    auto reply(int status, std::span<const http_header> headers, std::string_view body) -> void;

    // Sends an answer in parts: one start, any number of chunks, one end.
    auto startStream(int status, std::span<const http_header> headers) -> void;
    // The same for an answer of a known length; its parts must add up to it.
    auto startSized(int status, std::span<const http_header> headers, std::uint64_t length) -> void;
    auto sendChunk(std::string_view data) -> void;
    auto endStream() -> void;

    // Closes the connection, so that the caller can tell that the answer is not whole.
    auto abort() -> void;

    // Bytes of the answer that the caller has not taken yet.
    [[nodiscard]] auto backlogBytes() const -> std::size_t;

    // Called once if the caller leaves before the answer has ended.
    auto onGone(std::function<auto()->void> callback) -> void { m_onGone = std::move(callback); }

    // Whether the caller is still there and the answer has not ended.
    [[nodiscard]] auto isOpen() const -> bool { return m_connection != nullptr && !m_ended; }

private:
    friend class http_server;
    struct connection;

    http_exchange(connection &owner, request received)
        : m_connection(&owner), m_request(std::move(received))
    {}

    enum class framing : std::uint8_t { sized, chunked, until_close };

    auto start(int status, std::span<const http_header> headers, std::string_view lengthHeader)
        -> std::string;
    auto finish() -> void;
    auto detach() -> void;

    // Null once the answer has ended or the caller has left.
    connection *m_connection;
    request m_request;
    std::function<auto()->void> m_onGone;
    framing m_framing = framing::sized;
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

    // From now on each answer tells its caller that the connection closes after it.
    auto closeAfterAnswers() -> void { m_closing = true; }

    // Ends the connections on which no request is under way.
    auto closeIdle() -> void;

    // Limits for what is received from now on.
    struct limits
    {
        std::size_t maxBodyBytes;
        std::size_t maxHeaderBytes;
        duration idleTimeout;
        duration headerTimeout;
    };
    auto setLimits(const limits &value) -> void;

    [[nodiscard]] auto connectionCount() const -> std::size_t { return m_connections.size(); }

private:
    friend class http_exchange;
    using connection = http_exchange::connection;

    auto accepted(int descriptor) -> void;
    auto closeSlow() -> void;

    event_loop &m_loop;
    http_server_options m_options;
    request_handler m_handler;
    evconnlistener *m_listener = nullptr;
    bool m_closing = false;
    std::set<std::shared_ptr<connection>> m_connections;
    event_handle m_sweep;
};

} // namespace mustardline
