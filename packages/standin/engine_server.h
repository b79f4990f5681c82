#pragma once

// The stand-in model engine: OpenAI chat completions from one batch, with lagging load reports,
// cache events and the controls of docs/PLATFORM.md.
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
    // The only model that it serves.
    std::string model = "small";
    engine_behaviour behaviour;
    // Requests beyond this wait, smaller priority first.
    std::uint32_t maxRunning = 256;
    // How old the load report can be, and how late cache events come.
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
    auto noteConcurrency() -> void;
    // Starts waiting requests while there is room.
    auto startWaiting() -> void;
    auto startPrefill(std::uint64_t id) -> void;
    auto produceFirst(std::uint64_t id) -> void;
    auto scheduleStep() -> void;
    // One token for each request that is being decoded.
    auto step() -> void;
    // Sends the next token of a request; true if it was the last.
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

    // In the order of arrival.
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
