#pragma once

// HTTP/1.1 client with streamed responses and connection reuse.
//
//     http_client client(loop, {});
//     auto call = client.start({.host = "127.0.0.1", .port = 8080},
//                              {.method = "POST", .path = "/v1/run", .body = body},
//                              {.onHeaders = ..., .onData = ..., .onDone = ...});
//     call.cancel();
//
// `onHeaders` and `onData` are called as the response arrives; `onDone` is called exactly once at
// its end, unless the call was cancelled. A failure says whether the request can have reached the
// peer: `connection_failed` with `sent == false` means that no connection was established.
//
// A connection is reused only if the request was sent completely and its response was complete,
// with no bytes after it. An idle connection on which anything arrives is closed, and one that has
// been idle for longer than the `idle_limit` carries no further request. If a peer sends nothing
// within a call's idle timeout, its idle connections are closed with that of the call.
//
// Built on libevent sockets and the strict http1_reader instead of evhttp, which attributes surplus
// bytes after one response to the next request and does not read a response before it has sent the
// whole request (docs/DESIGN.md).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/idle_limit.h"
#include "net/tcp_stream.h"

namespace mustardline {

struct http_client_options
{
    duration connectTimeout = std::chrono::seconds(2);
    std::size_t maxHeaderBytes = 64U << 10U;
    // Maximum number of open connections, idle ones included. At the limit, the connection that has
    // been idle for longest is closed; a call that finds none fails with `overloaded`, not sent.
    std::size_t maxConnections = SIZE_MAX;
    // Maximum number of idle connections kept per address.
    std::size_t maxIdlePerAddress = 64;
    // How long a connection may be idle before it carries another request.
    idle_limit_options idle;
    tcp_stream_options stream;
};

struct http_request
{
    std::string method = "GET";
    // Path and query.
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    // A header that the response has to echo; none if its name is empty. A response with another
    // value fails the call with `malformed_message`, and the connection is reused only if the
    // response has this value.
    http_header echo;
    // Connections, as `http_call::connection` numbers them, that must not carry this request. An
    // earlier send of the same request used them, and a late or surplus response to that send would
    // have the expected echo.
    std::vector<std::uint64_t> avoidedConnections;
    // The call fails if the peer sends nothing for this long.
    duration idleTimeout = std::chrono::seconds(60);
    // The call fails if it has not ended within this time, connecting included; no limit if zero.
    duration timeLimit{};
    // Maximum number of idle connections to this peer after the call; if zero, the client's
    // `maxIdlePerAddress`.
    std::size_t maxIdle = 0;
    // The call fails with `answer_too_large` if the body is larger.
    std::size_t maxAnswerBytes = 64U << 20U;
};

struct http_answer
{
    int status = 0;
    std::vector<http_header> headers;
    // The Content-Length, if the response has one.
    std::optional<std::uint64_t> length;
    // Neither a length nor chunks: nothing but the end of the connection ends the body.
    bool endsWithConnection = false;
    // The connection had carried an earlier request, so the response may be a late one to that.
    bool reused = false;
};

struct http_failure
{
    error reason;
    // Whether the request may have reached the peer.
    bool sent = false;
    // Whether the request used a connection that had carried an earlier request.
    bool reused = false;
};

// How a call ended: with a complete response (monostate) or a failure.
using http_outcome = std::variant<std::monostate, http_failure>;

struct http_callbacks
{
    std::function<auto(const http_answer &)->void> onHeaders;
    std::function<auto(std::string_view)->void> onData;
    std::function<auto(const http_outcome &)->void> onDone;
};

// A handle of a call in progress. Copies refer to the same call; destroying them does not cancel
// it.
class http_call
{
public:
    http_call() = default;

    // Cancels the call and closes its connection; no callback follows.
    auto cancel() -> void;

    // Stops and resumes reading the response, as backpressure on a peer that sends faster than its
    // consumer reads.
    auto pause() -> void;
    auto resume() -> void;
    // Whether bytes of the response have arrived that were not read because of `pause`.
    [[nodiscard]] auto hasInput() const -> bool;

    // The number of the connection that was chosen for the request; unique in this client.
    [[nodiscard]] auto connection() const -> std::uint64_t { return m_connection; }

private:
    friend class http_client;
    struct state;
    std::weak_ptr<state> m_state;
    std::uint64_t m_connection = 0;
};

class http_client
{
public:
    http_client(event_loop &loop, http_client_options options);
    ~http_client(); // Cancels all calls in progress; none of their callbacks follows.
    http_client(const http_client &) = delete;
    auto operator=(const http_client &) -> http_client & = delete;

    auto start(const socket_address &address, http_request request, http_callbacks callbacks)
        -> http_call;

    // Buffers the whole body and calls `done` once.
    using whole_answer_handler
        = std::function<auto(const http_outcome &, const http_answer &, std::string)->void>;
    auto fetch(const socket_address &address, http_request request, whole_answer_handler done)
        -> http_call;

private:
    friend class http_call;
    struct connection_pool;

    std::shared_ptr<connection_pool> m_pool;
};

} // namespace mustardline
