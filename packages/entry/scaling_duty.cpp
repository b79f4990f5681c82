#include "entry/scaling_duty.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

#include "base/hashing.h"

namespace mustardline {

namespace {

constexpr double percent = 0.01;
constexpr std::uint32_t usualStartsAtOnce = 2;
constexpr int decisionsPerInterval = 3;
constexpr std::size_t alternativesListed = 8;

// Requests that places are needed for. A refused one would have stayed for as long as those that
// were served: by Little's law in flight times interval / finished, so its part of the mean in
// flight is in flight / finished. Where none was served, one place shows how long they take.
auto placesOf(const tier_demand &demand) -> double
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
    // What is decided on is late: a mean by half an interval, its report by up to one, the decision
    // by a third, and the change by the time that the log takes. The forecast reaches that much
    // further.
    options.startDuration = std::chrono::milliseconds(scaling.start_time_ms()) + reportInterval * 2;
    options.maxConcurrentStarts
        = scaling.starts_at_once() == 0 ? usualStartsAtOnce : scaling.starts_at_once();
    // What is cheap to start again is soon drained; but not by one report alone.
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
    auto fleets = survey(now);
    giveBack(fleets, round);
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_MODEL_SCALING)) {
        const auto &scaling = item->entity().model_scaling();
        decideModel(scaling, fleets[scaling.id()], round);
    }
    return std::move(round.decisions);
}

auto scaling_duty::isReady(time_point now, bool isAtHead) -> bool
{
    if (!isAtHead) {
        // What is forecast from before the gap is not to be trusted after it.
        m_atHeadSince.reset();
        m_scalers.clear();
        return false;
    }
    if (!m_atHeadSince)
        m_atHeadSince = now;
    return now - *m_atHeadSince >= m_options.reportInterval * demand_table::reportTimeoutIntervals;
}

auto scaling_duty::survey(time_point now) -> fleet_table
{
    std::erase_if(m_pending, [&](const auto &item) {
        return now - item.second.madeAt >= m_options.retryAfter;
    });
    fleet_table fleets;
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT))
        addEndpoint(*item, now, fleets);
    return fleets;
}

auto scaling_duty::isDown(const v1::Endpoint &endpoint, std::uint64_t revision, time_point now)
    -> bool
{
    const auto pending = m_pending.find(endpoint.id());
    const auto isPending = pending != m_pending.end() && pending->second.baseRevision == revision;
    const auto down = isPending ? pending->second.isDown : endpoint.scaled_down();
    if (down)
        m_down.insert(endpoint.id());
    else if (m_down.erase(endpoint.id()) > 0)
        m_startedAt[endpoint.id()] = now;
    return down;
}

auto scaling_duty::addEndpoint(const v1::RevisedEntity &item, time_point now, fleet_table &fleets)
    -> void
{
    const auto &endpoint = item.entity().endpoint();
    // Capacity that several models share belongs to none of them, and what operators let leave is
    // theirs.
    const auto isTheirs = endpoint.leaving() && !endpoint.scaled_down();
    if (endpoint.serves_size() != 1 || isTheirs)
        return;
    auto &fleet = fleets[endpoint.serves(0)];
    if (!endpoint.managed()) {
        const auto *dataCentre = m_config.dataCentre(endpoint.data_centre());
        fleet.unmanaged += dataCentre != nullptr && !dataCentre->out() ? 1 : 0;
        return;
    }
    const auto down = isDown(endpoint, item.revision(), now);
    const auto *scaling = m_config.modelScaling(endpoint.serves(0));
    const auto started = m_startedAt.find(endpoint.id());
    const auto starts
        = !down && scaling != nullptr && started != m_startedAt.end()
          && now - started->second < std::chrono::milliseconds(scaling->start_time_ms());
    fleet.candidates.push_back(
        {.endpoint = &endpoint, .revision = item.revision(), .isDown = down, .isStarting = starts});
}

auto scaling_duty::giveBack(const fleet_table &fleets, decision_round &round) -> void
{
    for (const auto &[model, fleet] : fleets) {
        if (m_config.modelScaling(model) != nullptr)
            continue;
        for (auto item : fleet.candidates) {
            if (item.isDown && m_sight(*item.endpoint).isMine)
                mark(item, false, {.model = model, .action = "start", .reason = "not_scaled"},
                     round);
        }
    }
}

auto scaling_duty::decideModel(const v1::ModelScaling &scaling, model_fleet &fleet,
                               decision_round &round) -> void
{
    auto &row = scalerOf(scaling);
    const auto sum = m_demand.sum(scaling.id(), round.now);
    const scaler_options defaults;
    const auto unmanaged
        = fleet.unmanaged * scaling.places_per_endpoint() * defaults.targetUtilization;
    const auto places
        = placesOf(sum.paid) + placesOf(sum.lowestTier) * scaling.lowest_tier_percent() * percent;
    row.core.observe({.inFlight = std::max(0.0, places - unmanaged)}, round.now);
    declareDataCentres(fleet, row);

    std::vector<scaled_endpoint> running;
    for (const auto &item : fleet.candidates) {
        if (!item.isDown)
            running.push_back(
                {.id = item.endpoint->id(),
                 .dataCentre = item.endpoint->data_centre(),
                 .phase = item.isStarting ? endpoint_phase::starting : endpoint_phase::running});
    }
    std::vector<scale_action> actions;
    row.core.decide(running, round.now, actions);
    scaling_decision decision{
        .model = scaling.id(),
        .demand = places,
        .entries = m_demand.liveEntryCount(round.now),
        .running = static_cast<std::uint32_t>(running.size()),
        .wanted = row.core.needed(optionsOf(scaling, m_options.reportInterval).startDuration)};
    for (const auto &action : actions)
        carryOut(action, fleet, decision, round);
}

auto scaling_duty::scalerOf(const v1::ModelScaling &scaling) -> model_scaler &
{
    const auto limits = scaling.SerializeAsString();
    const auto found = m_scalers.find(scaling.id());
    if (found != m_scalers.end() && found->second.limits == limits)
        return found->second;
    model_scaler row(optionsOf(scaling, m_options.reportInterval));
    row.limits = limits;
    return m_scalers.insert_or_assign(scaling.id(), std::move(row)).first->second;
}

auto scaling_duty::declareDataCentres(const model_fleet &fleet, model_scaler &row) -> void
{
    std::map<std::string, std::uint32_t> room;
    for (const auto &item : fleet.candidates)
        ++room[item.endpoint->data_centre()];
    for (const auto &[name, count] : room)
        row.dataCentres.insert(name);
    for (const auto &name : row.dataCentres) {
        const auto *dataCentre = m_config.dataCentre(name);
        const auto isIn = dataCentre != nullptr && !dataCentre->out();
        row.core.setDataCentre(name, isIn, room[name]);
    }
}

auto scaling_duty::carryOut(const scale_action &action, model_fleet &fleet,
                            scaling_decision &decision, decision_round &round) -> void
{
    // The scaler is not told of endpoints that are down, so it neither resumes nor stops any: the
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
    endpoint_sight chosenSight;
    decision.alternatives = describe(fleet);
    std::size_t listed = 0;
    for (auto &item : fleet.candidates) {
        if (!item.isDown || item.endpoint->data_centre() != dataCentre)
            continue;
        const auto sight = m_sight(*item.endpoint);
        if (!sight.isMine)
            return;
        if (listed++ < alternativesListed)
            fmt::format_to(std::back_inserter(decision.alternatives), " {}:{}", item.endpoint->id(),
                           sight.load);
        if (chosen != nullptr
            && std::tuple(sight.load, sight.isUp) <= std::tuple(chosenSight.load, chosenSight.isUp))
            continue;
        chosen = &item;
        chosenSight = sight;
    }
    if (chosen == nullptr)
        return;
    decision.action = chosenSight.isUp ? "resume" : "start";
    decision.reason = "demand";
    mark(*chosen, false, decision, round);
}

auto scaling_duty::drainOne(const std::string &id, model_fleet &fleet, scaling_decision &decision,
                            decision_round &round) -> void
{
    for (auto &item : fleet.candidates) {
        if (item.endpoint->id() != id || !m_sight(*item.endpoint).isMine)
            continue;
        const auto *dataCentre = m_config.dataCentre(item.endpoint->data_centre());
        decision.action = "drain";
        const auto isOut = dataCentre == nullptr || dataCentre->out();
        decision.reason = isOut ? "data_centre_out" : "surplus";
        decision.alternatives = describe(fleet);
        mark(item, true, decision, round);
    }
}

auto scaling_duty::mark(candidate &chosen, bool down, scaling_decision decision,
                        decision_round &round) -> void
{
    if (round.decisions.size() >= m_options.maxDecisions)
        return;
    chosen.isDown = down;
    const auto &endpoint = *chosen.endpoint;
    m_pending[endpoint.id()]
        = {.baseRevision = chosen.revision, .madeAt = round.now, .isDown = down};
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
    next.set_leaving(down);
    next.set_scaled_down(down);
    round.decisions.push_back(std::move(decision));
}

auto scaling_duty::describe(const model_fleet &fleet) const -> std::string
{
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> counts;
    for (const auto &item : fleet.candidates) {
        auto &[running, all] = counts[item.endpoint->data_centre()];
        running += item.isDown ? 0 : 1;
        ++all;
    }
    std::string text;
    for (const auto &[name, count] : counts)
        fmt::format_to(std::back_inserter(text), "{}{}:{}/{}", text.empty() ? "" : " ", name,
                       count.first, count.second);
    return text;
}

} // namespace mustardline
