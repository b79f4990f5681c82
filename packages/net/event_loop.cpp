#include "net/event_loop.h"

#include <csignal>
#include <memory>
#include <utility>

#include <event2/event.h>

#include "net/timeval.h"

namespace mustardline {

struct event_handle::state
{
    event *handledEvent = nullptr;
    std::function<auto()->void> callback;

    state() = default;
    state(const state &) = delete;
    auto operator=(const state &) -> state & = delete;

    ~state()
    {
        if (handledEvent != nullptr)
            event_free(handledEvent);
    }
};

namespace {

// Epoll changes are batched per loop iteration; otherwise a streamed response costs two epoll_ctl
// calls for each token. libevent allows this flag only if no watched descriptor is duplicated, and
// none is here.
auto makeBase() -> event_base *
{
    const std::unique_ptr<event_config, void (*)(event_config *)> config(event_config_new(),
                                                                         event_config_free);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    return event_base_new_with_config(config.get());
}

} // namespace

event_loop::event_loop() : m_base(makeBase())
{
    sigemptyset(&m_handled);
    const auto dispatch = [](evutil_socket_t, short, void *argument) {
        static_cast<event_loop *>(argument)->runPosted();
    };
    m_postedEvent = event_new(m_base, -1, 0, dispatch, this);
    // Writing to a closed connection returns EPIPE instead.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    // Posted functions often release resources, so they run even if the loop was stopped first.
    while (!m_posted.empty())
        runPosted();
    m_signals.clear();
    event_free(m_postedEvent);
    event_base_free(m_base);
}

auto event_loop::run() -> void
{
    sigset_t previous;
    pthread_sigmask(SIG_UNBLOCK, &m_handled, &previous);
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

auto event_loop::stop() -> void
{
    event_base_loopbreak(m_base);
}

auto event_loop::after(duration delay, std::function<auto()->void> callback) -> event_handle
{
    return add(-1, EV_TIMEOUT, delay, std::move(callback));
}

auto event_loop::every(duration period, std::function<auto()->void> callback) -> event_handle
{
    return add(-1, EV_TIMEOUT | EV_PERSIST, period, std::move(callback));
}

auto event_loop::whenReadable(int descriptor, std::function<auto()->void> callback) -> event_handle
{
    return add(descriptor, EV_READ | EV_PERSIST, duration::zero(), std::move(callback));
}

auto event_loop::onSignal(int number, std::function<auto()->void> callback) -> void
{
    sigaddset(&m_handled, number);
    m_signals.push_back(add(number, EV_SIGNAL | EV_PERSIST, duration::zero(), std::move(callback)));
}

auto event_loop::post(std::function<auto()->void> callback) -> void
{
    m_posted.push_back(std::move(callback));
    event_active(m_postedEvent, EV_TIMEOUT, 0);
}

auto event_loop::runPosted() -> void
{
    const auto batch = std::exchange(m_posted, {});
    for (const auto &callback : batch)
        callback();
}

auto event_loop::add(int descriptor, short flags, duration period,
                     std::function<auto()->void> callback) -> event_handle
{
    event_handle handle;
    handle.m_state = std::make_shared<event_handle::state>();
    handle.m_state->callback = std::move(callback);
    const auto dispatch = [](evutil_socket_t, short, void *argument) {
        // A copy, because the callback may destroy its own handle and with it the original.
        const auto callbackCopy = static_cast<event_handle::state *>(argument)->callback;
        callbackCopy();
    };
    handle.m_state->handledEvent
        = event_new(m_base, descriptor, flags, dispatch, handle.m_state.get());
    const auto interval = toTimeval(period);
    event_add(handle.m_state->handledEvent, (flags & EV_TIMEOUT) != 0 ? &interval : nullptr);
    return handle;
}

} // namespace mustardline
