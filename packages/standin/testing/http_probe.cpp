#include "standin/testing/http_probe.h"

#include <event2/event.h>

#include "standin/testing/process.h"

namespace mustardline::standin {

namespace {

// Interval between two checks of a condition that is waited for.
constexpr auto retryPause = std::chrono::milliseconds(10);

} // namespace

auto http_probe::call(const socket_address &address, http_request request) -> probe_answer
{
    return callAll(address, {std::move(request)}).front();
}

auto http_probe::get(const socket_address &address, const std::string &path) -> probe_answer
{
    return call(address, {.path = path});
}

auto http_probe::post(const socket_address &address, const std::string &path,
                      const nlohmann::json &body) -> probe_answer
{
    return call(address, {.method = "POST",
                          .path = path,
                          .headers = {{.name = "content-type", .value = "application/json"}},
                          .body = body.dump()});
}

auto http_probe::callAll(const socket_address &address, const std::vector<http_request> &requests)
    -> std::vector<probe_answer>
{
    std::vector<probe_answer> answers(requests.size());
    auto open = requests.size();
    for (std::size_t i = 0; i < requests.size(); ++i) {
        auto &answer = answers[i];
        m_client.fetch(address, requests[i],
                       [&answer, &open](const http_outcome &outcome, const http_answer &head,
                                        std::string body) {
                           answer = {.whole = std::holds_alternative<std::monostate>(outcome),
                                     .status = head.status,
                                     .headers = head.headers,
                                     .body = std::move(body)};
                           --open;
                       });
    }
    // Terminates, because each request has an idle timeout.
    while (open > 0)
        event_base_loop(m_loop.base(), EVLOOP_ONCE);
    return answers;
}

auto http_probe::waitUntil(const socket_address &address, const http_request &request,
                           const std::function<auto(const probe_answer &)->bool> &accepted)
    -> probe_answer
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (true) {
        auto answer = call(address, request);
        if (accepted(answer))
            return answer;
        if (std::chrono::steady_clock::now() > deadline) {
            throw harness_error(request.path + ": timed out; the last response was "
                                + std::to_string(answer.status) + " " + answer.body);
        }
        auto paused = true;
        const auto timer = m_loop.after(retryPause, [&] { paused = false; });
        while (paused)
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
    }
}

auto http_probe::runUntil(const std::function<auto()->bool> &done, const std::string &what) -> void
{
    auto late = false;
    const auto timer = m_loop.after(waitTimeout, [&] { late = true; });
    // Wakes the loop, since the condition may come true without an event.
    const auto wakeTimer = m_loop.every(retryPause, [] {});
    while (!done()) {
        if (late)
            throw harness_error("timed out waiting until " + what);
        event_base_loop(m_loop.base(), EVLOOP_ONCE);
    }
}

} // namespace mustardline::standin
