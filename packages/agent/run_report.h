#pragma once

// What an agent says of its runs to its operators: one log line for each decision, and counters.
//
//     run_report report(log, metrics);
//     report.decided(event::runStarted, request, "placed", load, field("waited_ms", waited));
//     report.ended(request, {.code = result_code::ok, .fate = run_fate::done, ...}, load);
//     report.loaded(load, {.kept = table.size(), .usageDeltas = usage.size()});
//
// Every line names the request, its account and tier, the reason, and the load that the decision
// was made under.

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

// What an answer or a probe tells about the endpoint.
struct agent_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t window = 0;
    // By tier: what runs and may be stopped in favour of a higher tier.
    std::array<std::uint32_t, lowestTier + 1> stoppable{};
    duration firstToken{};
};

// How a run ends towards the entry and in the run table.
struct run_ending
{
    result_code code = result_code::ok;
    run_fate fate = run_fate::failed;
    std::string reason;
    // When the caller may come back; zero if that is not known.
    duration retryAfter{};
};

// What a run that ended after its start came to.
struct run_yield
{
    int httpStatus = 0;
    token_usage used;
    duration ran{};
};

class run_report
{
public:
    run_report(logger &log, counters &metrics);

    // Writes the line of one decision about a run.
    template<class... Fields>
    auto decided(const log_event &event, const run_request &request, std::string_view reason,
                 const agent_load &load, const Fields &...fields) -> void
    {
        m_log.write(event, field("request", toText(request.id)),
                    field("account", request.clientAccount), field("tier", request.tier),
                    field("reason", reason), fields..., field("window", load.window),
                    field("running", load.running), field("queued", load.queued));
    }

    // The run passed the checks.
    auto admitted(const run_request &request, const agent_load &load) -> void;

    // The run was answered from a kept outcome.
    auto repeated(const run_request &request, const agent_load &load) -> void;

    // The run was refused because of an earlier run of its id or key.
    auto refused(const run_request &request, result_code code, const agent_load &load) -> void;

    // The run ended.
    auto ended(const run_request &request, const run_ending &ending, const run_yield &yield,
               const agent_load &load) -> void;

    // No further run can be remembered beside the `kept` ones.
    auto tableFull(std::size_t kept) -> void;

    // Sets the gauges; `kept` runs are remembered and `usageDeltas` are not known to be durable.
    auto loaded(const agent_load &load, std::size_t kept, std::size_t usageDeltas) -> void;

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
