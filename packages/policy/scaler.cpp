#include "policy/scaler.h"

#include <algorithm>
#include <cmath>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr double levelSeconds = 5;  // time constant of the level
constexpr double trendSeconds = 30; // time constant of the trend and the deviation
// Safety margin above the forecast, as a multiple of the mean deviation.
constexpr double deviationMargin = 1;

} // namespace

auto scaler::setDataCentre(std::string_view name, bool isInService, std::uint32_t room) -> void
{
    const auto row = std::ranges::find(m_dataCentres, name, &data_centre_row::name);
    if (row == m_dataCentres.end()) {
        m_dataCentres.push_back(
            {.name = std::string(name), .isInService = isInService, .room = room});
        return;
    }
    row->isInService = isInService;
    row->room = room;
}

auto scaler::isInService(std::string_view dataCentre) const -> bool
{
    const auto row = std::ranges::find(m_dataCentres, dataCentre, &data_centre_row::name);
    return row != m_dataCentres.end() && row->isInService;
}

// Double exponential smoothing of level and trend (Holt's linear method). The weights come from
// time constants, so that observations may be irregularly spaced.
auto scaler::observe(const demand_observation &demand, time_point now) -> void
{
    const auto places = demand.inFlight + demand.waiting;
    if (!m_hasLevel) {
        m_level = places;
        m_hasLevel = true;
        m_observedAt = now;
        return;
    }
    const auto elapsed = toSeconds(now - m_observedAt);
    if (elapsed <= 0)
        return;
    const auto expected = m_level + m_trend * elapsed;
    const auto levelWeight = 1 - std::exp(-elapsed / levelSeconds);
    const auto trendWeight = 1 - std::exp(-elapsed / trendSeconds);
    const auto level = expected + (places - expected) * levelWeight;
    m_trend += ((level - m_level) / elapsed - m_trend) * trendWeight;
    m_deviation += (std::abs(places - expected) - m_deviation) * trendWeight;
    m_level = level;
    m_observedAt = now;
}

auto scaler::needed(duration ahead) const -> std::uint32_t
{
    const auto forecast = m_level + std::max(0.0, m_trend) * toSeconds(ahead);
    const auto places = std::max(0.0, forecast + m_deviation * deviationMargin);
    const auto endpoints
        = std::ceil(places / (m_options.placesPerEndpoint * m_options.targetUtilization));
    return std::clamp(static_cast<std::uint32_t>(endpoints), m_options.least, m_options.most);
}

auto scaler::endpointCounts(std::span<const scaled_endpoint> endpoints) const
    -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> result;
    for (const auto &row : m_dataCentres) {
        result.push_back(static_cast<std::uint32_t>(
            std::ranges::count_if(endpoints, [&row](const scaled_endpoint &endpoint) {
                return endpoint.dataCentre == row.name
                       && endpoint.phase != endpoint_phase::draining;
            })));
    }
    return result;
}

auto scaler::decide(std::span<const scaled_endpoint> endpoints, time_point now,
                    std::vector<scale_action> &actions) -> void
{
    drainOutOfService(endpoints, actions);
    stopIdle(endpoints, actions);

    const auto kept = static_cast<std::uint32_t>(
        std::ranges::count_if(endpoints, [this](const scaled_endpoint &endpoint) {
            return isInService(endpoint.dataCentre) && endpoint.phase != endpoint_phase::draining;
        }));
    const auto wanted = needed(m_options.startDuration);
    if (wanted > kept)
        grow(endpoints, wanted - kept, actions);
    if (wanted >= kept) {
        m_hasSurplus = false;
        return;
    }
    if (!m_hasSurplus) {
        m_hasSurplus = true;
        m_surplusSince = now;
    }
    if (now - m_surplusSince < m_options.surplusTime)
        return;
    shrink(endpoints, actions);
    m_surplusSince = now - m_options.surplusTime / 2;
}

auto scaler::drainOutOfService(std::span<const scaled_endpoint> endpoints,
                               std::vector<scale_action> &actions) const -> void
{
    for (const auto &endpoint : endpoints) {
        if (!isInService(endpoint.dataCentre) && endpoint.phase != endpoint_phase::draining)
            actions.emplace_back(drain_endpoint_action{.id = std::string(endpoint.id)});
    }
}

auto scaler::stopIdle(std::span<const scaled_endpoint> endpoints,
                      std::vector<scale_action> &actions) const -> void
{
    for (const auto &endpoint : endpoints) {
        if (endpoint.phase == endpoint_phase::draining && endpoint.load == 0)
            actions.emplace_back(stop_endpoint_action{.id = std::string(endpoint.id)});
    }
}

// Resumes draining endpoints first, then starts new ones in the data centres with the fewest.
auto scaler::grow(std::span<const scaled_endpoint> endpoints, std::uint32_t missing,
                  std::vector<scale_action> &actions) const -> void
{
    for (const auto &endpoint : endpoints) {
        if (missing == 0)
            return;
        if (endpoint.phase != endpoint_phase::draining || endpoint.load == 0
            || !isInService(endpoint.dataCentre))
            continue;
        actions.emplace_back(resume_endpoint_action{.id = std::string(endpoint.id)});
        --missing;
    }
    const auto starting = static_cast<std::uint32_t>(
        std::ranges::count(endpoints, endpoint_phase::starting, &scaled_endpoint::phase));
    const auto room
        = m_options.maxConcurrentStarts - std::min(starting, m_options.maxConcurrentStarts);
    auto perDataCentre = endpointCounts(endpoints);
    for (std::uint32_t order = 0; order < std::min(missing, room); ++order) {
        const auto fewest = leastPopulated(perDataCentre);
        if (fewest == m_dataCentres.size())
            return;
        actions.emplace_back(start_endpoint_action{.dataCentre = m_dataCentres[fewest].name});
        ++perDataCentre[fewest];
    }
}

auto scaler::leastPopulated(std::span<const std::uint32_t> perDataCentre) const -> std::size_t
{
    auto fewest = m_dataCentres.size();
    for (std::size_t index = 0; index < m_dataCentres.size(); ++index) {
        const auto &row = m_dataCentres[index];
        const auto isEligible = row.isInService && perDataCentre[index] < row.room;
        if (isEligible
            && (fewest == m_dataCentres.size() || perDataCentre[index] < perDataCentre[fewest]))
            fewest = index;
    }
    return fewest;
}

// Drains the least loaded endpoint of the data centre that has the most endpoints.
auto scaler::shrink(std::span<const scaled_endpoint> endpoints,
                    std::vector<scale_action> &actions) const -> void
{
    const auto perDataCentre = endpointCounts(endpoints);
    const auto countOf = [&](std::string_view name) {
        const auto row = std::ranges::find(m_dataCentres, name, &data_centre_row::name);
        return perDataCentre[row - m_dataCentres.begin()];
    };
    const scaled_endpoint *chosen = nullptr;
    for (const auto &endpoint : endpoints) {
        if (endpoint.phase != endpoint_phase::running || !isInService(endpoint.dataCentre))
            continue;
        if (chosen == nullptr || countOf(endpoint.dataCentre) > countOf(chosen->dataCentre)
            || (countOf(endpoint.dataCentre) == countOf(chosen->dataCentre)
                && endpoint.load < chosen->load))
            chosen = &endpoint;
    }
    if (chosen != nullptr)
        actions.emplace_back(drain_endpoint_action{.id = std::string(chosen->id)});
}

} // namespace mustardline
