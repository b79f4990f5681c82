#include "agent/run_report.h"

#include "agent/events.h"

namespace mustardline {

run_report::run_report(logger &log, counters &metrics)
    : m_log(log),
      m_admitted(metrics.add({.name = "mustardline_agent_runs_admitted_total",
                              .help = "Runs that passed the checks."})),
      m_refused(metrics.add({.name = "mustardline_agent_runs_refused_total",
                             .help = "Runs refused before they reached the endpoint."})),
      m_done(metrics.add({.name = "mustardline_agent_runs_done_total",
                          .help = "Runs whose whole answer arrived."})),
      m_failed(metrics.add({.name = "mustardline_agent_runs_failed_total",
                            .help = "Runs whose whole answer did not arrive."})),
      m_repeated(metrics.add({.name = "mustardline_agent_runs_repeated_total",
                              .help = "Runs answered from a kept outcome."})),
      m_preempted(metrics.add({.name = "mustardline_agent_runs_preempted_total",
                               .help = "Runs stopped in favour of a higher tier."})),
      m_running(metrics.add({.name = "mustardline_agent_running",
                             .help = "Runs at the endpoint.",
                             .kind = counter_kind::gauge})),
      m_queued(metrics.add({.name = "mustardline_agent_queued",
                            .help = "Runs that wait.",
                            .kind = counter_kind::gauge})),
      m_window(metrics.add({.name = "mustardline_agent_window",
                            .help = "Runs that the endpoint may have at once.",
                            .kind = counter_kind::gauge})),
      m_kept(metrics.add({.name = "mustardline_agent_kept_runs",
                          .help = "Runs remembered.",
                          .kind = counter_kind::gauge})),
      m_usageDeltas(metrics.add({.name = "mustardline_agent_usage_deltas",
                                 .help = "Usage deltas that are not known to be durable.",
                                 .kind = counter_kind::gauge}))
{}

auto run_report::admitted(const run_request &request, const agent_load &load) -> void
{
    m_admitted.increment();
    logDecision(event::runAdmitted, request, "checks passed", load,
                field("class", request.requestClass), field("attempt", request.attempt));
}

auto run_report::repeated(const run_request &request, const agent_load &load) -> void
{
    m_repeated.increment();
    logDecision(event::runRepeated, request, "the outcome is kept", load);
}

auto run_report::refused(const run_request &request, result_code code, const agent_load &load)
    -> void
{
    m_refused.increment();
    logDecision(event::runRefused, request, "decided by an earlier run of this id or key", load,
                field("code", number(code)));
}

auto run_report::ended(const run_request &request, const run_ending &ending,
                       const run_measurements &measured, const agent_load &load) -> void
{
    const auto code = field("code", number(ending.code));
    if (ending.code == result_code::preempted) {
        m_preempted.increment();
        logDecision(event::runPreempted, request, ending.reason, load, code);
    } else if (ending.code == result_code::cancelled) {
        logDecision(event::runCancelled, request, ending.reason, load, code,
                    field("fate", fateName(ending.fate)));
    } else if (ending.fate == run_fate::not_run) {
        m_refused.increment();
        logDecision(event::runRefused, request, ending.reason, load, code);
    } else {
        (ending.fate == run_fate::done ? m_done : m_failed).increment();
        logDecision(event::runFinished, request, ending.reason, load, code,
                    field("fate", fateName(ending.fate)), field("status", measured.httpStatus),
                    field("prompt_tokens", measured.used.promptTokens),
                    field("completion_tokens", measured.used.completionTokens),
                    field("ran_ms", toMilliseconds(measured.ran)));
    }
}

auto run_report::tableFull(std::size_t kept) -> void
{
    m_log.write(event::runTableFull, field("kept", kept));
}

auto run_report::setGauges(const agent_load &load, std::size_t kept, std::size_t usageDeltas)
    -> void
{
    m_running.set(load.running);
    m_queued.set(load.queued);
    m_window.set(load.window);
    m_kept.set(static_cast<std::int64_t>(kept));
    m_usageDeltas.set(static_cast<std::int64_t>(usageDeltas));
}

} // namespace mustardline
