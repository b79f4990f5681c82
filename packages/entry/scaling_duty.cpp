#include "entry/scaling_duty.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

#include "base/hashing.h"

namespace mustardline {

namespace {

constexpr double percent = 0.01;
constexpr std::uint32_t defaultConcurrentStarts = 2;
constexpr int decisionsPerInterval = 3;
constexpr std::size_t maxListedAlternatives = 8;

// Returns the number of places that the demand requires. A refused request would have stayed as
// long as those that were served: by Little's law, in flight * interval / finished, so it adds in
// flight / finished to the mean number in flight. Where none was served, one place is requested,
// from which the time of a request becomes known.
auto requiredPlaces(const tier_demand &demand) -> double
{
    auto places = demand.inFlight + demand.waiting;
    if (demand.refused == 0)
        return places;
    const auto refused = static_cast<double>(demand.refused);
    const auto finished = static_cast<double>(std::max<std::uint64_t>(demand.finished, 1));
    places += std::clamp(refused * demand.inFlight / finished, 1.0, refused);
    return places;
}

auto optionsOf(const v1::ModelScaling &scaling, duration reportInterval) -> scaler_options
{
    scaler_options options;
    options.placesPerEndpoint = scaling.places_per_endpoint();
    // Decisions use old data: the mean is half an interval old, its report up to one, the decision
    // up to a third, and the change is delayed by the log. The forecast covers two more intervals
    // for that.
    options.startDuration = std::chrono::milliseconds(scaling.start_time_ms()) + reportInterval * 2;
    options.maxConcurrentStarts
        = scaling.starts_at_once() == 0 ? defaultConcurrentStarts : scaling.starts_at_once();
    // Endpoints that start fast are drained sooner, but never because of a single report.
    const duration start = std::chrono::milliseconds(scaling.start_time_ms());
    options.surplusTime = std::max(start / 2, reportInterval * 2);
    options.least = scaling.least();
    options.most = scaling.most();
    return options;
}

} // namespace

auto scaling_duty::tick(time_point now, bool isAtHead) -> std::vector<scaling_decision>
{
    if (!isReady(now, isAtHead) || now < m_decideAt)
        return {};
    m_decideAt = now + m_options.reportInterval / decisionsPerInterval;
    decision_round round{.now = now};
    auto fleets = collectFleets(now);
    restoreUnscaled(fleets, round);
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_MODEL_SCALING)) {
        const auto &scaling = item->entity().model_scaling();
        decideModel(scaling, fleets[scaling.id()], round);
    }
    return std::move(round.decisions);
}

auto scaling_duty::isReady(time_point now, bool isAtHead) -> bool
{
    if (!isAtHead) {
        // Forecasts from before a gap in the reports are not valid after it.
        m_atHeadSince.reset();
        m_scalers.clear();
        return false;
    }
    if (!m_atHeadSince)
        m_atHeadSince = now;
    return now - *m_atHeadSince >= m_options.reportInterval * demand_table::reportTimeoutIntervals;
}

auto scaling_duty::collectFleets(time_point now) -> fleet_table
{
    std::erase_if(m_pending, [&](const auto &item) {
        return now - item.second.madeAt >= m_options.retryAfter;
    });
    fleet_table fleets;
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT))
        addEndpoint(*item, now, fleets);
    return fleets;
}

auto scaling_duty::isScaledDown(const v1::Endpoint &endpoint, std::uint64_t revision,
                                time_point now) -> bool
{
    const auto pending = m_pending.find(endpoint.id());
    const auto isPending = pending != m_pending.end() && pending->second.baseRevision == revision;
    const auto scaledDown = isPending ? pending->second.isScaledDown : endpoint.scaled_down();
    if (scaledDown)
        m_scaledDown.insert(endpoint.id());
    else if (m_scaledDown.erase(endpoint.id()) > 0)
        m_startedAt[endpoint.id()] = now;
    return scaledDown;
}

auto scaling_duty::addEndpoint(const v1::RevisedEntity &item, time_point now, fleet_table &fleets)
    -> void
{
    const auto &endpoint = item.entity().endpoint();
    // Capacity shared by several models counts for none of them, and endpoints that operators made
    // leave are left to them.
    const auto leavesByOperator = endpoint.leaving() && !endpoint.scaled_down();
    if (endpoint.serves_size() != 1 || leavesByOperator)
        return;
    auto &fleet = fleets[endpoint.serves(0)];
    if (!endpoint.managed()) {
        const auto *dataCentre = m_config.dataCentre(endpoint.data_centre());
        fleet.unmanaged += dataCentre != nullptr && !dataCentre->out() ? 1 : 0;
        return;
    }
    const auto scaledDown = isScaledDown(endpoint, item.revision(), now);
    const auto *scaling = m_config.modelScaling(endpoint.serves(0));
    const auto started = m_startedAt.find(endpoint.id());
    const auto isStillStarting
        = !scaledDown && scaling != nullptr && started != m_startedAt.end()
          && now - started->second < std::chrono::milliseconds(scaling->start_time_ms());
    fleet.candidates.push_back({.endpoint = &endpoint,
                                .revision = item.revision(),
                                .isScaledDown = scaledDown,
                                .isStarting = isStillStarting});
}

auto scaling_duty::restoreUnscaled(const fleet_table &fleets, decision_round &round) -> void
{
    for (const auto &[model, fleet] : fleets) {
        if (m_config.modelScaling(model) != nullptr)
            continue;
        for (auto item : fleet.candidates) {
            if (item.isScaledDown && m_observation(*item.endpoint).holdsOrderLease)
                addDecision(item, false,
                            {.model = model, .action = "start", .reason = "not_scaled"}, round);
        }
    }
}

auto scaling_duty::decideModel(const v1::ModelScaling &scaling, model_fleet &fleet,
                               decision_round &round) -> void
{
    auto &modelScaler = scalerOf(scaling);
    const auto sum = m_demand.sum(scaling.id(), round.now);
    const scaler_options defaults;
    const auto unmanaged
        = fleet.unmanaged * scaling.places_per_endpoint() * defaults.targetUtilization;
    const auto places = requiredPlaces(sum.paid)
                        + requiredPlaces(sum.lowestTier) * scaling.lowest_tier_percent() * percent;
    modelScaler.core.observe({.inFlight = std::max(0.0, places - unmanaged)}, round.now);
    declareDataCentres(fleet, modelScaler);

    std::vector<scaled_endpoint> running;
    for (const auto &item : fleet.candidates) {
        if (!item.isScaledDown)
            running.push_back(
                {.id = item.endpoint->id(),
                 .dataCentre = item.endpoint->data_centre(),
                 .phase = item.isStarting ? endpoint_phase::starting : endpoint_phase::running});
    }
    std::vector<scale_action> actions;
    modelScaler.core.decide(running, round.now, actions);
    scaling_decision decision{.model = scaling.id(),
                              .demand = places,
                              .entries = m_demand.liveEntryCount(round.now),
                              .running = static_cast<std::uint32_t>(running.size()),
                              .wanted = modelScaler.core.needed(
                                  optionsOf(scaling, m_options.reportInterval).startDuration)};
    for (const auto &action : actions)
        applyAction(action, fleet, decision, round);
}

auto scaling_duty::scalerOf(const v1::ModelScaling &scaling) -> model_scaler &
{
    const auto limits = scaling.SerializeAsString();
    const auto found = m_scalers.find(scaling.id());
    if (found != m_scalers.end() && found->second.limits == limits)
        return found->second;
    model_scaler modelScaler(optionsOf(scaling, m_options.reportInterval));
    modelScaler.limits = limits;
    return m_scalers.insert_or_assign(scaling.id(), std::move(modelScaler)).first->second;
}

auto scaling_duty::declareDataCentres(const model_fleet &fleet, model_scaler &modelScaler) -> void
{
    std::map<std::string, std::uint32_t> endpointCounts;
    for (const auto &item : fleet.candidates)
        ++endpointCounts[item.endpoint->data_centre()];
    for (const auto &[name, count] : endpointCounts)
        modelScaler.dataCentres.insert(name);
    for (const auto &name : modelScaler.dataCentres) {
        const auto *dataCentre = m_config.dataCentre(name);
        const auto isInService = dataCentre != nullptr && !dataCentre->out();
        modelScaler.core.setDataCentre(name, isInService, endpointCounts[name]);
    }
}

auto scaling_duty::applyAction(const scale_action &action, model_fleet &fleet,
                               scaling_decision &decision, decision_round &round) -> void
{
    // The scaler sees no endpoints that are scaled down, so it neither resumes nor stops any: the
    // order duty stops them, and `startOne` prefers those that still have work.
    if (const auto *start = std::get_if<start_endpoint_action>(&action))
        startOne(start->dataCentre, fleet, decision, round);
    else if (const auto *drain = std::get_if<drain_endpoint_action>(&action))
        drainOne(drain->id, fleet, decision, round);
}

auto scaling_duty::startOne(const std::string &dataCentre, model_fleet &fleet,
                            scaling_decision &decision, decision_round &round) -> void
{
    candidate *chosen = nullptr;
    endpoint_observation chosenObserved;
    decision.alternatives = describe(fleet);
    std::size_t listed = 0;
    for (auto &item : fleet.candidates) {
        if (!item.isScaledDown || item.endpoint->data_centre() != dataCentre)
            continue;
        const auto observed = m_observation(*item.endpoint);
        if (!observed.holdsOrderLease)
            return;
        if (listed++ < maxListedAlternatives)
            fmt::format_to(std::back_inserter(decision.alternatives), " {}:{}", item.endpoint->id(),
                           observed.load);
        if (chosen != nullptr
            && std::tuple(observed.load, observed.isUp)
                   <= std::tuple(chosenObserved.load, chosenObserved.isUp))
            continue;
        chosen = &item;
        chosenObserved = observed;
    }
    if (chosen == nullptr)
        return;
    decision.action = chosenObserved.isUp ? "resume" : "start";
    decision.reason = "demand";
    addDecision(*chosen, false, decision, round);
}

auto scaling_duty::drainOne(const std::string &id, model_fleet &fleet, scaling_decision &decision,
                            decision_round &round) -> void
{
    for (auto &item : fleet.candidates) {
        if (item.endpoint->id() != id || !m_observation(*item.endpoint).holdsOrderLease)
            continue;
        const auto *dataCentre = m_config.dataCentre(item.endpoint->data_centre());
        decision.action = "drain";
        const auto isOut = dataCentre == nullptr || dataCentre->out();
        decision.reason = isOut ? "data_centre_out" : "surplus";
        decision.alternatives = describe(fleet);
        addDecision(item, true, decision, round);
    }
}

auto scaling_duty::addDecision(candidate &chosen, bool scaledDown, scaling_decision decision,
                               decision_round &round) -> void
{
    if (round.decisions.size() >= m_options.maxDecisions)
        return;
    chosen.isScaledDown = scaledDown;
    const auto &endpoint = *chosen.endpoint;
    m_pending[endpoint.id()]
        = {.baseRevision = chosen.revision, .madeAt = round.now, .isScaledDown = scaledDown};
    decision.endpoint = endpoint.id();
    decision.dataCentre = endpoint.data_centre();
    auto &change = *decision.record.mutable_configuration_change();
    change.set_change_id(randomId());
    change.set_operator_(fmt::format("scaling/{}", m_options.entryName));
    auto &entity = *change.add_entities();
    entity.set_kind(v1::ENTITY_KIND_ENDPOINT);
    entity.set_id(endpoint.id());
    entity.set_base_revision(chosen.revision);
    auto &next = *entity.mutable_entity()->mutable_endpoint();
    next = endpoint;
    next.set_leaving(scaledDown);
    next.set_scaled_down(scaledDown);
    round.decisions.push_back(std::move(decision));
}

auto scaling_duty::describe(const model_fleet &fleet) const -> std::string
{
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> counts;
    for (const auto &item : fleet.candidates) {
        auto &[running, all] = counts[item.endpoint->data_centre()];
        running += item.isScaledDown ? 0 : 1;
        ++all;
    }
    std::string text;
    for (const auto &[name, count] : counts)
        fmt::format_to(std::back_inserter(text), "{}{}:{}/{}", text.empty() ? "" : " ", name,
                       count.first, count.second);
    return text;
}

} // namespace mustardline
