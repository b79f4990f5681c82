#pragma once

// The stand-in model engine: serves OpenAI chat completions from one batch, and publishes delayed
// load reports and prefix-cache events. docs/PLATFORM.md describes its interface and controls.
//
//     engine_server engine(program, {.port = 0, .model = "small"});
//     return program.run(engine.server());

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "standin/chat_answer.h"
#include "standin/engine_behaviour.h"
#include "standin/json_exchange.h"
#include "standin/prefix_cache.h"
#include "standin/program.h"
#include "standin/recorder.h"
#include "standin/timer_set.h"

namespace mustardline::standin {

struct engine_options
{
    std::uint16_t port = 0;
    // The only model served; requests for another get 404.
    std::string model = "small";
    engine_behaviour behaviour;
    // Further requests queue, smallest priority value first.
    std::uint32_t maxRunning = 256;
    // Maximum age of the load report, and delay of cache events.
    duration reportLag = std::chrono::milliseconds(500);
};

class engine_server
{
public:
    engine_server(program &program, const engine_options &options);

    [[nodiscard]] auto server() -> http_server & { return m_server; }

private:
    enum class phase : std::uint8_t { waiting, prefill, decode };

    struct active_request
    {
        exchange_ptr exchange;
        chat_request chat;
        answer_identity identity;
        phase state = phase::waiting;
        std::uint32_t produced = 0;
    };

    struct load_report
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
        unix_milliseconds measured = 0;
    };

    auto addRoutes() -> void;
    auto handleCompletion(const exchange_ptr &exchange) -> void;
    auto recordConcurrency() -> void;
    // Starts waiting requests while fewer than `maxRunning` run.
    auto startWaiting() -> void;
    auto startPrefill(std::uint64_t id) -> void;
    auto produceFirst(std::uint64_t id) -> void;
    auto scheduleStep() -> void;
    // Produces one token for each request in the decode phase.
    auto step() -> void;
    // Produces the next token of a request, and sends it if streamed; true if it was the last.
    auto produce(active_request &request) -> bool;
    auto finish(std::uint64_t id) -> void;
    auto cancel(std::uint64_t id) -> void;
    auto countToken() -> void;
    [[nodiscard]] auto countIn(phase state) const -> std::size_t;
    [[nodiscard]] auto running() const -> std::size_t;

    auto measureLoad() -> void;
    auto replyLoad(const exchange_ptr &exchange) -> void;
    auto replyCacheEvents(const exchange_ptr &exchange) -> void;
    auto changeBehaviour(const exchange_ptr &exchange) -> void;
    auto replyReceived(const exchange_ptr &exchange) -> void;

    program &m_program;
    engine_options m_options;
    engine_behaviour m_behaviour;
    system_runtime_clock m_clock;
    timer_set m_timers;
    route_table m_routes;
    recorder m_received;
    prefix_cache m_cache;

    // By request number, hence in order of arrival.
    std::map<std::uint64_t, active_request> m_requests;
    std::uint64_t m_nextId = 1;
    event_handle m_nextStep;
    bool m_stepScheduled = false;
    bool m_dying = false;
    std::size_t m_highestConcurrency = 0;
    std::size_t m_highestWhileCold = 0;
    std::uint64_t m_cancelled = 0;
    load_report m_published;
    event_handle m_reporting;

    http_server m_server;
};

} // namespace mustardline::standin
