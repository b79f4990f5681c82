#include "net/http_client.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "net/decimal.h"
#include "net/header_text.h"
#include "net/http1_reader.h"

namespace mustardline {

namespace {

// Interval of the check for connections that exceed the maximum idle age.
constexpr duration idleSweepInterval = std::chrono::seconds(2);

// Bodies from this size on are sent on their own instead of in a copy behind the head.
constexpr std::size_t largeBodyBytes = 64U << 10U;

// A peer that has dropped a connection resets it within a round trip after the request.
constexpr duration resetTime = std::chrono::milliseconds(250);

// Whether a text can stand in a request head without ending a line of it.
auto isOneLine(std::string_view text) -> bool
{
    return std::ranges::none_of(
        text, [](char letter) { return letter == '\r' || letter == '\n' || letter == '\0'; });
}

// Whether the head says what the caller means: a byte such as a line end in a text that came from
// elsewhere would begin another header or another request.
auto isSendable(const http_request &request) -> bool
{
    const auto hasMeaning = [](char letter) { return static_cast<unsigned char>(letter) <= ' '; };
    return std::ranges::none_of(request.method, hasMeaning)
           && std::ranges::none_of(request.path, hasMeaning)
           && std::ranges::all_of(request.headers, [](const http_header &header) {
                  return isOneLine(header.name) && isOneLine(header.value);
              });
}

// Serialises the request line and headers.
auto requestHead(const socket_address &address, const http_request &request) -> std::string
{
    auto text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.path);
    if (findHeader(request.headers, "host").empty())
        text += fmt::format("Host: {}\r\n", address.host);
    appendHeaders(text, request.headers);
    const bool hasBody = !request.body.empty() || request.method == "POST"
                         || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    text += "\r\n";
    return text;
}

} // namespace

// Idle connections by address, and the calls in progress.
struct http_client::connection_pool : std::enable_shared_from_this<http_client::connection_pool>
{
    struct numbered_stream
    {
        std::shared_ptr<tcp_stream> stream;
        std::uint64_t number = 0;
        // How long the connection had been idle when it was taken; none if it is a new one.
        std::optional<duration> idleTime;
    };

    struct idle_connection
    {
        numbered_stream connection;
        time_point since;
    };

    event_loop &loop;
    http_client_options options;
    std::map<socket_address, std::vector<idle_connection>> idle;
    std::set<http_call::state *> running;
    event_handle sweep;
    idle_limit idleLimit;
    std::uint64_t lastConnection = 0;
    bool closed = false;

    connection_pool(event_loop &owner, http_client_options chosen)
        : loop(owner), options(chosen), idleLimit(chosen.idle)
    {}

    // The most recently used idle connection without unread input that is not to be avoided; null
    // if there is none.
    auto acquire(const socket_address &address, std::span<const std::uint64_t> avoided)
        -> numbered_stream
    {
        const auto entry = idle.find(address);
        if (entry == idle.end())
            return {};
        auto &connections = entry->second;
        const auto now = system_runtime_clock().now();
        closeExpired(connections, now);
        for (auto at = connections.size(); at-- > 0;) {
            if (std::ranges::find(avoided, connections[at].connection.number) != avoided.end())
                continue;
            auto taken = std::move(connections[at].connection);
            taken.idleTime = now - connections[at].since;
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(at));
            if (!taken.stream->isClosed() && !taken.stream->hasUnread())
                return taken;
            taken.stream->close();
        }
        return {};
    }

    // Whether another connection may be opened for a call that runs; closes idle ones for it.
    auto makeRoom() -> bool
    {
        auto idleCount = std::size_t(0);
        for (const auto &[address, connections] : idle)
            idleCount += connections.size();
        // The call that wants the connection is one of those that run.
        while (running.size() + idleCount > options.maxConnections && closeLongestIdle())
            --idleCount;
        return running.size() + idleCount <= options.maxConnections;
    }

    // Connections of an address stand in the order in which they became idle.
    auto closeLongestIdle() -> bool
    {
        std::vector<idle_connection> *chosen = nullptr;
        for (auto &[address, connections] : idle) {
            if (!connections.empty()
                && (chosen == nullptr || connections.front().since < chosen->front().since))
                chosen = &connections;
        }
        if (chosen == nullptr)
            return false;
        chosen->front().connection.stream->close();
        chosen->erase(chosen->begin());
        return true;
    }

    auto connect(const socket_address &address) -> numbered_stream
    {
        return {.stream = tcp_stream::connect(loop, address, options.stream),
                .number = ++lastConnection};
    }

    auto release(const socket_address &address, const numbered_stream &connection,
                 std::size_t maxIdle) -> void
    {
        auto &connections = idle[address];
        const auto &stream = connection.stream;
        if (closed || connections.size() >= maxIdle) {
            stream->close();
            return;
        }
        const auto raw = stream.get();
        const auto discard = [pool = weak_from_this(), address, raw] {
            raw->close();
            if (const auto owner = pool.lock())
                owner->removeIdle(address, raw);
        };
        // No response is outstanding, so any input makes the connection unusable.
        stream->onData = [discard](std::string_view) { discard(); };
        stream->onEnd = [discard](bool) { discard(); };
        connections.push_back({.connection = connection, .since = system_runtime_clock().now()});
    }

    auto removeIdle(const socket_address &address, const tcp_stream *stream) -> void
    {
        if (const auto entry = idle.find(address); entry != idle.end()) {
            std::erase_if(entry->second, [stream](const auto &each) {
                return each.connection.stream.get() == stream;
            });
        }
    }

    auto closeExpired(std::vector<idle_connection> &connections, time_point now) const -> void
    {
        const auto limit = idleLimit.current(now);
        std::erase_if(connections,
                      [limit, now](const auto &each) { return now - each.since > limit; });
    }

    auto closeExpired() -> void
    {
        const auto now = system_runtime_clock().now();
        for (auto &[address, connections] : idle)
            closeExpired(connections, now);
        std::erase_if(idle, [](const auto &each) { return each.second.empty(); });
        idleLimit.discardOld(now);
    }
};

struct http_call::state : std::enable_shared_from_this<http_call::state>
{
    std::shared_ptr<http_client::connection_pool> pool;
    socket_address address;
    http_request request;
    http_callbacks callbacks;
    std::shared_ptr<tcp_stream> stream;
    // Number of `stream`.
    std::uint64_t connection = 0;
    std::optional<duration> idleTime;
    http1_reader reader{{.kind = http1_kind::response}};
    event_handle timer;
    event_handle limitTimer;
    time_point lastInput;
    std::size_t bodyBytes = 0;
    bool connected = false;
    bool inputReceived = false;
    bool headersReceived = false;
    bool keepAlive = false;
    bool paused = false;
    // Keeps the state alive until the call has ended; null afterwards.
    std::shared_ptr<state> selfReference;

    auto begin() -> void
    {
        lastInput = system_runtime_clock().now();
        if (!isSendable(request)) {
            failLater(result_code::malformed_message,
                      "the path or a header holds a byte that ends it");
            return;
        }
        reader = http1_reader(
            {.kind = http1_kind::response, .maxHeadBytes = pool->options.maxHeaderBytes});
        if (request.method == "HEAD")
            reader.expectNoBody();
        auto taken = pool->acquire(address, request.avoidedConnections);
        const bool hasRoom = taken.stream != nullptr || pool->makeRoom();
        if (taken.stream == nullptr && hasRoom)
            taken = pool->connect(address);
        stream = taken.stream;
        connection = taken.number;
        idleTime = taken.idleTime;
        if (!hasRoom) {
            failLater(result_code::overloaded, "as many connections as are allowed are in use");
            return;
        }
        if (!stream) {
            failLater(result_code::connection_failed, "connection could not be established");
            return;
        }
        setStreamCallbacks();
        startLimitTimer();
        if (isReused())
            sendRequest();
        else
            timer = pool->loop.after(pool->options.connectTimeout, [this] {
                fail(result_code::connection_failed,
                     "connection was not established within the timeout", false);
            });
    }

    // Fails the call, which was not sent, once the code that runs has returned.
    auto failLater(result_code code, std::string message) -> void
    {
        pool->loop.post([keep = shared_from_this(), code, message = std::move(message)] {
            keep->fail(code, message, false);
        });
    }

    [[nodiscard]] auto isReused() const -> bool { return idleTime.has_value(); }

    auto setStreamCallbacks() -> void
    {
        stream->onConnected = [this] { sendRequest(); };
        stream->onData = [this](std::string_view data) { handleInput(data); };
        stream->onEnd = [this](bool orderly) { handleEnd(orderly); };
    }

    auto sendRequest() -> void
    {
        connected = true;
        startIdleTimer(request.idleTimeout);
        auto text = requestHead(address, request);
        if (request.body.size() < largeBodyBytes) {
            text += request.body;
            stream->send(text);
            return;
        }
        stream->send(text);
        stream->sendOwned(std::exchange(request.body, {}));
    }

    auto startLimitTimer() -> void
    {
        if (request.timeLimit <= duration{})
            return;
        limitTimer = pool->loop.after(
            request.timeLimit, [this] { failInTime("the call did not end within its time"); });
    }

    // Instead of restarting a timer at each input, the timer is set again for the remaining time
    // when it expires.
    auto startIdleTimer(duration delay) -> void
    {
        timer = pool->loop.after(delay, [this] {
            const auto silent = system_runtime_clock().now() - lastInput;
            if (silent < request.idleTimeout && !paused)
                startIdleTimer(request.idleTimeout - silent);
            else if (paused)
                startIdleTimer(request.idleTimeout);
            else
                failInTime("peer sent nothing within the idle timeout");
        });
    }

    // A peer that sent nothing may have lost its connections without notice, the idle ones too.
    auto failInTime(std::string message) -> void
    {
        if (!inputReceived)
            pool->idle.erase(address);
        fail(result_code::timeout, std::move(message), connected);
    }

    auto handleInput(std::string_view input) -> void
    {
        const auto keep = shared_from_this();
        lastInput = system_runtime_clock().now();
        inputReceived = true;
        while (selfReference) {
            const auto event = reader.next(input);
            if (std::holds_alternative<http1_need_more>(event)) {
                if (input.empty())
                    return;
            } else if (const auto *head = std::get_if<http1_head>(&event)) {
                handleHead(*head);
            } else if (const auto *body = std::get_if<http1_body>(&event)) {
                handleBody(body->data);
            } else if (std::holds_alternative<http1_end>(event)) {
                keepAlive = keepAlive && input.empty() && stream->backlogBytes() == 0;
                finish(std::monostate());
            } else if (const auto *parseError = std::get_if<http1_error>(&event)) {
                fail(result_code::malformed_message, parseError->reason.message, true);
            }
        }
    }

    auto handleHead(const http1_head &head) -> void
    {
        headersReceived = true;
        pool->idleLimit.recordResponse(address, lastInput);
        keepAlive = head.keepAlive;
        if (!request.echo.name.empty()) {
            const auto echoed = findHeader(head.headers, request.echo.name);
            keepAlive = keepAlive && echoed == request.echo.value;
            if (!echoed.empty() && echoed != request.echo.value) {
                fail(result_code::malformed_message, "response belongs to another request", true);
                return;
            }
        }
        const auto length = parseDecimal<std::uint64_t>(findHeader(head.headers, "content-length"));
        if (length && *length > request.maxAnswerBytes) {
            fail(result_code::answer_too_large, "response exceeds the limit", true);
            return;
        }
        if (callbacks.onHeaders) {
            callbacks.onHeaders({.status = head.status,
                                 .headers = head.headers,
                                 .length = length,
                                 .endsWithConnection = head.endsWithConnection,
                                 .reused = isReused()});
        }
    }

    auto handleBody(std::string_view data) -> void
    {
        bodyBytes += data.size();
        if (bodyBytes > request.maxAnswerBytes)
            fail(result_code::answer_too_large, "response exceeds the limit", true);
        else if (callbacks.onData)
            callbacks.onData(data);
    }

    // Whether the peer had probably dropped the connection before the request was sent on it: it
    // ends at once, without a byte of a response.
    [[nodiscard]] auto wasDroppedWhileIdle(time_point now) const -> bool
    {
        return isReused() && !inputReceived && now - lastInput <= resetTime;
    }

    auto handleEnd(bool orderly) -> void
    {
        const auto now = system_runtime_clock().now();
        if (wasDroppedWhileIdle(now))
            pool->idleLimit.recordReset(address, *idleTime, now);
        if (orderly && headersReceived && reader.mayEndNow())
            finish(std::monostate());
        else if (!connected)
            fail(result_code::connection_failed, "connection could not be established", false);
        else
            fail(result_code::connection_failed, "connection was lost", true);
    }

    auto finish(const http_outcome &outcome) -> void
    {
        const auto keep = end();
        if (!keep)
            return;
        if (std::holds_alternative<std::monostate>(outcome) && keepAlive && !stream->isClosed())
            pool->release(address, {.stream = stream, .number = connection},
                          request.maxIdle > 0 ? request.maxIdle : pool->options.maxIdlePerAddress);
        else if (stream && std::holds_alternative<http_failure>(outcome))
            abandonConnection();
        else if (stream)
            stream->close();
        const auto done = std::exchange(callbacks, {});
        if (done.onDone)
            done.onDone(outcome);
    }

    auto fail(result_code code, std::string message, bool sent) -> void
    {
        finish(http_failure{.reason = {.code = code, .message = std::move(message)},
                            .sent = sent,
                            .reused = isReused()});
    }

    // The system would go on to send what the peer has not acknowledged, after a plain close too.
    auto abandonConnection() -> void
    {
        if (!stream->isClosed() && stream->undeliveredBytes() > 0)
            stream->reset();
        else
            stream->close();
    }

    auto cancel() -> void
    {
        const auto keep = end();
        if (!keep)
            return;
        if (stream)
            abandonConnection();
        // A callback may have called `cancel`, so the callbacks are destroyed after it has
        // returned.
        pool->loop.post([keep] { keep->callbacks = {}; });
    }

    // Removes the call from the calls in progress; null if it had ended already.
    auto end() -> std::shared_ptr<state>
    {
        auto keep = std::exchange(selfReference, nullptr);
        if (!keep)
            return nullptr;
        pool->running.erase(this);
        timer = {};
        limitTimer = {};
        return keep;
    }
};

auto http_call::cancel() -> void
{
    if (const auto current = m_state.lock())
        current->cancel();
}

auto http_call::pause() -> void
{
    const auto current = m_state.lock();
    if (!current || !current->selfReference || !current->stream)
        return;
    current->paused = true;
    current->stream->setReading(false);
}

auto http_call::resume() -> void
{
    const auto current = m_state.lock();
    if (!current || !current->selfReference || !current->stream)
        return;
    current->paused = false;
    current->lastInput = system_runtime_clock().now();
    current->stream->setReading(true);
}

auto http_call::hasInput() const -> bool
{
    const auto current = m_state.lock();
    return current && current->selfReference && current->stream && current->stream->hasInput();
}

http_client::http_client(event_loop &loop, http_client_options options)
    : m_pool(std::make_shared<connection_pool>(loop, options))
{
    m_pool->sweep = loop.every(idleSweepInterval, [pool = m_pool.get()] { pool->closeExpired(); });
}

http_client::~http_client()
{
    m_pool->closed = true;
    m_pool->sweep = {};
    m_pool->idle.clear();
    // Callbacks are destroyed without a call: the objects they refer to may no longer exist.
    while (!m_pool->running.empty()) {
        auto &call = **m_pool->running.begin();
        const auto keep = call.shared_from_this();
        call.cancel();
        call.callbacks = {};
    }
}

auto http_client::start(const socket_address &address, http_request request,
                        http_callbacks callbacks) -> http_call
{
    auto call = std::make_shared<http_call::state>();
    call->pool = m_pool;
    call->address = address;
    call->request = std::move(request);
    call->callbacks = std::move(callbacks);
    call->selfReference = call;
    m_pool->running.insert(call.get());
    call->begin();
    http_call handle;
    handle.m_state = call;
    handle.m_connection = call->connection;
    return handle;
}

auto http_client::fetch(const socket_address &address, http_request request,
                        whole_answer_handler done) -> http_call
{
    struct full_response
    {
        http_answer answer;
        std::string body;
    };
    auto response = std::make_shared<full_response>();
    return start(address, std::move(request),
                 {.onHeaders = [response](const http_answer &answer) { response->answer = answer; },
                  .onData = [response](std::string_view data) { response->body += data; },
                  .onDone =
                      [response, done = std::move(done)](const http_outcome &outcome) {
                          done(outcome, response->answer, std::move(response->body));
                      }});
}

} // namespace mustardline
