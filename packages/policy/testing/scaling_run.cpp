#include "policy/testing/scaling_run.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <vector>

#include "policy/durations.h"
#include "policy/random.h"
#include "policy/scaler.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

constexpr duration startDuration = 60s;
constexpr std::uint32_t placesPerEndpoint = 16;
constexpr std::uint32_t maxConcurrentStarts = 2;
// Utilization of the places above which requests of the top tier miss their targets because no
// place is free.
constexpr double maxUtilization = 0.9;
constexpr double drainSeconds = 20;
constexpr std::array<std::string_view, 3> dataCentres{"porto_alegre", "curitiba", "florianopolis"};

struct scaled_row
{
    std::string id;
    std::string_view dataCentre;
    endpoint_phase phase = endpoint_phase::starting;
    time_point phaseSince{};
    bool isStopped = false;
};

class scaling_simulation
{
public:
    scaling_simulation(const scaling_workload &load, std::uint64_t seed)
        : m_load(load), m_random(seed)
    {
        for (const auto name : dataCentres)
            m_core.setDataCentre(name, true);
        for (std::uint32_t index = 0; index < 8; ++index)
            start(dataCentres[index % dataCentres.size()], endpoint_phase::running);
    }

    auto run() -> scaling_report
    {
        for (; m_now < time_point{} + m_load.length; m_now = m_now + 1s)
            step();
        return m_report;
    }

private:
    auto start(std::string_view dataCentre, endpoint_phase phase) -> void
    {
        m_rows.push_back({.id = "e" + std::to_string(m_rows.size()),
                          .dataCentre = dataCentre,
                          .phase = phase,
                          .phaseSince = m_now});
    }

    auto demandNow() -> double
    {
        const auto angle
            = 2 * 3.14159265358979 * toSeconds(m_now - time_point{}) / toSeconds(m_load.period);
        m_noise += (m_random.uniform() - 0.5 - m_noise) * 0.2;
        const auto shape = 1 - m_load.wave * std::cos(angle);
        return m_load.meanPlaces * std::max(0.0, shape + m_noise * m_load.noise * 10);
    }

    auto step() -> void
    {
        const bool isOut = m_load.outUntil > m_load.outFrom
                           && m_now >= time_point{} + m_load.outFrom
                           && m_now < time_point{} + m_load.outUntil;
        m_core.setDataCentre(dataCentres[0], !isOut);
        const auto demand = demandNow();
        const auto usable = countUsable();
        updateReport(demand, usable, isOut);
        m_core.observe({.inFlight = std::min<double>(demand, usable * placesPerEndpoint),
                        .waiting = std::max(0.0, demand - usable * placesPerEndpoint)},
                       m_now);
        decide();
        for (auto &row : m_rows) {
            if (row.phase == endpoint_phase::starting && m_now - row.phaseSince >= startDuration)
                row.phase = endpoint_phase::running;
        }
    }

    auto countUsable() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(m_rows, [](const scaled_row &row) {
            return !row.isStopped && row.phase == endpoint_phase::running;
        }));
    }

    auto updateReport(double demand, std::uint32_t usable, bool isOut) -> void
    {
        std::uint32_t starting = 0;
        for (const auto &row : m_rows) {
            if (row.isStopped)
                continue;
            m_report.paidSeconds += 1;
            starting += row.phase == endpoint_phase::starting ? 1 : 0;
            if (isOut && row.dataCentre == dataCentres[0] && row.phase == endpoint_phase::running
                && m_now > time_point{} + m_load.outFrom + 4s)
                ++m_report.secondsWorkedOut;
        }
        m_report.maxConcurrentlyStarting = std::max(m_report.maxConcurrentlyStarting, starting);
        m_report.minSeconds
            += std::max(1.0, std::ceil(demand / (placesPerEndpoint * maxUtilization)));
        m_demand += demand;
        m_unserved += std::max(0.0, demand - usable * placesPerEndpoint);
        m_report.unserved = m_unserved / m_demand;
    }

    auto decide() -> void
    {
        std::vector<scaled_endpoint> endpoints;
        for (const auto &row : m_rows) {
            if (row.isStopped)
                continue;
            const bool isEmpty = row.phase == endpoint_phase::draining
                                 && toSeconds(m_now - row.phaseSince) >= drainSeconds;
            endpoints.push_back({.id = row.id,
                                 .dataCentre = row.dataCentre,
                                 .phase = row.phase,
                                 .load = isEmpty ? 0U : 1U});
        }
        std::vector<scale_action> actions;
        m_core.decide(endpoints, m_now, actions);
        for (const auto &action : actions)
            std::visit([this](const auto &item) { execute(item); }, action);
    }

    auto rowOf(const std::string &id) -> scaled_row &
    {
        return *std::ranges::find(m_rows, id, &scaled_row::id);
    }

    auto execute(const start_endpoint_action &action) -> void
    {
        start(*std::ranges::find(dataCentres, action.dataCentre), endpoint_phase::starting);
    }

    auto execute(const drain_endpoint_action &action) -> void
    {
        rowOf(action.id).phase = endpoint_phase::draining;
        rowOf(action.id).phaseSince = m_now;
    }

    auto execute(const resume_endpoint_action &action) -> void
    {
        rowOf(action.id).phase = endpoint_phase::running;
    }

    auto execute(const stop_endpoint_action &action) -> void
    {
        auto &row = rowOf(action.id);
        if (row.phase != endpoint_phase::draining
            || toSeconds(m_now - row.phaseSince) < drainSeconds)
            ++m_report.stopsUnderLoad;
        row.isStopped = true;
    }

    scaling_workload m_load;
    random_source m_random;
    scaler m_core{{.placesPerEndpoint = placesPerEndpoint,
                   .targetUtilization = maxUtilization,
                   .startDuration = startDuration,
                   .maxConcurrentStarts = maxConcurrentStarts}};
    std::vector<scaled_row> m_rows;
    time_point m_now{};
    double m_noise = 0;
    double m_demand = 0;
    double m_unserved = 0;
    scaling_report m_report;
};

} // namespace

auto runScaling(const scaling_workload &load, std::uint64_t seed) -> scaling_report
{
    return scaling_simulation(load, seed).run();
}

} // namespace mustardline
