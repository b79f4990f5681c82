#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <utility>

#include <arpa/inet.h>
#include <evhtp/evhtp.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

namespace mustardline {

namespace {

constexpr int listenBacklog = 1024;
// A body this many times over the limit is not read to its end; the connection is closed.
constexpr std::size_t bodyCutFactor = 8;

constexpr auto methodNames = std::to_array<std::string_view>(
    {"GET", "HEAD", "POST", "PUT", "DELETE", "MKCOL", "COPY", "MOVE", "OPTIONS", "PROPFIND",
     "PROPPATCH", "LOCK", "UNLOCK", "TRACE", "CONNECT", "PATCH"});

auto methodName(htp_method method) -> std::string_view
{
    const auto index = static_cast<std::size_t>(method);
    return index < methodNames.size() ? methodNames[index] : "UNKNOWN";
}

auto readTimeouts(duration idle) -> timeval
{
    return {.tv_sec = std::chrono::duration_cast<std::chrono::seconds>(idle).count(), .tv_usec = 0};
}

auto drainBuffer(evbuffer *buffer) -> std::string
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

} // namespace

http_exchange::http_exchange(event_loop &loop, evhtp_request *request, std::string query)
    : m_loop(loop),
      m_request(request),
      m_method(methodName(evhtp_request_get_method(request))),
      m_query(std::move(query))
{
    if (request->uri->path->full != nullptr)
        m_path = request->uri->path->full;
    const auto collect = [](evhtp_kv_t *item, void *argument) {
        static_cast<std::vector<http_header> *>(argument)->push_back(
            {.name = std::string(item->key, item->klen),
             .value = std::string(item->val, item->vlen)});
        return 0;
    };
    evhtp_kvs_for_each(request->headers_in, collect, &m_headers);
    m_body = drainBuffer(request->buffer_in);
}

auto http_exchange::parameter(std::string_view name) const -> std::string
{
    auto rest = std::string_view(m_query);
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

auto http_exchange::reply(int status, std::span<const http_header> headers, std::string_view body)
    -> void
{
    if (!isOpen() || m_started)
        return;
    m_started = true;
    addHeaders(headers);
    evbuffer_add(m_request->buffer_out, body.data(), body.size());
    evhtp_send_reply(m_request, static_cast<evhtp_res>(status));
    finish();
}

auto http_exchange::startStream(int status, std::span<const http_header> headers) -> void
{
    if (!isOpen() || m_started)
        return;
    m_started = true;
    addHeaders(headers);
    evhtp_send_reply_chunk_start(m_request, static_cast<evhtp_res>(status));
}

auto http_exchange::sendChunk(std::string_view data) -> void
{
    if (!isOpen() || data.empty())
        return;
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhtp_send_reply_chunk(m_request, buffer);
    evbuffer_free(buffer);
}

auto http_exchange::endStream() -> void
{
    if (!isOpen())
        return;
    evhtp_send_reply_chunk_end(m_request);
    finish();
}

auto http_exchange::abort() -> void
{
    if (!isOpen())
        return;
    m_ended = true;
    m_loop.post([self = shared_from_this()] {
        if (self->m_request != nullptr)
            evhtp_connection_free(evhtp_request_get_connection(self->m_request));
    });
}

auto http_exchange::backlogBytes() const -> std::size_t
{
    if (m_request == nullptr)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(m_request)));
}

auto http_exchange::addHeaders(std::span<const http_header> headers) -> void
{
    for (const auto &item : headers) {
        evhtp_headers_add_header(m_request->headers_out,
                                 evhtp_header_new(item.name.c_str(), item.value.c_str(), 1, 1));
    }
}

auto http_exchange::finish() -> void
{
    m_ended = true;
    auto *channel = evhtp_request_get_bev(m_request);
    // An answer without a chunked end may have been flushed before; libevhtp moves on only when
    // its write callback runs.
    if (evbuffer_get_length(bufferevent_get_output(channel)) == 0)
        bufferevent_trigger(channel, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

auto http_exchange::detach() -> void
{
    m_request = nullptr;
    const auto gone = std::exchange(m_onGone, nullptr);
    if (!m_ended && gone)
        gone();
}

struct http_server::connection_state
{
    http_server *server = nullptr;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    // The raw query, kept here because libevhtp later replaces it by the body of a form.
    std::string query;
    std::shared_ptr<http_exchange> exchange;
};

// Entry points that libevhtp calls.
struct http_server::callbacks
{
    static auto accept(evhtp_connection_t *connection, void *argument) -> evhtp_res
    {
        auto *server = static_cast<http_server *>(argument);
        if (server->m_connections.size() >= server->m_options.maxConnections)
            return EVHTP_RES_ERROR;
        server->m_connections.insert(connection);
        auto *state = new connection_state{.server = server};
        setHook(connection, evhtp_hook_on_headers_start, headersStart, state);
        setHook(connection, evhtp_hook_on_header, header, state);
        setHook(connection, evhtp_hook_on_headers, headersEnded, state);
        setHook(connection, evhtp_hook_on_read, read, state);
        setHook(connection, evhtp_hook_on_request_fini, requestEnded, state);
        setHook(connection, evhtp_hook_on_connection_fini, connectionEnded, state);
        const int on = 1;
        setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return EVHTP_RES_OK;
    }

    template<class Function>
    static auto setHook(evhtp_connection_t *connection, evhtp_hook_type type, Function *function,
                        connection_state *state) -> void
    {
        // libevhtp takes every kind of hook as one function type and casts it back by `type`.
        evhtp_connection_set_hook(connection, type,
                                  reinterpret_cast<evhtp_hook>(reinterpret_cast<void *>(function)),
                                  state);
    }

    static auto headersStart(evhtp_request_t *, void *argument) -> evhtp_res
    {
        auto *state = static_cast<connection_state *>(argument);
        state->headerBytes = 0;
        state->bodyBytes = 0;
        return EVHTP_RES_OK;
    }

    static auto header(evhtp_request_t *, evhtp_header_t *item, void *argument) -> evhtp_res
    {
        auto *state = static_cast<connection_state *>(argument);
        state->headerBytes += item->klen + item->vlen;
        // Far over the limit: close rather than hold ever more headers.
        const auto limit = state->server->m_options.maxHeaderBytes * bodyCutFactor;
        return state->headerBytes > limit ? EVHTP_RES_ERROR : EVHTP_RES_OK;
    }

    static auto headersEnded(evhtp_request_t *request, evhtp_headers_t *, void *argument)
        -> evhtp_res
    {
        auto *state = static_cast<connection_state *>(argument);
        const auto *query = reinterpret_cast<const char *>(request->uri->query_raw);
        state->query = query != nullptr ? query : "";
        return EVHTP_RES_OK;
    }

    static auto read(evhtp_request_t *, evbuffer *buffer, void *argument) -> evhtp_res
    {
        auto *state = static_cast<connection_state *>(argument);
        const auto limit = state->server->m_options.maxBodyBytes;
        state->bodyBytes += evbuffer_get_length(buffer);
        if (state->bodyBytes > limit)
            evbuffer_drain(buffer, evbuffer_get_length(buffer));
        return state->bodyBytes > limit * bodyCutFactor ? EVHTP_RES_ERROR : EVHTP_RES_OK;
    }

    static auto requestEnded(evhtp_request_t *request, void *argument) -> evhtp_res
    {
        auto *state = static_cast<connection_state *>(argument);
        const auto exchange = std::move(state->exchange);
        state->exchange.reset();
        if (exchange && exchange->m_request == request)
            exchange->detach();
        const auto idle = readTimeouts(state->server->m_options.idleTimeout);
        if (auto *channel = evhtp_request_get_bev(request))
            bufferevent_set_timeouts(channel, &idle, nullptr);
        return EVHTP_RES_OK;
    }

    static auto connectionEnded(evhtp_connection_t *connection, void *argument) -> evhtp_res
    {
        // libevhtp ends the connection before the request on it, and the state goes with the
        // former.
        evhtp_connection_unset_hook(connection, evhtp_hook_on_request_fini);
        const std::unique_ptr<connection_state> state(static_cast<connection_state *>(argument));
        if (const auto exchange = std::move(state->exchange))
            exchange->detach();
        state->server->m_connections.erase(connection);
        return EVHTP_RES_OK;
    }

    static auto request(evhtp_request_t *request, void *argument) -> void
    {
        auto *server = static_cast<http_server *>(argument);
        auto *hooks = evhtp_connection_get_hooks(evhtp_request_get_connection(request));
        auto *state = static_cast<connection_state *>(hooks->on_connection_fini_arg);
        server->dispatch(request, *state);
    }
};

http_server::http_server(event_loop &loop, http_server_options options)
    : m_loop(loop), m_options(std::move(options)), m_server(evhtp_new(loop.base(), nullptr))
{
    evhtp_set_gencb(m_server, callbacks::request, this);
    evhtp_set_post_accept_cb(m_server, callbacks::accept, this);
    const auto idle = readTimeouts(m_options.idleTimeout);
    evhtp_set_timeouts(m_server, &idle, nullptr);
}

http_server::~http_server()
{
    stopListening();
    // evhtp_free leaves open connections behind.
    while (!m_connections.empty())
        evhtp_connection_free(*m_connections.begin());
    evhtp_free(m_server);
}

auto http_server::listen() -> result<std::uint16_t>
{
    if (evhtp_bind_socket(m_server, m_options.address.c_str(), m_options.port, listenBacklog)
        != 0) {
        return error{.code = result_code::listen_failed,
                     .message
                     = fmt::format("cannot listen on {}:{}", m_options.address, m_options.port)};
    }
    m_listening = true;
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_server->server), reinterpret_cast<sockaddr *>(&bound),
                &length);
    return ntohs(bound.sin_port);
}

auto http_server::stopListening() -> void
{
    if (m_listening)
        evhtp_unbind_socket(m_server);
    m_listening = false;
}

auto http_server::dispatch(evhtp_request *request, connection_state &state) -> void
{
    auto exchange = std::make_shared<http_exchange>(m_loop, request, std::move(state.query));
    state.exchange = exchange;
    // A caller that waits for its answer sends nothing; that is no reason to disconnect it.
    bufferevent_set_timeouts(evhtp_request_get_bev(request), nullptr, nullptr);
    if (state.headerBytes > m_options.maxHeaderBytes) {
        exchange->reply(describe(result_code::header_too_large).httpStatus, {},
                        R"({"error":{"code":105,"name":"header_too_large"}})");
    } else if (state.bodyBytes > m_options.maxBodyBytes) {
        exchange->reply(describe(result_code::body_too_large).httpStatus, {},
                        R"({"error":{"code":104,"name":"body_too_large"}})");
    } else {
        m_handler(std::move(exchange));
    }
}

} // namespace mustardline
