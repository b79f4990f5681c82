#include "net/control_socket.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

namespace mustardline {

namespace {

// Large enough for a whole configuration snapshot of the maximum size that the design allows for.
constexpr std::size_t maxMessageBytes = 64U << 20U;
constexpr auto sendRetryDelay = std::chrono::milliseconds(20);
// Time for a peer to accept a reply; it has given up its request long before.
constexpr nng_duration maxReplyTime = 10'000;    // milliseconds
constexpr nng_duration minReconnectDelay = 50;   // milliseconds
constexpr nng_duration maxReconnectDelay = 1000; // milliseconds

auto messageBody(nng_msg *message) -> std::string_view
{
    return {static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message)};
}

// Sends without blocking. If the peer has disconnected, the message is lost and the request times
// out.
auto sendBytes(nng_socket socket, std::string_view data) -> bool
{
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        return false;
    nng_msg_append(message, data.data(), data.size());
    if (nng_sendmsg(socket, message, NNG_FLAG_NONBLOCK) == 0)
        return true;
    nng_msg_free(message);
    return false;
}

} // namespace

// A context of the server's socket. nng loses a reply that it cannot begin to send at once, unless
// its sending may wait; a context waits on its own, so that requests of other peers are answered
// meanwhile.
class control_server::reply_slot
{
public:
    explicit reply_slot(nng_socket socket)
    {
        nng_ctx_open(&m_context, socket);
        nng_aio_alloc(&m_receive, nullptr, nullptr);
        nng_aio_set_timeout(m_receive, NNG_DURATION_ZERO);
        nng_aio_alloc(&m_send, onSent, this);
        nng_aio_set_timeout(m_send, maxReplyTime);
    }
    ~reply_slot()
    {
        nng_ctx_close(m_context);
        // Both wait for a callback that runs.
        nng_aio_free(m_receive);
        nng_aio_free(m_send);
    }
    reply_slot(const reply_slot &) = delete;
    auto operator=(const reply_slot &) -> reply_slot & = delete;

    [[nodiscard]] auto isSending() const -> bool { return m_isSending; }

    // A request that has arrived; none if there is none.
    [[nodiscard]] auto receive() -> std::optional<std::string>
    {
        nng_ctx_recv(m_context, m_receive);
        nng_aio_wait(m_receive);
        if (nng_aio_result(m_receive) != 0)
            return std::nullopt;
        auto *message = nng_aio_get_msg(m_receive);
        std::string request(messageBody(message));
        nng_msg_free(message);
        return request;
    }

    // Sends the reply to the request that was received last.
    auto reply(std::string_view data) -> void
    {
        nng_msg *message = nullptr;
        if (nng_msg_alloc(&message, 0) != 0)
            return;
        nng_msg_append(message, data.data(), data.size());
        m_isSending = true;
        nng_aio_set_msg(m_send, message);
        nng_ctx_send(m_context, m_send);
    }

private:
    // Called on a thread of nng.
    static auto onSent(void *argument) -> void
    {
        auto &self = *static_cast<reply_slot *>(argument);
        if (nng_aio_result(self.m_send) != 0)
            nng_msg_free(nng_aio_get_msg(self.m_send));
        self.m_isSending = false;
    }

    nng_ctx m_context{};
    nng_aio *m_receive = nullptr;
    nng_aio *m_send = nullptr;
    std::atomic<bool> m_isSending = false;
};

control_server::control_server(event_loop &loop) : m_loop(loop) {}

control_server::~control_server()
{
    m_slots.clear();
    if (m_open)
        nng_close(nng_socket{m_socket});
}

auto control_server::listen(const std::string &address, std::uint16_t port) -> result<std::uint16_t>
{
    const auto listenError = [&](int nngError) {
        return error{.code = result_code::listen_failed,
                     .message = fmt::format("cannot listen on {}:{}: {}", address, port,
                                            nng_strerror(nngError))};
    };
    nng_socket socket{};
    if (const auto nngError = nng_rep0_open(&socket); nngError != 0)
        return listenError(nngError);
    m_socket = socket.id;
    m_open = true;
    nng_setopt_size(socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    nng_listener listener{};
    const auto url = fmt::format("tcp://{}:{}", address, port);
    if (const auto nngError = nng_listen(socket, url.c_str(), &listener, 0); nngError != 0)
        return listenError(nngError);
    nng_sockaddr bound{};
    nng_listener_getopt_sockaddr(listener, NNG_OPT_LOCADDR, &bound);
    int descriptor = -1;
    nng_getopt_int(socket, NNG_OPT_RECVFD, &descriptor);
    m_readable = m_loop.whenReadable(descriptor, [this] { receiveAll(); });
    return ntohs(bound.s_in.sa_port);
}

auto control_server::receiveAll() -> void
{
    for (;;) {
        auto &slot = freeSlot();
        const auto request = slot.receive();
        if (!request)
            return;
        slot.reply(m_handler(*request));
    }
}

auto control_server::freeSlot() -> reply_slot &
{
    const auto found
        = std::ranges::find_if(m_slots, [](const auto &each) { return !each->isSending(); });
    if (found != m_slots.end())
        return **found;
    m_slots.push_back(std::make_unique<reply_slot>(nng_socket{m_socket}));
    return *m_slots.back();
}

control_client::control_client(event_loop &loop, socket_address peer,
                               control_client_options options)
    : m_loop(loop), m_options(options)
{
    nng_socket socket{};
    if (nng_req0_open(&socket) != 0)
        return;
    m_socket = socket.id;
    m_open = true;
    nng_setopt_size(socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    nng_setopt_ms(socket, NNG_OPT_RECONNMINT, minReconnectDelay);
    nng_setopt_ms(socket, NNG_OPT_RECONNMAXT, maxReconnectDelay);
    const auto url = fmt::format("tcp://{}:{}", peer.host, peer.port);
    nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    int descriptor = -1;
    nng_getopt_int(socket, NNG_OPT_RECVFD, &descriptor);
    m_readable = m_loop.whenReadable(descriptor, [this] { receive(); });
}

control_client::~control_client()
{
    if (m_open)
        nng_close(nng_socket{m_socket});
}

auto control_client::send(std::string_view request, reply_handler onReply) -> void
{
    if (m_replyHandler)
        finish(error{.code = result_code::cancelled, .message = "replaced by a newer request"});
    m_replyHandler = std::move(onReply);
    m_timer = m_loop.after(m_options.timeout, [this] {
        finish(error{.code = result_code::timeout, .message = "no reply within the timeout"});
    });
    m_unsent = request;
    trySend();
}

auto control_client::trySend() -> void
{
    m_sendTimer = {};
    // A non-blocking send fails while there is no connection.
    if (sendBytes(nng_socket{m_socket}, m_unsent))
        m_unsent.clear();
    else
        m_sendTimer = m_loop.after(sendRetryDelay, [this] { trySend(); });
}

auto control_client::receive() -> void
{
    nng_msg *message = nullptr;
    while (nng_recvmsg(nng_socket{m_socket}, &message, NNG_FLAG_NONBLOCK) == 0) {
        const auto reply = std::string(messageBody(message));
        nng_msg_free(message);
        finish(reply);
    }
}

auto control_client::finish(const result<std::string> &reply) -> void
{
    m_timer = {};
    m_sendTimer = {};
    if (const auto onReply = std::exchange(m_replyHandler, nullptr))
        onReply(reply);
}

} // namespace mustardline
