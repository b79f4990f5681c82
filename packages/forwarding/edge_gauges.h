#pragma once

// The gauges on an edge's metrics page.
//
//     edge_gauges gauges(metrics);
//     gauges.setLimits({.memoryBytes = memory.value, .descriptors = descriptors.value});
//     gauges.update(state);      // several times a second
//     gauges.updateUsage();      // when the page is read

#include <cstdint>

#include "base/counters.h"

namespace mustardline {

// What an edge believes at the moment.
struct edge_state
{
    std::uint64_t configurationVersion = 0;
    std::int64_t usableEndpoints = 0;
    std::int64_t liveEdges = 0;
    std::size_t unevenEndpoints = 0;
    std::int64_t logAgeMs = 0;
    // How long the oldest load of newest values that is in progress has lasted; 0 if there is none.
    std::int64_t logLoadAgeMs = 0;
    std::uint64_t logEra = 0;
    std::size_t keptRecords = 0;
    std::uint64_t otherEraDrops = 0;
    std::int64_t runningRollouts = 0;
    std::int64_t rolloutSends = 0;
};

struct edge_limits
{
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;
};

class edge_gauges
{
public:
    explicit edge_gauges(counters &metrics);

    auto setLimits(const edge_limits &limits) -> void;
    auto update(const edge_state &state) -> void;
    // Reads the memory and the descriptors in use.
    auto updateUsage() -> void;

private:
    counter &m_version;
    counter &m_usable;
    counter &m_liveEdges;
    counter &m_uneven;
    counter &m_logAge;
    counter &m_logLoadAge;
    counter &m_logEra;
    counter &m_keptRecords;
    counter &m_otherEraDrops;
    counter &m_runningRollouts;
    counter &m_rolloutSends;
    counter &m_memoryLimit;
    counter &m_memoryUsed;
    counter &m_descriptorLimit;
    counter &m_descriptorsOpen;
};

} // namespace mustardline
