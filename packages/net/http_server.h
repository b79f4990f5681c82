#pragma once

// HTTP/1.1 server with hard limits and streamed responses.
//
//     http_server server(loop, {.address = "127.0.0.1", .port = 0});
//     server.onRequest([](std::shared_ptr<http_exchange> exchange) {
//         exchange->reply(200, {}, "hello");
//     });
//     const auto port = server.listen();   // the port that the kernel chose
//
// The handler runs once the whole request has been received. It may keep the exchange and respond
// later, in one piece or as a stream. If the caller disconnects first, the `onGone` callback is
// called and all further calls on the exchange have no effect. Pipelined requests are processed one
// at a time, in order.
//
// Limits: a request that exceeds the body or header limit is answered with 413 or 431 and does not
// reach the handler; a malformed request is answered with 400 and its connection is closed;
// at the limit of connections, a new one takes the place of the one that waits for longest without
// a whole request, or is closed if there is none; a caller that sends nothing for longer than the
// idle timeout within a request is disconnected.
//
// Without free descriptors, connections give way in the same way; if none can, accepting pauses for
// a moment at a time, and `onAcceptPaused` is called once.
//
// With a `byte_budget`, connections that hold memory and do not go on give way when it runs out: a
// stalled request is answered with 408, others and responses that are not read are closed. A whole
// request that finds no room is answered with 503 and does not reach the handler.
//
// Built on libevent sockets and the strict http1_reader instead of libevhtp, which treats bodies of
// ambiguous length as empty and drops pipelined requests (docs/DESIGN.md).

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/result.h"
#include "net/byte_budget.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"

struct evconnlistener;

namespace mustardline {

struct http_server_options
{
    std::string address = "127.0.0.1";
    // 0 lets the kernel choose a port.
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxHeaderBytes = 32U << 10U;
    std::size_t maxConnections = 4096;
    // Maximum time without input, within a request or on an idle connection. A connection whose
    // caller still receives a response is not idle.
    duration idleTimeout = std::chrono::seconds(60);
    // Maximum time from the first byte of a request to the end of its headers; no limit if zero.
    duration headerTimeout{};
    tcp_stream_options stream;
    // Bounds the bytes of all connections of the servers that share it; no bound if null.
    std::shared_ptr<byte_budget> budget;
};

// A request and its response.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    struct request
    {
        std::string method;
        // Path and query as sent.
        std::string target;
        std::vector<http_header> headers;
        std::string body;
        bool keepAlive = true;
        bool supportsChunked = true;
    };

    [[nodiscard]] auto method() const -> std::string_view { return m_request.method; }
    // Path and query as sent by the caller.
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

    // The decoded value of a query parameter; empty if absent.
    [[nodiscard]] auto parameter(std::string_view name) const -> std::string;

    // Sends a complete response.
    auto reply(int status, std::span<const http_header> headers, std::string_view body) -> void;

    // The same for a body that may be large, without a copy of it.
    auto replyOwned(int status, std::span<const http_header> headers, std::string body) -> void;

    // Streams a response: one `startStream`, any number of `sendChunk`, one `endStream`.
    auto startStream(int status, std::span<const http_header> headers) -> void;
    // Like `startStream`, for a body of known length; the chunks must add up to `length`.
    auto startSized(int status, std::span<const http_header> headers, std::uint64_t length) -> void;
    auto sendChunk(std::string_view data) -> void;
    auto endStream() -> void;

    // Closes the connection, so that the caller detects the truncated response; resets it if the
    // caller could not tell otherwise.
    auto abort() -> void;

    // Bytes of the response that are buffered because the caller has not read them yet.
    [[nodiscard]] auto backlogBytes() const -> std::size_t;

    // Called once if the caller disconnects before the response has ended.
    auto onGone(std::function<auto()->void> callback) -> void { m_onGone = std::move(callback); }

    // Whether the caller is still connected and the response has not ended.
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

    // Null once the response has ended or the caller has disconnected.
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

    // Called when connections cannot be accepted, with the error, and when they can be again.
    std::function<auto(std::string_view reason)->void> onAcceptPaused;
    std::function<auto()->void> onAcceptResumed;

    // Opens the socket; returns the port, or `listen_failed`.
    [[nodiscard]] auto listen() -> result<std::uint16_t>;

    // Stops accepting connections; open ones stay.
    auto stopListening() -> void;

    // From now on each connection closes after its current response. The response says so in its
    // headers unless they have been sent already.
    auto closeAfterAnswers() -> void { m_closing = true; }

    // Closes the connections without a request in progress.
    auto closeIdle() -> void;

    // The limits that can change while the server runs. `setLimits` applies the body and header
    // sizes to requests that begin from now on, the timeouts to all connections.
    struct limits
    {
        std::size_t maxBodyBytes;
        std::size_t maxHeaderBytes;
        duration idleTimeout;
        duration headerTimeout;
    };
    auto setLimits(const limits &value) -> void;

    // Whether callers have not yet received all of the responses that were sent.
    [[nodiscard]] auto hasUndelivered() const -> bool;

    // Whether a new connection would be accepted: there are fewer than the limit, or one that waits
    // for a request can give way.
    [[nodiscard]] auto hasRoom() const -> bool;

    [[nodiscard]] auto connectionCount() const -> std::size_t { return m_connections.size(); }

private:
    friend class http_exchange;
    using connection = http_exchange::connection;

    // `address`: IPv4 address of the client.
    auto addConnection(int descriptor, std::uint32_t address) -> void;
    // Closes the connection that has waited for longest without a whole request; returns whether
    // there was one.
    auto closeLongestWaiting() -> bool;
    // The kernel gave no connection, with this error.
    auto handleAcceptError(int code) -> void;
    auto closeTimedOut() -> void;

    event_loop &m_loop;
    http_server_options m_options;
    request_handler m_handler;
    evconnlistener *m_listener = nullptr;
    // Accepts again after a pause.
    event_handle m_acceptRetry;
    bool m_isAcceptPaused = false;
    bool m_closing = false;
    std::set<std::shared_ptr<connection>> m_connections;
    event_handle m_sweep;
};

} // namespace mustardline
