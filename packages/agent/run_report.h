#pragma once

// Logs and metrics of the agent's runs: one log line for each decision, and counters.
//
//     run_report report(log, metrics);
//     report.logDecision(event::runStarted, request, "placed", load, field("waited_ms", waited));
//     report.ended(request, {.code = result_code::ok, .fate = run_fate::done, ...}, load);
//     report.setGauges(load, table.size(), usage.size());
//
// Every line has the request, its account and tier, the reason, and the endpoint's load at the time
// of the decision.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "agent/run_request.h"
#include "agent/run_table.h"
#include "agent/sse_scanner.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/result.h"
#include "base/tiers.h"

namespace mustardline {

// Load of the endpoint, as reported in responses and replies to probes.
struct agent_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t window = 0;
    // By tier: running requests that a higher tier may preempt.
    std::array<std::uint32_t, lowestTier + 1> preemptible{};
    duration firstToken{};
};

// How a run ends, for the entry process and the run table.
struct run_ending
{
    result_code code = result_code::ok;
    run_fate fate = run_fate::failed;
    std::string reason;
    // Time after which the caller may retry; zero if unknown.
    duration retryAfter{};
};

// Measurements of a run that ended after it was started.
struct run_measurements
{
    int httpStatus = 0;
    token_usage used;
    duration ran{};
};

class run_report
{
public:
    run_report(logger &log, counters &metrics);

    // Logs one decision about a run.
    template<class... Fields>
    auto logDecision(const log_event &event, const run_request &request, std::string_view reason,
                     const agent_load &load, const Fields &...fields) -> void
    {
        m_log.write(event, field("request", toText(request.id)),
                    field("account", request.clientAccount), field("tier", request.tier),
                    field("reason", reason), fields..., field("window", load.window),
                    field("running", load.running), field("queued", load.queued));
    }

    // Logs and counts a run that passed the checks.
    auto admitted(const run_request &request, const agent_load &load) -> void;

    // Logs and counts a run that was answered with a stored outcome.
    auto repeated(const run_request &request, const agent_load &load) -> void;

    // Logs and counts a run that was refused because of an earlier run with its id or idempotency
    // key, or because the run table is full.
    auto refused(const run_request &request, result_code code, const agent_load &load) -> void;

    // Logs and counts the end of a run.
    auto ended(const run_request &request, const run_ending &ending,
               const run_measurements &measured, const agent_load &load) -> void;

    // Logs that the run table is full with `kept` runs.
    auto tableFull(std::size_t kept) -> void;

    // Sets the gauges. `kept` is the size of the run table, `usageDeltas` the number of deltas that
    // are not known to be durable.
    auto setGauges(const agent_load &load, std::size_t kept, std::size_t usageDeltas) -> void;

private:
    logger &m_log;
    counter &m_admitted;
    counter &m_refused;
    counter &m_done;
    counter &m_failed;
    counter &m_repeated;
    counter &m_preempted;
    counter &m_running;
    counter &m_queued;
    counter &m_window;
    counter &m_kept;
    counter &m_usageDeltas;
};

} // namespace mustardline
