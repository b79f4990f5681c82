#include "net/http_client.h"

#include <set>
#include <utility>

#include <fmt/format.h>

#include "net/decimal.h"
#include "net/header_text.h"
#include "net/http1_reader.h"

namespace mustardline {

namespace {

// Between looks for connections that have been idle for too long.
constexpr duration idleSweepInterval = std::chrono::seconds(2);

// The head of a request as it is sent.
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

// Idle connections by address, and the calls under way.
struct http_client::connection_pool : std::enable_shared_from_this<http_client::connection_pool>
{
    struct idle_connection
    {
        std::shared_ptr<tcp_stream> stream;
        time_point since;
    };

    event_loop &loop;
    http_client_options options;
    std::map<socket_address, std::vector<idle_connection>> idle;
    std::set<http_call::state *> running;
    event_handle sweep;
    bool closed = false;

    connection_pool(event_loop &owner, http_client_options chosen) : loop(owner), options(chosen) {}

    // The connection that was used last and is still clean; null if there is none.
    auto take(const socket_address &address) -> std::shared_ptr<tcp_stream>
    {
        const auto known = idle.find(address);
        if (known == idle.end())
            return nullptr;
        auto &connections = known->second;
        while (!connections.empty()) {
            auto stream = std::move(connections.back().stream);
            connections.pop_back();
            if (!stream->isClosed() && !stream->hasUnread())
                return stream;
            stream->close();
        }
        return nullptr;
    }

    auto giveBack(const socket_address &address, const std::shared_ptr<tcp_stream> &stream,
                  std::size_t maxIdle) -> void
    {
        auto &connections = idle[address];
        if (closed || connections.size() >= maxIdle) {
            stream->close();
            return;
        }
        const auto raw = stream.get();
        const auto drop = [pool = weak_from_this(), address, raw] {
            raw->close();
            if (const auto owner = pool.lock())
                owner->forget(address, raw);
        };
        // Nothing is owed on it: whatever comes belongs to no request.
        stream->onData = [drop](std::string_view) { drop(); };
        stream->onEnd = [drop](bool) { drop(); };
        connections.push_back({.stream = stream, .since = system_runtime_clock().now()});
    }

    auto forget(const socket_address &address, const tcp_stream *stream) -> void
    {
        if (const auto known = idle.find(address); known != idle.end()) {
            std::erase_if(known->second,
                          [stream](const auto &each) { return each.stream.get() == stream; });
        }
    }

    auto closeOld() -> void
    {
        const auto now = system_runtime_clock().now();
        for (auto &[address, connections] : idle) {
            std::erase_if(connections, [this, now](const auto &each) {
                return now - each.since > options.maxIdleAge;
            });
        }
        std::erase_if(idle, [](const auto &each) { return each.second.empty(); });
    }
};

struct http_call::state : std::enable_shared_from_this<http_call::state>
{
    std::shared_ptr<http_client::connection_pool> pool;
    socket_address address;
    http_request request;
    http_callbacks callbacks;
    std::shared_ptr<tcp_stream> stream;
    http1_reader reader{{.kind = http1_kind::response}};
    event_handle timer;
    time_point lastInput;
    std::size_t answerBytes = 0;
    bool connected = false;
    bool reused = false;
    bool headersSeen = false;
    bool keepAlive = false;
    bool paused = false;
    // Keeps the state alive until the call has ended.
    std::shared_ptr<state> self;

    auto begin() -> void
    {
        lastInput = system_runtime_clock().now();
        reader = http1_reader(
            {.kind = http1_kind::response, .maxHeadBytes = pool->options.maxHeaderBytes});
        if (request.method == "HEAD")
            reader.expectNoBody();
        stream = pool->take(address);
        reused = stream != nullptr;
        if (!reused)
            stream = tcp_stream::connect(pool->loop, address, pool->options.stream);
        if (!stream) {
            pool->loop.post([keep = shared_from_this()] {
                keep->fail(result_code::connection_failed, "no connection could be made", false);
            });
            return;
        }
        listenTo();
        if (reused)
            sendRequest();
        else
            timer = pool->loop.after(pool->options.connectTimeout, [this] {
                fail(result_code::connection_failed, "no connection was made in time", false);
            });
    }

    auto listenTo() -> void
    {
        stream->onConnected = [this] { sendRequest(); };
        stream->onData = [this](std::string_view data) { received(data); };
        stream->onEnd = [this](bool orderly) { connectionEnded(orderly); };
    }

    auto sendRequest() -> void
    {
        connected = true;
        watchSilence(request.idleTimeout);
        auto text = requestHead(address, request);
        text += request.body;
        stream->send(text);
    }

    // One timer for the whole call: at its end it is set again for what is left.
    auto watchSilence(duration delay) -> void
    {
        timer = pool->loop.after(delay, [this] {
            const auto silent = system_runtime_clock().now() - lastInput;
            if (silent < request.idleTimeout && !paused)
                watchSilence(request.idleTimeout - silent);
            else if (paused)
                watchSilence(request.idleTimeout);
            else
                fail(result_code::timeout, "the peer did not answer in time", true);
        });
    }

    auto received(std::string_view input) -> void
    {
        const auto keep = shared_from_this();
        lastInput = system_runtime_clock().now();
        while (self) {
            const auto event = reader.next(input);
            if (std::holds_alternative<http1_need_more>(event)) {
                if (input.empty())
                    return;
            } else if (const auto *head = std::get_if<http1_head>(&event)) {
                sawHead(*head);
            } else if (const auto *body = std::get_if<http1_body>(&event)) {
                sawBody(body->data);
            } else if (std::holds_alternative<http1_end>(event)) {
                keepAlive = keepAlive && input.empty() && stream->backlogBytes() == 0;
                finish(std::monostate());
            } else if (const auto *fault = std::get_if<http1_fault>(&event)) {
                fail(result_code::malformed_message, fault->reason.message, true);
            }
        }
    }

    auto sawHead(const http1_head &head) -> void
    {
        headersSeen = true;
        keepAlive = head.keepAlive;
        if (!request.echo.name.empty()) {
            const auto echoed = findHeader(head.headers, request.echo.name);
            keepAlive = keepAlive && echoed == request.echo.value;
            if (!echoed.empty() && echoed != request.echo.value) {
                fail(result_code::malformed_message, "the answer is to another request", true);
                return;
            }
        }
        const auto length = parseDecimal<std::uint64_t>(findHeader(head.headers, "content-length"));
        if (length && *length > request.maxAnswerBytes) {
            fail(result_code::answer_too_large, "the answer is over the limit", true);
            return;
        }
        if (callbacks.onHeaders) {
            callbacks.onHeaders({.status = head.status, .headers = head.headers, .length = length});
        }
    }

    auto sawBody(std::string_view data) -> void
    {
        answerBytes += data.size();
        if (answerBytes > request.maxAnswerBytes)
            fail(result_code::answer_too_large, "the answer is over the limit", true);
        else if (callbacks.onData)
            callbacks.onData(data);
    }

    auto connectionEnded(bool orderly) -> void
    {
        if (orderly && headersSeen && reader.mayEndHere())
            finish(std::monostate());
        else if (!connected)
            fail(result_code::connection_failed, "no connection could be made", false);
        else
            fail(result_code::connection_failed, "the connection was lost", true);
    }

    auto finish(const http_outcome &outcome) -> void
    {
        const auto keep = end();
        if (!keep)
            return;
        if (std::holds_alternative<std::monostate>(outcome) && keepAlive && !stream->isClosed())
            pool->giveBack(address, stream,
                           request.maxIdle > 0 ? request.maxIdle : pool->options.maxIdlePerAddress);
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
                            .reused = reused});
    }

    auto cancel() -> void
    {
        const auto keep = end();
        if (!keep)
            return;
        if (stream)
            stream->close();
        // A callback may be what cancels; it goes once it has returned.
        pool->loop.post([keep] { keep->callbacks = {}; });
    }

    // Takes the call off the list of those under way; null if it has ended already.
    auto end() -> std::shared_ptr<state>
    {
        auto keep = std::exchange(self, nullptr);
        if (!keep)
            return nullptr;
        pool->running.erase(this);
        timer = {};
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
    if (!current || !current->self || !current->stream)
        return;
    current->paused = true;
    current->stream->setReading(false);
}

auto http_call::resume() -> void
{
    const auto current = m_state.lock();
    if (!current || !current->self || !current->stream)
        return;
    current->paused = false;
    current->lastInput = system_runtime_clock().now();
    current->stream->setReading(true);
}

http_client::http_client(event_loop &loop, http_client_options options)
    : m_pool(std::make_shared<connection_pool>(loop, options))
{
    m_pool->sweep = loop.every(idleSweepInterval, [pool = m_pool.get()] { pool->closeOld(); });
}

http_client::~http_client()
{
    m_pool->closed = true;
    m_pool->sweep = {};
    m_pool->idle.clear();
    // Their handlers are dropped, not called: whoever started them may be gone.
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
    call->self = call;
    m_pool->running.insert(call.get());
    call->begin();
    http_call handle;
    handle.m_state = call;
    return handle;
}

auto http_client::fetch(const socket_address &address, http_request request,
                        whole_answer_handler done) -> http_call
{
    struct collected
    {
        http_answer answer;
        std::string body;
    };
    auto whole = std::make_shared<collected>();
    return start(address, std::move(request),
                 {.onHeaders = [whole](const http_answer &answer) { whole->answer = answer; },
                  .onData = [whole](std::string_view data) { whole->body += data; },
                  .onDone =
                      [whole, done = std::move(done)](const http_outcome &outcome) {
                          done(outcome, whole->answer, std::move(whole->body));
                      }});
}

} // namespace mustardline
