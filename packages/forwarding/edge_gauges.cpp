#include "forwarding/edge_gauges.h"

#include <string>

#include "net/process_usage.h"

namespace mustardline {

namespace {

auto addGauge(counters &metrics, std::string name, std::string help) -> counter &
{
    return metrics.add(
        {.name = std::move(name), .help = std::move(help), .kind = counter_kind::gauge});
}

} // namespace

edge_gauges::edge_gauges(counters &metrics)
    : m_version(addGauge(metrics, "mustardline_configuration_version",
                         "The version of the configuration in force.")),
      m_usable(
          addGauge(metrics, "mustardline_endpoints_usable", "Endpoints that may get new work.")),
      m_liveEdges(
          addGauge(metrics, "mustardline_edges_live", "Edges heard of lately, this one included.")),
      m_uneven(addGauge(metrics, "mustardline_endpoints_uneven",
                        "Endpoints slower or faster than the mean of their service.")),
      m_logAge(addGauge(metrics, "mustardline_log_age_milliseconds",
                        "Time since the log service last answered.")),
      m_logLoadAge(addGauge(metrics, "mustardline_log_load_age_milliseconds",
                            "Time for which the newest values of a topic have been read; 0 if "
                            "none are being read.")),
      m_logEra(addGauge(metrics, "mustardline_log_era",
                        "The era that the log service names in its answers.")),
      m_keptRecords(
          addGauge(metrics, "mustardline_records_kept",
                   "Records that hold although the log has lost them or holds older ones.")),
      m_otherEraDrops(
          addGauge(metrics, "mustardline_other_era_drops",
                   "Answers of the log and messages of peers that were of another era.")),
      m_runningRollouts(
          addGauge(metrics, "mustardline_rollouts_running", "Roll-outs without a verdict.")),
      m_rolloutSends(
          addGauge(metrics, "mustardline_rollout_sends",
                   "Requests that this edge sent to the new versions of ordered roll-outs.")),
      m_memoryLimit(
          addGauge(metrics, "mustardline_memory_limit_bytes", "Memory that this process may use.")),
      m_memoryUsed(addGauge(metrics, "mustardline_memory_resident_bytes",
                            "Memory of this process that is in use.")),
      m_descriptorLimit(addGauge(metrics, "mustardline_descriptors_limit",
                                 "Descriptors that this process may open.")),
      m_descriptorsOpen(
          addGauge(metrics, "mustardline_descriptors_open", "Open descriptors of this process."))
{}

auto edge_gauges::setLimits(const edge_limits &limits) -> void
{
    m_memoryLimit.set(static_cast<std::int64_t>(limits.memoryBytes));
    m_descriptorLimit.set(static_cast<std::int64_t>(limits.descriptors));
}

auto edge_gauges::update(const edge_state &state) -> void
{
    m_version.set(static_cast<std::int64_t>(state.configurationVersion));
    m_usable.set(state.usableEndpoints);
    m_liveEdges.set(state.liveEdges);
    m_uneven.set(static_cast<std::int64_t>(state.unevenEndpoints));
    m_logAge.set(state.logAgeMs);
    m_logLoadAge.set(state.logLoadAgeMs);
    m_logEra.set(static_cast<std::int64_t>(state.logEra));
    m_keptRecords.set(static_cast<std::int64_t>(state.keptRecords));
    m_otherEraDrops.set(static_cast<std::int64_t>(state.otherEraDrops));
    m_runningRollouts.set(state.runningRollouts);
    m_rolloutSends.set(state.rolloutSends);
}

auto edge_gauges::updateUsage() -> void
{
    m_memoryUsed.set(static_cast<std::int64_t>(residentBytes()));
    m_descriptorsOpen.set(static_cast<std::int64_t>(openDescriptors()));
}

} // namespace mustardline
