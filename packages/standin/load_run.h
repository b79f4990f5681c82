#pragma once

// Sends chat requests to an entry process or an engine and measures the latency seen by callers.
//
//     load_run run(loop, {.target = address, .requests = 1000, .concurrency = 16});
//     run.start([&] { loop.stop(); });
//     loop.run();
//     print(run.figures());
//
// The content of the requests depends only on the options and the seed. With a rate the load is
// open loop: arrivals form a Poisson process, however slow the target is. Without one it is closed
// loop: `concurrency` callers each send their next request when the previous one has ended. Every
// response is compared with the one that the stand-in engine gives to the request.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "standin/chat_answer.h"
#include "standin/timer_set.h"

namespace mustardline::standin {

struct load_options
{
    socket_address target;
    // The caller's API key; if empty, none is sent.
    std::string key;
    std::string model = "small";
    std::uint32_t requests = 1000;
    std::uint32_t concurrency = 16;
    // Requests per second; 0 for a fixed concurrency.
    std::uint32_t rate = 0;
    // Percentage of requests that are streamed.
    std::uint32_t streamedPercent = 50;
    std::uint32_t tokens = 16;
    std::uint32_t promptWords = 32;
    std::uint64_t seed = 1;
};

struct load_figures
{
    std::uint32_t complete = 0;
    // The status was not 200.
    std::uint32_t refused = 0;
    // The connection failed, was cut or timed out.
    std::uint32_t failed = 0;
    // The status was 200, but the content was not the expected one.
    std::uint32_t wrong = 0;
    std::uint64_t tokens = 0;
    duration elapsed{};
    // Latencies of complete responses, ascending; `firstToken` of streamed ones only.
    std::vector<duration> firstToken;
    std::vector<duration> responseTime;
};

// The `fraction` quantile of the samples; zero without samples.
[[nodiscard]] auto quantile(const std::vector<duration> &ascending, double fraction) -> duration;

class load_run
{
public:
    load_run(event_loop &loop, load_options options);

    // Starts sending; calls `done` when all requests have ended.
    auto start(std::function<auto()->void> done) -> void;

    [[nodiscard]] auto figures() const -> load_figures;

private:
    struct request;

    auto scheduleArrival() -> void;
    auto sendNext() -> void;
    auto makeRequest() -> std::shared_ptr<request>;
    auto onEnded(const request &finished, const http_outcome &outcome) -> void;
    auto count(const request &finished, const http_outcome &outcome) -> void;

    event_loop &m_loop;
    load_options m_options;
    system_runtime_clock m_clock;
    http_client m_client;
    timer_set m_timers;
    std::mt19937_64 m_random;
    std::function<auto()->void> m_done;
    std::uint32_t m_sent = 0;
    std::uint32_t m_ended = 0;
    time_point m_startedAt;
    load_figures m_figures;
};

} // namespace mustardline::standin
