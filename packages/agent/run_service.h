#pragma once

// Takes runs from the entries, decides about them and carries them out at the endpoint.
//
//     run_service runs(loop, http, config, usage, log, {.identity = ..., .endpointAddress = ...});
//     runs.run(exchange);                      // POST /v1/run
//     runs.tellFate(exchange, idText);         // GET /v1/fate/ID
//     runs.configurationChanged();             // after every change of `config`
//
// A run goes through: registered in the run table, checked against the configuration (it waits a
// little for one that its entry already has), queued and started by the scheduler, answered chunk
// by chunk. Whatever happens, it ends exactly once, in `end`, which settles its fate, its usage and
// the scheduler's place. All decisions are in run_table, admission_check and endpoint_scheduler;
// this class is the I/O around them.

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
    // Random per start of the process.
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
    auto tellFate(http_exchange &exchange, std::string_view id) -> void;
    auto cancel(http_exchange &exchange, std::string_view id) -> void;

    // Checks what waits and runs against the configuration again.
    auto configurationChanged() -> void;

    // Refuses all new runs from now on; those taken go on.
    auto drain() -> void { m_draining = true; }

    // Whether nothing waits or runs and the entries have taken every answer.
    [[nodiscard]] auto isIdle() const -> bool { return m_live.empty() && m_unread.empty(); }

    [[nodiscard]] auto isDraining() const -> bool { return m_draining; }
    [[nodiscard]] auto load() const -> agent_load;

    // Headers that every answer of the agent carries.
    [[nodiscard]] auto ownHeaders() const -> std::vector<http_header>;

    // Called when an entry knows a newer configuration.
    auto onNewerConfiguration(std::function<auto()->void> callback) -> void
    {
        m_onNewerConfiguration = std::move(callback);
    }

private:
    struct live_run;

    auto admit(live_run &live) -> void;
    auto schedule(live_run &live) -> void;
    auto carryOut() -> void;
    auto start(live_run &live) -> void;
    auto sawHeaders(live_run &live, const http_answer &answer) -> void;
    auto sawData(live_run &live, std::string_view data) -> void;
    auto sawEnd(live_run &live, const http_outcome &outcome) -> void;
    auto holdBack(live_run &live) -> void;
    auto entryLeft(std::uint64_t number) -> void;
    auto stop(live_run &live, result_code code, std::string_view reason) -> void;
    auto refuse(live_run &live, const error &why, duration retryAfter) -> void;
    auto end(live_run &live, const run_ending &ending) -> void;
    auto answerEnd(live_run &live, const run_ending &ending) -> void;
    auto meter(const live_run &live, const run_ending &ending, const token_usage &used) -> void;
    auto answerVerdict(http_exchange &exchange, const run_request &request,
                       const run_verdict &verdict) -> void;
    auto tick() -> void;
    auto renewScheduler() -> void;
    // Tells how long the run waited here.
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
    bool m_carryingOut = false;
    std::map<std::uint64_t, std::unique_ptr<live_run>> m_live;
    std::uint64_t m_lastNumber = 0;
    // Ended answers that their entry has not taken whole yet.
    std::vector<std::shared_ptr<http_exchange>> m_unread;
    bool m_draining = false;
    std::function<auto()->void> m_onNewerConfiguration;
    event_handle m_ticker;
};

} // namespace mustardline
