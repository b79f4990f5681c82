#pragma once

// Receives runs from entry processes, decides about them and executes them at the endpoint.
//
//     run_service runs(loop, http, config, usage, log, metrics, {.identity = ..., ...});
//     runs.run(exchange);                      // POST /v1/run
//     runs.reportFate(exchange, idText);         // GET /v1/fate/ID
//     runs.configurationChanged();             // after every change of `config`
//
// A run is registered in the run table, checked against the configuration (it waits a short time
// for a newer one that its entry process already has), queued and started by the scheduler, and its
// response is forwarded chunk by chunk. Every run ends exactly once, in `end`, which records its
// fate and its usage and frees its place in the scheduler. All decisions are made by run_table,
// admission_check and endpoint_scheduler; this class does the I/O around them.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/admission_check.h"
#include "agent/agent_settings.h"
#include "agent/run_report.h"
#include "agent/run_request.h"
#include "agent/run_table.h"
#include "agent/usage_meter.h"
#include "base/counters.h"
#include "base/log.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "policy/endpoint_scheduler.h"

namespace mustardline {

struct run_service_options
{
    agent_identity identity;
    socket_address endpointAddress;
    agent_limits limits;
    // Random number drawn at each start of the process.
    std::uint64_t boot = 0;
};

class run_service
{
public:
    run_service(event_loop &loop, http_client &http, const configuration &config,
                usage_meter &usage, logger &log, counters &metrics, run_service_options options);
    ~run_service();
    run_service(const run_service &) = delete;
    auto operator=(const run_service &) -> run_service & = delete;

    auto run(std::shared_ptr<http_exchange> exchange) -> void;
    auto reportFate(http_exchange &exchange, std::string_view id) -> void;
    auto cancel(http_exchange &exchange, std::string_view id) -> void;

    // Checks all waiting and running runs against the changed configuration.
    auto configurationChanged() -> void;

    // Refuses all new runs from now on; accepted ones continue.
    auto drain() -> void { m_draining = true; }

    // Whether no run waits or runs and the entry processes have received every response in full.
    [[nodiscard]] auto isIdle() const -> bool
    {
        return m_live.empty() && m_unsentExchanges.empty();
    }

    [[nodiscard]] auto isDraining() const -> bool { return m_draining; }
    [[nodiscard]] auto load() const -> agent_load;

    // Headers of every response of the agent.
    [[nodiscard]] auto ownHeaders() const -> std::vector<http_header>;

    // Sets a callback for runs whose entry process has a newer configuration.
    auto onNewerConfiguration(std::function<auto()->void> callback) -> void
    {
        m_onNewerConfiguration = std::move(callback);
    }

private:
    struct live_run;

    auto admit(live_run &live) -> void;
    auto schedule(live_run &live) -> void;
    auto executeActions() -> void;
    auto start(live_run &live) -> void;
    auto handleHeaders(live_run &live, const http_answer &answer) -> void;
    auto handleData(live_run &live, std::string_view data) -> void;
    auto handleResponseEnd(live_run &live, const http_outcome &outcome) -> void;
    auto pauseReading(live_run &live) -> void;
    auto handleEntryDisconnect(std::uint64_t number) -> void;
    auto stop(live_run &live, result_code code, std::string_view reason) -> void;
    auto refuse(live_run &live, const error &why, duration retryAfter) -> void;
    auto end(live_run &live, const run_ending &ending) -> void;
    auto replyEnd(live_run &live, const run_ending &ending) -> void;
    auto meter(const live_run &live, const run_ending &ending, const token_usage &used) -> void;
    auto replyWithoutRun(http_exchange &exchange, const run_request &request,
                         const run_decision &decision) -> void;
    auto tick() -> void;
    auto updateScheduler() -> void;
    // The header with the time that the run waited in this agent.
    [[nodiscard]] static auto queuedHeader(const live_run &live) -> http_header;
    auto resultHeaders(const run_request &request, result_code code) const
        -> std::vector<http_header>;
    auto replyFate(http_exchange &exchange, const request_id &id) -> void;
    [[nodiscard]] auto liveNumbers() const -> std::vector<std::uint64_t>;
    [[nodiscard]] auto find(std::uint64_t number) -> live_run *;
    [[nodiscard]] auto find(const request_id &id) -> live_run *;

    event_loop &m_loop;
    http_client &m_http;
    const configuration &m_config;
    usage_meter &m_usage;
    run_service_options m_options;
    run_report m_report;
    system_runtime_clock m_clock;
    run_table m_table;
    std::optional<endpoint_scheduler> m_scheduler;
    std::uint32_t m_maxConcurrency = 0;
    std::vector<schedule_action> m_actions;
    bool m_executingActions = false;
    std::map<std::uint64_t, std::unique_ptr<live_run>> m_live;
    std::uint64_t m_lastNumber = 0;
    // Exchanges of ended runs whose response the entry process may not have received in full yet.
    std::vector<std::shared_ptr<http_exchange>> m_unsentExchanges;
    bool m_draining = false;
    std::function<auto()->void> m_onNewerConfiguration;
    event_handle m_ticker;
};

} // namespace mustardline
