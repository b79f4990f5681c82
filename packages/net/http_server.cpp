#include "net/http_server.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <http_parser.h>

#include "net/header_text.h"
#include "net/http1_reader.h"
#include "net/http_error.h"

namespace mustardline {

namespace {

constexpr int listenBacklog = 1024;
// Between looks for callers that are too slow; a timeout is exceeded by this at most.
constexpr duration sweepInterval = std::chrono::milliseconds(500);
// Input that a caller may send ahead of its answers; more is left in the socket.
constexpr std::size_t maxPendingBytes = 64U << 10U;

auto statusText(int status) -> std::string_view
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

// One connection of a caller. The server's set and the callbacks under way hold it alive.
struct http_exchange::connection : std::enable_shared_from_this<http_exchange::connection>
{
    http_server &server;
    std::shared_ptr<tcp_stream> stream;
    http1_reader reader;
    // Bytes that arrived while an answer is owed.
    std::string pending;
    std::optional<http_exchange::request> incoming;
    std::shared_ptr<http_exchange> current;
    time_point lastInput;
    time_point begunAt;
    bool closesAfterAnswer = false;
    bool processing = false;
    // What was sent is on its way; the connection then ends.
    bool ending = false;

    connection(http_server &owner, std::shared_ptr<tcp_stream> channel)
        : server(owner),
          stream(std::move(channel)),
          reader({.kind = http1_kind::request,
                  .maxHeadBytes = owner.m_options.maxHeaderBytes,
                  .maxBodyBytes = owner.m_options.maxBodyBytes}),
          lastInput(system_runtime_clock().now())
    {}

    auto received(std::string_view data) -> void
    {
        lastInput = system_runtime_clock().now();
        if (current || processing) {
            pending += data;
            if (pending.size() > maxPendingBytes)
                stream->setReading(false);
            return;
        }
        if (pending.empty()) {
            process(data);
            return;
        }
        pending += data;
        processPending();
    }

    auto processPending() -> void
    {
        const auto taken = std::exchange(pending, {});
        stream->setReading(true);
        process(taken);
    }

    // Reads requests until one waits for its answer; keeps the rest.
    auto process(std::string_view input) -> void
    {
        const auto keep = shared_from_this();
        processing = true;
        while (!current && !stream->isClosed() && !closesAfterAnswer) {
            if (!reader.isInside())
                begunAt = lastInput;
            const auto event = reader.next(input);
            if (std::holds_alternative<http1_need_more>(event) && input.empty())
                break;
            handle(event);
        }
        processing = false;
        if (!stream->isClosed() && !closesAfterAnswer)
            pending.insert(0, input);
    }

    auto handle(const http1_event &event) -> void
    {
        if (const auto *head = std::get_if<http1_head>(&event)) {
            incoming = http_exchange::request{.method = head->method,
                                              .target = head->target,
                                              .headers = head->headers,
                                              .body = {},
                                              .keepAlive = head->keepAlive,
                                              .understandsChunks = head->understandsChunks};
            if (sameHeaderName(findHeader(head->headers, "expect"), "100-continue"))
                stream->send("HTTP/1.1 100 Continue\r\n\r\n");
        } else if (const auto *body = std::get_if<http1_body>(&event)) {
            incoming->body += body->data;
        } else if (std::holds_alternative<http1_end>(event)) {
            dispatch();
        } else if (const auto *fault = std::get_if<http1_fault>(&event)) {
            refuse(fault->status, fault->reason);
        }
    }

    auto dispatch() -> void
    {
        auto request = std::move(*incoming);
        incoming.reset();
        current = std::shared_ptr<http_exchange>(new http_exchange(*this, std::move(request)));
        server.m_handler(current);
    }

    // Answers what cannot be read as a request, and ends the connection.
    auto refuse(int status, const error &reason) -> void
    {
        closesAfterAnswer = true;
        const http_error fault{.code = reason.code, .message = reason.message};
        const auto body = errorBody(fault);
        auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, statusText(status));
        appendHeaders(text, errorHeaders(fault));
        text += fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n", body.size());
        text += body;
        stream->send(text);
        finishConnection();
    }

    auto answered(const http_exchange &exchange) -> void
    {
        const auto keep = shared_from_this();
        if (current.get() == &exchange)
            current.reset();
        // An answer that began before the server was told to close could not say so; a request
        // that its caller has sent on is answered.
        const bool nothingFollows = pending.empty() && !reader.isInside();
        if (closesAfterAnswer || (server.m_closing && nothingFollows && !stream->hasUnread())) {
            finishConnection();
            return;
        }
        lastInput = system_runtime_clock().now();
        // What was sent ahead is read once the answering code has returned.
        if (!pending.empty() && !processing) {
            server.m_loop.post([self = shared_from_this()] {
                if (!self->stream->isClosed() && !self->current && !self->pending.empty())
                    self->processPending();
            });
        }
    }

    auto finishConnection() -> void
    {
        if (stream->isClosed()) {
            forget();
            return;
        }
        ending = true;
        if (const auto left = std::exchange(current, nullptr))
            left->detach();
        stream->closeAfterSending();
    }

    auto cut() -> void
    {
        stream->close();
        forget();
    }

    auto forget() -> void
    {
        const auto keep = shared_from_this();
        server.m_connections.erase(keep);
        if (const auto left = std::exchange(current, nullptr))
            left->detach();
    }

    // Ends a connection that has been silent, or slow in sending its headers, for too long.
    auto checkTime(time_point now) -> void
    {
        if (current || ending)
            return;
        const auto &limits = server.m_options;
        const bool inHead = reader.isInside() && !incoming;
        const bool slowHead
            = inHead && limits.headerTimeout.count() > 0 && now - begunAt > limits.headerTimeout;
        if (!slowHead && now - lastInput <= limits.idleTimeout)
            return;
        if (reader.isInside()) {
            constexpr int requestTimeout = 408;
            refuse(requestTimeout,
                   {.code = result_code::timeout, .message = "the request came too slowly"});
        } else {
            cut();
        }
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
    m_connection->stream->send(text);
    finish();
}

auto http_exchange::startStream(int status, std::span<const http_header> headers) -> void
{
    if (!isOpen() || m_started)
        return;
    if (m_request.understandsChunks) {
        m_framing = framing::chunked;
        m_connection->stream->send(start(status, headers, "Transfer-Encoding: chunked\r\n"));
    } else {
        m_framing = framing::until_close;
        m_request.keepAlive = false;
        m_connection->stream->send(start(status, headers, ""));
    }
}

auto http_exchange::startSized(int status, std::span<const http_header> headers,
                               std::uint64_t length) -> void
{
    if (!isOpen() || m_started)
        return;
    m_framing = framing::sized;
    m_connection->stream->send(
        start(status, headers, fmt::format("Content-Length: {}\r\n", length)));
}

auto http_exchange::sendChunk(std::string_view data) -> void
{
    if (!isOpen() || data.empty())
        return;
    if (m_framing != framing::chunked) {
        m_connection->stream->send(data);
        return;
    }
    auto text = fmt::format("{:x}\r\n", data.size());
    text.reserve(text.size() + data.size() + 2);
    text += data;
    text += "\r\n";
    m_connection->stream->send(text);
}

auto http_exchange::endStream() -> void
{
    if (!isOpen())
        return;
    if (m_framing == framing::chunked)
        m_connection->stream->send("0\r\n\r\n");
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
            keep->cut();
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
    std::exchange(m_connection, nullptr)->answered(*this);
}

auto http_exchange::detach() -> void
{
    m_connection = nullptr;
    const auto gone = std::exchange(m_onGone, nullptr);
    if (!m_ended && gone)
        gone();
}

http_server::http_server(event_loop &loop, http_server_options options)
    : m_loop(loop), m_options(std::move(options))
{}

http_server::~http_server()
{
    stopListening();
    while (!m_connections.empty())
        (*m_connections.begin())->cut();
}

auto http_server::listen() -> result<std::uint16_t>
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr);
    const auto onAccept
        = [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *argument) {
              static_cast<http_server *>(argument)->accepted(descriptor);
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
    m_sweep = m_loop.every(sweepInterval, [this] { closeSlow(); });
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

auto http_server::stopListening() -> void
{
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

auto http_server::accepted(int descriptor) -> void
{
    auto stream = tcp_stream::adopt(m_loop, descriptor, m_options.stream);
    if (m_connections.size() >= m_options.maxConnections)
        return;
    auto opened = std::make_shared<connection>(*this, std::move(stream));
    const auto raw = opened.get();
    opened->stream->onData = [raw](std::string_view data) {
        const auto keep = raw->shared_from_this();
        raw->received(data);
    };
    opened->stream->onEnd = [raw](bool) { raw->forget(); };
    m_connections.insert(std::move(opened));
}

auto http_server::closeIdle() -> void
{
    const std::vector<std::shared_ptr<connection>> open(m_connections.begin(), m_connections.end());
    for (const auto &each : open) {
        if (!each->ending && !each->current && !each->reader.isInside()
            && !each->stream->hasUnread())
            each->finishConnection();
    }
}

auto http_server::closeSlow() -> void
{
    const auto now = system_runtime_clock().now();
    const std::vector<std::shared_ptr<connection>> open(m_connections.begin(), m_connections.end());
    for (const auto &each : open)
        each->checkTime(now);
}

} // namespace mustardline
