#pragma once

// Drives an entry or an engine with chat requests, and measures what a caller sees.
//
//     load_run run(loop, {.target = address, .requests = 1000, .concurrency = 16});
//     run.start([&] { loop.stop(); });
//     loop.run();
//     print(run.figures());
//
// The requests depend on the seed only. With a rate, they arrive as a Poisson process whatever the
// target does; without one, `concurrency` callers each send their next request when the last is
// answered. Every answer is compared with the one that the stand-in engine gives to the request.

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
    // The caller's key; none is sent if empty.
    std::string key;
    std::string model = "small";
    std::uint32_t requests = 1000;
    std::uint32_t concurrency = 16;
    // Requests a second; 0 for a fixed concurrency.
    std::uint32_t rate = 0;
    // Requests in 100 that are streamed.
    std::uint32_t streamedPercent = 50;
    std::uint32_t tokens = 16;
    std::uint32_t promptWords = 32;
    std::uint64_t seed = 1;
};

struct load_figures
{
    std::uint32_t whole = 0;
    // Answered with a status other than 200.
    std::uint32_t refused = 0;
    // Connection failed, cut, or timed out.
    std::uint32_t failed = 0;
    // Answered 200 with something else than the answer to the request.
    std::uint32_t wrong = 0;
    std::uint64_t tokens = 0;
    duration elapsed{};
    // Of whole answers, ascending; first token of streamed ones only.
    std::vector<duration> firstToken;
    std::vector<duration> wholeAnswer;
};

// The value that `share` of the samples do not exceed; zero without samples.
[[nodiscard]] auto quantile(const std::vector<duration> &ascending, double share) -> duration;

class load_run
{
public:
    load_run(event_loop &loop, load_options options);

    // Sends the requests; calls `done` when all have ended.
    auto start(std::function<auto()->void> done) -> void;

    [[nodiscard]] auto figures() const -> load_figures;

private:
    struct request;

    auto scheduleArrival() -> void;
    auto sendNext() -> void;
    auto makeRequest() -> std::shared_ptr<request>;
    auto ended(const request &answered, const http_outcome &outcome) -> void;
    auto count(const request &answered, const http_outcome &outcome) -> void;

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
