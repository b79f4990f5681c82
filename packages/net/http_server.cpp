#include "net/http_server.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <http_parser.h>

#include "net/decimal.h"
#include "net/header_text.h"
#include "net/http1_reader.h"
#include "net/http_error.h"

namespace mustardline {

namespace {

constexpr int listenBacklog = 1024;
// Interval of the check for timed-out connections; a timeout is overrun by at most this much.
constexpr duration sweepInterval = std::chrono::milliseconds(500);
// Time without accepting connections after the kernel gave none.
constexpr duration acceptPause = std::chrono::milliseconds(100);
// Input that a connection keeps while its request is under way; beyond it, reading pauses. It is
// the size of a read, too, so that twice as much is kept at the most.
constexpr std::size_t maxPendingBytes = 4U << 10U;
// A request that runs is kept by its exchange and by the call to an endpoint. A small one is also
// kept in the part that the endpoint's socket has not yet accepted.
constexpr std::size_t copiesOfWholeRequest = 3;
// Bodies from this size on are sent on their own instead of in a copy behind the head.
constexpr std::size_t largeBodyBytes = 64U << 10U;
constexpr duration refusalRetryAfter = std::chrono::seconds(1);

// Memory of a request's head.
auto headMemory(const http1_head &head) -> std::size_t
{
    auto sum = head.target.capacity() + head.headers.capacity() * sizeof(http_header);
    for (const auto &item : head.headers)
        sum += item.name.capacity() + item.value.capacity();
    return sum;
}

auto statusText(int status) -> std::string_view
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

// One connection of a caller. It is owned by the server's set and by its running callbacks.
struct http_exchange::connection : std::enable_shared_from_this<http_exchange::connection>
{
    http_server &server;
    std::shared_ptr<tcp_stream> stream;
    http1_reader reader;
    // Input that arrived while a response is outstanding, or that waits for its turn.
    std::string pending;
    // Processes `pending` in a later turn of the event loop.
    event_handle nextTurn;
    std::optional<http_exchange::request> incoming;
    std::shared_ptr<http_exchange> current;
    // In the server's budget; 0 without one.
    byte_budget::holder_id holder = 0;
    // Memory of the head of `incoming`, and of the request of `current`.
    std::size_t headBytes = 0;
    std::size_t wholeBytes = 0;
    // Maximum size of the body of `incoming`.
    std::size_t bodyLimit = 0;
    // Response bytes wait for the caller to read.
    bool isUnread = false;
    // Undelivered bytes when the idle timeout last passed.
    std::size_t undeliveredBytes = 0;
    // The connection gave way and is about to be closed.
    bool hasYielded = false;
    time_point lastInput;
    time_point requestBegunAt;
    bool closesAfterAnswer = false;
    // Nothing but the end of the connection ends the response.
    bool endsResponse = false;
    bool processing = false;
    // The connection closes once the buffered output is sent.
    bool closing = false;

    connection(http_server &owner, std::shared_ptr<tcp_stream> channel)
        : server(owner),
          stream(std::move(channel)),
          reader({.kind = http1_kind::request,
                  .maxHeadBytes = owner.m_options.maxHeaderBytes,
                  .maxBodyBytes = owner.m_options.maxBodyBytes}),
          lastInput(system_runtime_clock().now())
    {}

    auto handleInput(std::string_view data) -> void
    {
        if (hasYielded)
            return;
        lastInput = system_runtime_clock().now();
        takeInput(data);
        makeRoomForInput();
    }

    auto takeInput(std::string_view data) -> void
    {
        if (current || processing || !pending.empty()) {
            pending += data;
            if (pending.size() > maxPendingBytes)
                stream->setReading(false);
            return;
        }
        process(data);
    }

    auto processPending() -> void
    {
        const auto taken = std::exchange(pending, {});
        process(taken);
        if (pending.size() <= maxPendingBytes)
            stream->setReading(true);
    }

    // Parses input up to the end of one request; buffers the remaining input. A client that sends
    // many requests at once gets one processed in each turn of the event loop, as all others do.
    auto process(std::string_view input) -> void
    {
        const auto keep = shared_from_this();
        bool hasRequest = false;
        processing = true;
        while (!hasRequest && !stream->isClosed() && !closesAfterAnswer) {
            if (!reader.isInsideMessage())
                beginRequest(!input.empty());
            const auto event = reader.next(input);
            if (std::holds_alternative<http1_need_more>(event) && input.empty())
                break;
            hasRequest = std::holds_alternative<http1_end>(event);
            handleEvent(event);
        }
        processing = false;
        if (stream->isClosed() || closesAfterAnswer)
            return;
        pending.insert(0, input);
        if (!current)
            continueLater();
    }

    // Processes pending input once the code that runs has returned and others had their turn.
    auto continueLater() -> void
    {
        if (pending.empty())
            return;
        nextTurn = server.m_loop.after({}, [raw = this] {
            const auto keep = raw->shared_from_this();
            if (!raw->stream->isClosed() && !raw->current)
                raw->processPending();
        });
    }

    auto beginRequest(bool hasInput) -> void
    {
        requestBegunAt = lastInput;
        reader.setLimits(server.m_options.maxHeaderBytes, server.m_options.maxBodyBytes);
        if (isAccounted() && hasInput)
            budget().begin(holder, lastInput);
    }

    auto handleEvent(const http1_event &event) -> void
    {
        if (const auto *head = std::get_if<http1_head>(&event)) {
            headBytes = headMemory(*head);
            const auto length
                = parseDecimal<std::uint64_t>(findHeader(head->headers, "content-length"));
            bodyLimit = length ? *length : server.m_options.maxBodyBytes;
            incoming = http_exchange::request{.method = head->method,
                                              .target = head->target,
                                              .headers = head->headers,
                                              .body = {},
                                              .keepAlive = head->keepAlive,
                                              .supportsChunked = head->supportsChunked};
            if (sameHeaderName(findHeader(head->headers, "expect"), "100-continue"))
                stream->send("HTTP/1.1 100 Continue\r\n\r\n");
        } else if (const auto *body = std::get_if<http1_body>(&event)) {
            appendBody(body->data);
        } else if (std::holds_alternative<http1_end>(event)) {
            dispatch();
        } else if (const auto *parseError = std::get_if<http1_error>(&event)) {
            sendErrorAndClose(parseError->status, parseError->reason);
        }
    }

    // Grows the body by doubling, but not beyond its limit, and never before its bytes arrive.
    auto appendBody(std::string_view data) -> void
    {
        auto &body = incoming->body;
        const auto needed = body.size() + data.size();
        if (needed > body.capacity()) {
            std::string grown;
            grown.reserve(std::max(needed, std::min(body.capacity() * 2, bodyLimit)));
            grown += body;
            body = std::move(grown);
        }
        body += data;
        if (isAccounted())
            budget().progressed(holder, data.size(), lastInput);
    }

    auto dispatch() -> void
    {
        auto request = std::move(*incoming);
        incoming.reset();
        wholeBytes = copiesOfWholeRequest * (headBytes + request.body.capacity());
        current = std::shared_ptr<http_exchange>(new http_exchange(*this, std::move(request)));
        stream->setMaxReadBytes(maxPendingBytes);
        if (isAccounted() && !budget().admitWhole(holder, heldBytes(), lastInput)) {
            refuse();
            return;
        }
        server.m_handler(current);
    }

    // Answers a whole request for which there is no memory; it has not reached the handler.
    auto refuse() -> void
    {
        const http_error failure{.code = result_code::overloaded,
                                 .message = "no memory for the request at present",
                                 .retryAfter = refusalRetryAfter};
        constexpr int unavailable = 503;
        current->reply(unavailable, errorHeaders(failure), errorBody(failure));
    }

    auto budget() -> byte_budget & { return *server.m_options.budget; }
    [[nodiscard]] auto isAccounted() const -> bool { return holder != 0 && !hasYielded; }

    // Memory that the connection has allocated for its client.
    [[nodiscard]] auto heldBytes() const -> std::size_t
    {
        auto sum = pending.capacity() + reader.bufferedBytes() + stream->heldBytes();
        if (incoming)
            sum += headBytes + incoming->body.capacity();
        if (current)
            sum += wholeBytes;
        return sum;
    }

    auto makeRoomForInput() -> void
    {
        if (!isAccounted())
            return;
        budget().setHeld(holder, heldBytes());
        if (!current && reader.isInsideMessage() && !budget().makeRoom(holder, lastInput))
            giveWay(yield_reason::memory);
    }

    // Sends a part of a response.
    auto send(std::string_view data) -> void
    {
        stream->send(data);
        accountForOutput();
    }

    // The same for a large part, without a copy of it.
    auto sendOwned(std::string data) -> void
    {
        stream->sendOwned(std::move(data));
        accountForOutput();
    }

    auto accountForOutput() -> void
    {
        if (!isAccounted() || stream->backlogBytes() == 0)
            return;
        const auto now = system_runtime_clock().now();
        isUnread = true;
        budget().setHeld(holder, heldBytes());
        budget().waitForReader(holder, now);
        if (!budget().makeRoom(holder, now))
            giveWay(yield_reason::memory);
    }

    auto handleSent(std::size_t bytes) -> void
    {
        if (!isAccounted() || !isUnread)
            return;
        budget().progressed(holder, bytes, system_runtime_clock().now());
        budget().setHeld(holder, heldBytes());
        if (stream->backlogBytes() > 0)
            return;
        isUnread = false;
        if (current)
            budget().resume(holder);
        else if (!reader.isInsideMessage())
            budget().settle(holder);
    }

    // The request has ended.
    auto settle() -> void
    {
        if (!isAccounted())
            return;
        budget().setHeld(holder, heldBytes());
        if (!isUnread)
            budget().settle(holder);
    }

    // Frees the memory of the connection, and closes it once the code that runs has returned: it
    // may be that of this connection. Freed that late, the memory of all that give way in one turn
    // of the event loop would come on top of what takes its place.
    auto giveWay(yield_reason reason) -> void
    {
        hasYielded = true;
        if (!processing)
            freeInput();
        if (isUnread)
            stream->discardOutput();
        server.m_loop.post([self = shared_from_this(), reason] { self->closeYielded(reason); });
    }

    // Nothing more of the request under way is received.
    auto freeInput() -> void
    {
        nextTurn = {};
        incoming.reset();
        // An empty string that is assigned would keep the memory.
        std::string().swap(pending);
        stream->setReading(false);
    }

    auto closeYielded(yield_reason reason) -> void
    {
        if (stream->isClosed())
            return;
        if (current || closing || isUnread || reason != yield_reason::stalled)
            closeNow();
        else
            sendTimeoutAndClose();
    }

    auto sendTimeoutAndClose() -> void
    {
        constexpr int requestTimeout = 408;
        sendErrorAndClose(requestTimeout,
                          {.code = result_code::timeout,
                           .message = "request was not received within the timeout"});
    }

    // Answers an unreadable request with an error and closes the connection.
    auto sendErrorAndClose(int status, const error &reason) -> void
    {
        closesAfterAnswer = true;
        incoming.reset();
        pending = {};
        const http_error failure{.code = reason.code, .message = reason.message};
        const auto body = errorBody(failure);
        auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, statusText(status));
        appendHeaders(text, errorHeaders(failure));
        text += fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n", body.size());
        text += body;
        send(text);
        settle();
        finishConnection();
    }

    auto handleAnswered(const http_exchange &exchange) -> void
    {
        const auto keep = shared_from_this();
        if (current.get() == &exchange)
            current.reset();
        stream->setMaxReadBytes(SIZE_MAX);
        settle();
        // A response that began before `closeAfterAnswers` has no `Connection: close`, so its
        // connection is closed here, unless the caller has already sent another request.
        const bool nothingFollows = pending.empty() && !reader.isInsideMessage();
        if (closesAfterAnswer || (server.m_closing && nothingFollows && !stream->hasUnread())) {
            finishConnection();
            return;
        }
        lastInput = system_runtime_clock().now();
        if (!processing)
            continueLater();
    }

    auto finishConnection() -> void
    {
        if (stream->isClosed()) {
            remove();
            return;
        }
        closing = true;
        if (const auto left = std::exchange(current, nullptr))
            left->detach();
        stream->closeAfterSending();
    }

    auto closeNow() -> void
    {
        // An orderly end would make a part of such a response look whole.
        const bool isPartial = current || isUnread || stream->undeliveredBytes() > 0;
        if (endsResponse && isPartial)
            stream->reset();
        else
            stream->close();
        remove();
    }

    auto remove() -> void
    {
        const auto keep = shared_from_this();
        if (holder != 0)
            budget().remove(std::exchange(holder, 0));
        server.m_connections.erase(keep);
        if (const auto left = std::exchange(current, nullptr))
            left->detach();
    }

    // Ends a connection that exceeds the idle timeout or the header timeout, and one whose client
    // has left while reading pauses.
    auto checkTimeouts(time_point now) -> void
    {
        if (closing || hasYielded)
            return;
        if (pending.size() > maxPendingBytes && stream->hasPeerEnded()) {
            closeNow();
            return;
        }
        if (current)
            return;
        const auto &limits = server.m_options;
        const bool inHead = reader.isInsideMessage() && !incoming;
        const bool headTimedOut = inHead && limits.headerTimeout.count() > 0
                                  && now - requestBegunAt > limits.headerTimeout;
        if (!headTimedOut && now - lastInput <= limits.idleTimeout)
            return;
        if (!headTimedOut && isReceiving()) {
            lastInput = now;
            return;
        }
        if (reader.isInsideMessage())
            sendTimeoutAndClose();
        else
            closeNow();
    }

    // Whether the caller has received a part of the response since the last call, or there was
    // none.
    auto isReceiving() -> bool
    {
        const auto before = std::exchange(undeliveredBytes, stream->undeliveredBytes());
        return undeliveredBytes > 0 && (before == 0 || undeliveredBytes < before);
    }

    // Since when the connection waits for a whole request.
    [[nodiscard]] auto waitsSince() const -> time_point
    {
        return reader.isInsideMessage() ? requestBegunAt : lastInput;
    }
};

auto http_exchange::path() const -> std::string_view
{
    const auto target = this->target();
    return target.substr(0, target.find('?'));
}

auto http_exchange::query() const -> std::string_view
{
    const auto target = this->target();
    const auto mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

auto http_exchange::parameter(std::string_view name) const -> std::string
{
    auto rest = query();
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        if (item.substr(0, equals) == name)
            return percentDecoded(item.substr(std::min(equals + 1, item.size())));
        rest = rest.substr(std::min(end + 1, rest.size()));
    }
    return "";
}

auto http_exchange::start(int status, std::span<const http_header> headers,
                          std::string_view lengthHeader) -> std::string
{
    m_started = true;
    if (!m_request.keepAlive || m_connection->server.m_closing)
        m_connection->closesAfterAnswer = true;
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, statusText(status));
    appendHeaders(text, headers);
    text += lengthHeader;
    if (m_connection->closesAfterAnswer)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

auto http_exchange::reply(int status, std::span<const http_header> headers, std::string_view body)
    -> void
{
    if (!isOpen() || m_started)
        return;
    auto text = start(status, headers, fmt::format("Content-Length: {}\r\n", body.size()));
    if (m_request.method != "HEAD")
        text += body;
    m_connection->send(text);
    finish();
}

auto http_exchange::replyOwned(int status, std::span<const http_header> headers, std::string body)
    -> void
{
    if (body.size() < largeBodyBytes || m_request.method == "HEAD") {
        reply(status, headers, body);
        return;
    }
    if (!isOpen() || m_started)
        return;
    m_connection->send(start(status, headers, fmt::format("Content-Length: {}\r\n", body.size())));
    m_connection->sendOwned(std::move(body));
    finish();
}

auto http_exchange::startStream(int status, std::span<const http_header> headers) -> void
{
    if (!isOpen() || m_started)
        return;
    if (m_request.supportsChunked) {
        m_framing = framing::chunked;
        m_connection->send(start(status, headers, "Transfer-Encoding: chunked\r\n"));
    } else {
        m_framing = framing::until_close;
        m_request.keepAlive = false;
        m_connection->endsResponse = true;
        m_connection->send(start(status, headers, ""));
    }
}

auto http_exchange::startSized(int status, std::span<const http_header> headers,
                               std::uint64_t length) -> void
{
    if (!isOpen() || m_started)
        return;
    m_framing = framing::sized;
    m_connection->send(start(status, headers, fmt::format("Content-Length: {}\r\n", length)));
}

auto http_exchange::sendChunk(std::string_view data) -> void
{
    if (!isOpen() || data.empty())
        return;
    if (m_framing != framing::chunked) {
        m_connection->send(data);
        return;
    }
    auto text = fmt::format("{:x}\r\n", data.size());
    text.reserve(text.size() + data.size() + 2);
    text += data;
    text += "\r\n";
    m_connection->send(text);
}

auto http_exchange::endStream() -> void
{
    if (!isOpen())
        return;
    if (m_framing == framing::chunked)
        m_connection->send("0\r\n\r\n");
    finish();
}

auto http_exchange::abort() -> void
{
    if (!isOpen())
        return;
    m_ended = true;
    m_onGone = nullptr;
    auto &owner = *m_connection;
    owner.server.m_loop.post([keep = owner.shared_from_this()] {
        if (!keep->stream->isClosed())
            keep->closeNow();
    });
}

auto http_exchange::backlogBytes() const -> std::size_t
{
    return m_connection == nullptr ? 0 : m_connection->stream->backlogBytes();
}

auto http_exchange::finish() -> void
{
    const auto keep = shared_from_this();
    m_ended = true;
    m_onGone = nullptr;
    std::exchange(m_connection, nullptr)->handleAnswered(*this);
}

auto http_exchange::detach() -> void
{
    m_connection = nullptr;
    const auto callback = std::exchange(m_onGone, nullptr);
    if (!m_ended && callback)
        callback();
}

http_server::http_server(event_loop &loop, http_server_options options)
    : m_loop(loop), m_options(std::move(options))
{}

http_server::~http_server()
{
    stopListening();
    while (!m_connections.empty())
        (*m_connections.begin())->closeNow();
}

auto http_server::listen() -> result<std::uint16_t>
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t descriptor, sockaddr *peer, int,
                             void *argument) {
        const auto *client = reinterpret_cast<const sockaddr_in *>(peer);
        static_cast<http_server *>(argument)->addConnection(descriptor, client->sin_addr.s_addr);
    };
    m_listener = evconnlistener_new_bind(
        m_loop.base(), onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (m_listener == nullptr) {
        return error{.code = result_code::listen_failed,
                     .message
                     = fmt::format("cannot listen on {}:{}", m_options.address, m_options.port)};
    }
    // Without this callback, libevent prints each error, and tries again at once.
    evconnlistener_set_error_cb(m_listener, [](evconnlistener *, void *argument) {
        static_cast<http_server *>(argument)->handleAcceptError(EVUTIL_SOCKET_ERROR());
    });
    m_sweep = m_loop.every(sweepInterval, [this] { closeTimedOut(); });
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

auto http_server::stopListening() -> void
{
    m_acceptRetry = {};
    if (m_listener != nullptr)
        evconnlistener_free(std::exchange(m_listener, nullptr));
}

auto http_server::setLimits(const limits &value) -> void
{
    m_options.maxBodyBytes = value.maxBodyBytes;
    m_options.maxHeaderBytes = value.maxHeaderBytes;
    m_options.idleTimeout = value.idleTimeout;
    m_options.headerTimeout = value.headerTimeout;
}

auto http_server::handleAcceptError(int code) -> void
{
    // A descriptor that is freed is this process's own only if its own limit was met.
    if (code == EMFILE && closeLongestWaiting())
        return;
    evconnlistener_disable(m_listener);
    m_acceptRetry = m_loop.after(acceptPause, [this] { evconnlistener_enable(m_listener); });
    if (!std::exchange(m_isAcceptPaused, true) && onAcceptPaused)
        onAcceptPaused(evutil_socket_error_to_string(code));
}

auto http_server::addConnection(int descriptor, std::uint32_t address) -> void
{
    if (std::exchange(m_isAcceptPaused, false) && onAcceptResumed)
        onAcceptResumed();
    auto stream = tcp_stream::adopt(m_loop, descriptor, m_options.stream);
    if (m_connections.size() >= m_options.maxConnections && !closeLongestWaiting())
        return;
    auto opened = std::make_shared<connection>(*this, std::move(stream));
    const auto raw = opened.get();
    opened->stream->onData = [raw](std::string_view data) {
        const auto keep = raw->shared_from_this();
        raw->handleInput(data);
    };
    opened->stream->onEnd = [raw](bool) { raw->remove(); };
    if (m_options.budget) {
        opened->stream->onSent = [raw](std::size_t bytes) { raw->handleSent(bytes); };
        opened->holder = m_options.budget->add(
            address, [raw](yield_reason reason) { raw->giveWay(reason); }, opened->lastInput);
    }
    m_connections.insert(std::move(opened));
}

auto http_server::closeLongestWaiting() -> bool
{
    connection *chosen = nullptr;
    for (const auto &each : m_connections) {
        if (!each->current && (chosen == nullptr || each->waitsSince() < chosen->waitsSince()))
            chosen = each.get();
    }
    if (chosen != nullptr)
        chosen->closeNow();
    return chosen != nullptr;
}

auto http_server::closeIdle() -> void
{
    const std::vector<std::shared_ptr<connection>> open(m_connections.begin(), m_connections.end());
    for (const auto &each : open) {
        if (!each->closing && !each->current && each->pending.empty()
            && !each->reader.isInsideMessage() && !each->stream->hasUnread())
            each->finishConnection();
    }
}

auto http_server::hasRoom() const -> bool
{
    return m_connections.size() < m_options.maxConnections
           || std::ranges::any_of(m_connections, [](const auto &each) { return !each->current; });
}

auto http_server::hasUndelivered() const -> bool
{
    return std::ranges::any_of(
        m_connections, [](const auto &each) { return each->stream->undeliveredBytes() > 0; });
}

auto http_server::closeTimedOut() -> void
{
    const auto now = system_runtime_clock().now();
    const std::vector<std::shared_ptr<connection>> open(m_connections.begin(), m_connections.end());
    for (const auto &each : open)
        each->checkTimeouts(now);
    if (m_options.budget)
        m_options.budget->dropSlow(now);
}

} // namespace mustardline
