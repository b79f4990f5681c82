#pragma once

// HTTP/1.1 client with streamed answers and kept connections.
//
//     http_client client(loop, {});
//     auto call = client.start({.host = "127.0.0.1", .port = 8080},
//                              {.method = "POST", .path = "/v1/run", .body = body},
//                              {.onHeaders = ..., .onData = ..., .onDone = ...});
//     call.cancel();
//
// `onHeaders` and `onData` are called as the answer arrives; `onDone` is called exactly once at its
// end, unless the call was cancelled. A failure says whether the request can have reached the peer:
// `connection_failed` with `sent == false` means that no connection was made.
//
// A connection is used again only after a whole answer with nothing behind it, once the whole
// request has been sent. One on which anything arrives while no answer is owed is closed.
//
// Built on libevent sockets and the strict http1_reader in place of evhttp, which hands the rest of
// one answer to the next request and does not see an answer before it has sent the whole request
// (docs/DESIGN.md).

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
#include "net/tcp_stream.h"

namespace mustardline {

struct http_client_options
{
    duration connectTimeout = std::chrono::seconds(2);
    std::size_t maxHeaderBytes = 64U << 10U;
    // Idle connections that are kept per address.
    std::size_t maxIdlePerAddress = 64;
    // Idle connections older than this are closed, before their peer does so.
    duration maxIdleAge = std::chrono::seconds(30);
    tcp_stream_options stream;
};

struct http_request
{
    std::string method = "GET";
    // Path and query.
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    // A header that the answer repeats if it is the answer to this request; empty for none. An
    // answer that names another value fails the call with `malformed_message`, and a connection is
    // used again only after an answer that names this one.
    http_header echo;
    // Longest silence of the peer.
    duration idleTimeout = std::chrono::seconds(60);
    // Idle connections kept to this peer after the call; the client's number if zero.
    std::size_t maxIdle = 0;
    // An answer with a larger body fails with `answer_too_large`.
    std::size_t maxAnswerBytes = 64U << 20U;
};

struct http_answer
{
    int status = 0;
    std::vector<http_header> headers;
    // The length of the body if the peer told it.
    std::optional<std::uint64_t> length;
};

struct http_failure
{
    error reason;
    // Whether the request may have reached the peer.
    bool sent = false;
    // Whether it went out on a connection that had carried another request before.
    bool reused = false;
};

// How a call ended: with a whole answer, or not.
using http_outcome = std::variant<std::monostate, http_failure>;

struct http_callbacks
{
    std::function<auto(const http_answer &)->void> onHeaders;
    std::function<auto(std::string_view)->void> onData;
    std::function<auto(const http_outcome &)->void> onDone;
};

// A call in progress. Copies name the same call; dropping all of them does not end it.
class http_call
{
public:
    http_call() = default;

    // Ends the call and closes its connection; no callback follows.
    auto cancel() -> void;

    // Stops and resumes reading the answer, to hold back a peer that is faster than its reader.
    auto pause() -> void;
    auto resume() -> void;

private:
    friend class http_client;
    struct state;
    std::weak_ptr<state> m_state;
};

class http_client
{
public:
    http_client(event_loop &loop, http_client_options options);
    ~http_client(); // Ends the calls under way; none of their callbacks follows.
    http_client(const http_client &) = delete;
    auto operator=(const http_client &) -> http_client & = delete;

    auto start(const socket_address &address, http_request request, http_callbacks callbacks)
        -> http_call;

    // Collects the whole body and calls `done` once.
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
