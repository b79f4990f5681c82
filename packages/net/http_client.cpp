#include "net/http_client.h"

#include <set>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/timeval.h"

namespace mustardline {

namespace {

auto commandOf(std::string_view method) -> evhttp_cmd_type
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_GET;
}

auto answerOf(evhttp_request *request) -> http_answer
{
    http_answer answer{.status = evhttp_request_get_response_code(request)};
    const auto *headers = evhttp_request_get_input_headers(request);
    for (const auto *item = headers->tqh_first; item != nullptr; item = item->next.tqe_next)
        answer.headers.push_back({.name = item->key, .value = item->value});
    return answer;
}

} // namespace

// Idle connections by address, and the calls under way.
struct http_client::connection_pool
{
    event_loop &loop;
    http_client_options options;
    std::map<socket_address, std::vector<evhttp_connection *>> idle;
    std::set<http_call::state *> running;
    bool closed = false;

    connection_pool(event_loop &owner, http_client_options chosen) : loop(owner), options(chosen) {}
    connection_pool(const connection_pool &) = delete;
    auto operator=(const connection_pool &) -> connection_pool & = delete;

    ~connection_pool()
    {
        for (const auto &[address, connections] : idle) {
            for (auto *connection : connections)
                evhttp_connection_free(connection);
        }
    }

    auto take(const socket_address &address) -> evhttp_connection *
    {
        auto &connections = idle[address];
        if (!connections.empty()) {
            auto *connection = connections.back();
            connections.pop_back();
            return connection;
        }
        auto *connection = evhttp_connection_base_bufferevent_new(
            loop.base(), nullptr, nullptr, address.host.c_str(), address.port);
        evhttp_connection_set_retries(connection, 0);
        evhttp_connection_set_max_headers_size(connection,
                                               static_cast<ev_ssize_t>(options.maxHeaderBytes));
        return connection;
    }

    auto giveBack(const socket_address &address, evhttp_connection *connection) -> void
    {
        auto &connections = idle[address];
        if (closed || connections.size() >= options.maxIdlePerAddress)
            release(connection);
        else
            connections.push_back(connection);
    }

    // Frees the connection once evhttp has left its callbacks.
    auto release(evhttp_connection *connection) -> void
    {
        loop.post([connection] { evhttp_connection_free(connection); });
    }
};

struct http_call::state : std::enable_shared_from_this<http_call::state>
{
    std::shared_ptr<http_client::connection_pool> pool;
    socket_address address;
    http_callbacks callbacks;
    evhttp_connection *connection = nullptr;
    evhttp_request *request = nullptr;
    std::size_t answerBytes = 0;
    std::size_t maxAnswerBytes = 0;
    bool headersSeen = false;
    bool keepAlive = false;
    bool paused = false;
    // evhttp has ended the request and frees it.
    bool requestEnded = false;
    evhttp_request_error fault = EVREQ_HTTP_EOF;
    bool faultSeen = false;
    // Keeps the state alive while evhttp may call back.
    std::shared_ptr<state> self;

    auto finish(const http_outcome &outcome) -> void
    {
        const auto keep = std::exchange(self, nullptr);
        if (!keep)
            return;
        pool->running.erase(this);
        request = nullptr;
        auto *used = std::exchange(connection, nullptr);
        if (std::holds_alternative<std::monostate>(outcome) && keepAlive)
            pool->giveBack(address, used);
        else
            pool->release(used);
        if (callbacks.onDone)
            callbacks.onDone(outcome);
        callbacks = {};
    }

    auto fail(result_code code, std::string message, bool sent) -> void
    {
        finish(http_failure{.reason = {.code = code, .message = std::move(message)}, .sent = sent});
    }

    auto cancel() -> void
    {
        const auto keep = std::exchange(self, nullptr);
        if (!keep)
            return;
        pool->running.erase(this);
        callbacks = {};
        auto *cancelled = std::exchange(request, nullptr);
        auto *used = std::exchange(connection, nullptr);
        pool->loop.post([cancelled, used, pool = pool, keep] {
            // The answer may have ended in the callback that the call was cancelled from.
            if (!keep->requestEnded)
                evhttp_cancel_request(cancelled);
            evhttp_connection_free(used);
        });
    }

    auto setReading(bool reading) -> void
    {
        if (connection == nullptr)
            return;
        auto *channel = evhttp_connection_get_bufferevent(connection);
        if (reading)
            bufferevent_enable(channel, EV_READ);
        else
            bufferevent_disable(channel, EV_READ);
    }

    auto sawHeaders(evhttp_request *answered) -> void
    {
        if (std::exchange(headersSeen, true) || !callbacks.onHeaders)
            return;
        callbacks.onHeaders(answerOf(answered));
    }

    auto sawData(evhttp_request *answered) -> void
    {
        auto *buffer = evhttp_request_get_input_buffer(answered);
        const auto length = evbuffer_get_length(buffer);
        answerBytes += length;
        if (length == 0)
            return;
        const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(buffer, -1));
        if (callbacks.onData)
            callbacks.onData(std::string_view(data, length));
        evbuffer_drain(buffer, length);
    }

    auto failTooLarge() -> void
    {
        auto done = std::move(callbacks.onDone);
        cancel();
        if (done) {
            done(http_failure{.reason = {.code = result_code::answer_too_large,
                                         .message = "the answer is over the limit"},
                              .sent = true});
        }
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
    if (!current || current->connection == nullptr)
        return;
    current->paused = true;
    current->setReading(false);
    // evhttp reads on when a data callback has returned, so that a pause from there is set again.
    current->pool->loop.post([current] {
        if (current->paused)
            current->setReading(false);
    });
}

auto http_call::resume() -> void
{
    const auto current = m_state.lock();
    if (!current)
        return;
    current->paused = false;
    current->setReading(true);
}

http_client::http_client(event_loop &loop, http_client_options options)
    : m_loop(loop), m_options(options), m_pool(std::make_shared<connection_pool>(loop, options))
{}

http_client::~http_client()
{
    m_pool->closed = true;
    // Their handlers are dropped, not called: whoever started them may be gone.
    while (!m_pool->running.empty())
        (*m_pool->running.begin())->cancel();
}

auto http_client::start(const socket_address &address, http_request request,
                        http_callbacks callbacks) -> http_call
{
    auto call = std::make_shared<http_call::state>();
    call->pool = m_pool;
    call->address = address;
    call->callbacks = std::move(callbacks);
    call->maxAnswerBytes = request.maxAnswerBytes;
    call->self = call;
    m_pool->running.insert(call.get());
    call->connection = m_pool->take(address);

    const auto onDone = [](evhttp_request *answered, void *argument) {
        auto &state = *static_cast<http_call::state *>(argument);
        state.requestEnded = true;
        const auto keep = state.self;
        if (!keep)
            return;
        if (answered != nullptr && evhttp_request_get_response_code(answered) != 0) {
            state.sawHeaders(answered);
            state.sawData(answered);
            const auto *connection
                = evhttp_find_header(evhttp_request_get_input_headers(answered), "connection");
            state.keepAlive = connection == nullptr || std::string_view(connection) != "close";
            state.finish(std::monostate());
        } else if (answered != nullptr) {
            state.fail(result_code::connection_failed, "no connection could be made", false);
        } else if (state.faultSeen && state.fault == EVREQ_HTTP_DATA_TOO_LONG) {
            state.fail(result_code::answer_too_large, "the answer is over the limit", true);
        } else if (state.faultSeen && state.fault == EVREQ_HTTP_TIMEOUT) {
            state.fail(result_code::timeout, "the peer did not answer in time", true);
        } else {
            state.fail(result_code::connection_failed, "the connection was lost", true);
        }
    };
    call->request = evhttp_request_new(onDone, call.get());
    evhttp_request_set_header_cb(call->request, [](evhttp_request *answered, void *argument) {
        auto &state = *static_cast<http_call::state *>(argument);
        const auto keep = state.self;
        if (keep)
            state.sawHeaders(answered);
        return 0;
    });
    evhttp_request_set_chunked_cb(call->request, [](evhttp_request *answered, void *argument) {
        auto &state = *static_cast<http_call::state *>(argument);
        const auto keep = state.self;
        if (!keep)
            return;
        state.sawData(answered);
        if (state.answerBytes > state.maxAnswerBytes)
            state.failTooLarge();
    });
    evhttp_request_set_error_cb(call->request, [](evhttp_request_error fault, void *argument) {
        auto &state = *static_cast<http_call::state *>(argument);
        state.fault = fault;
        state.faultSeen = true;
    });

    auto *headers = evhttp_request_get_output_headers(call->request);
    evhttp_add_header(headers, "Host", address.host.c_str());
    for (const auto &item : request.headers)
        evhttp_add_header(headers, item.name.c_str(), item.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(call->request), request.body.data(),
                 request.body.size());
    const auto idle = toTimeval(request.idleTimeout);
    evhttp_connection_set_timeout_tv(call->connection, &idle);
    // evhttp collects a chunk before it hands it over, so that one chunk could be over any limit.
    evhttp_connection_set_max_body_size(call->connection,
                                        static_cast<ev_ssize_t>(request.maxAnswerBytes));
    http_call handle;
    handle.m_state = call;
    if (evhttp_make_request(call->connection, call->request, commandOf(request.method),
                            request.path.c_str())
        != 0) {
        // The socket could not even be opened; evhttp leaves the request to us and calls nothing.
        m_loop.post([call] {
            if (call->request != nullptr)
                evhttp_request_free(call->request);
            call->fail(result_code::connection_failed, "no connection could be made", false);
        });
    }
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
