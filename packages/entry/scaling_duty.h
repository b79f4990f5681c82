#pragma once

// Decides which managed endpoints of the scaled models run, by the demand of all entry processes.
//
//     scaling_duty scaling(config, observation, {.entryName = "entry-1"});
//     scaling.applyRecord(offset, record, clock.now()); // the lease stream
//     for (auto &decision : scaling.tick(clock.now(), isAtHead))
//         append(decision.record);                      // to the configuration stream
//
// An endpoint that is not needed is marked in the configuration as leaving and scaled down; one
// that is needed has both marks removed. The rest follows from the marks as for an endpoint that
// operators marked: entry processes and agents give it no new work once the change is in force, and
// the order duty stops it when it has no work left, or starts it. So decisions are made durable by
// the log and found there by a successor, and an endpoint that operators marked as leaving is not
// touched.
//
// Every entry process with duties keeps a scaler for each model that has limits (v1::ModelScaling),
// so that a successor has its forecast ready, but acts only on data centres whose order lease it
// holds. Holders of different data centres decide from the same records: how many endpoints are
// needed, and in which data centre, depends only on the demand reports, the limits and the
// configuration. State that only the holder knows (load, the platform's list) selects among the
// endpoints of its own data centre. If one holder lags behind and they disagree, there may be one
// endpoint too many or too few until the next decision: each change names the revision that it is
// based on, so an endpoint never has two writers, and marking an endpoint never interrupts work.
//
// No decision is made until this entry process has been at the head of the stream for the time
// after which a silent entry process is ignored. Before that the sum of the reports could be too
// small, and capacity would be taken away.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"
#include "coordination/demand_table.h"
#include "policy/scaler.h"

namespace mustardline {

struct scaling_duty_options
{
    std::string entryName;
    // The interval at which entry processes report their demand.
    duration reportInterval = std::chrono::seconds(15);
    // A change that was not read back within this time is taken to be lost; until then it counts as
    // made.
    duration retryAfter = std::chrono::seconds(12);
    // Decisions in one round; the rest follow in the next one.
    std::size_t maxDecisions = 64;
};

// What the holder of a data centre's order lease knows of one of its endpoints.
struct endpoint_observation
{
    // This entry process holds the order lease of the endpoint's data centre.
    bool holdsOrderLease = false;
    // The platform's newest list shows it as starting or running.
    bool isUp = false;
    // Requests that its agent last reported; known only if the endpoint is leaving.
    std::uint32_t load = 0;
};

struct scaling_decision
{
    // A configuration change, to append.
    v1::LogRecord record;
    std::string model;
    std::string dataCentre;
    std::string endpoint;
    // "start", "resume" or "drain".
    std::string_view action;
    std::string_view reason;
    // For the log line: data centres as NAME:RUNNING/ALL, and the endpoints considered as ID:LOAD.
    std::string alternatives;
    // Demand in places (concurrent requests), and the numbers of running and of needed endpoints.
    double demand = 0;
    // Entry processes whose reports are summed up in the demand.
    std::size_t entries = 0;
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
};

class scaling_duty
{
public:
    using observation_function = std::function<auto(const v1::Endpoint &)->endpoint_observation>;

    scaling_duty(const configuration &config, observation_function observation,
                 scaling_duty_options options)
        : m_config(config), m_observation(std::move(observation)), m_options(std::move(options))
    {}

    // Applies a record of the lease stream.
    auto applyRecord(std::uint64_t offset, const v1::LogRecord &record, time_point now) -> void
    {
        m_demand.apply(offset, record, now);
    }

    // Returns the decisions that are due. `isAtHead`: the lease stream has been read to its end.
    [[nodiscard]] auto tick(time_point now, bool isAtHead) -> std::vector<scaling_decision>;

private:
    // A change that has not been read back yet.
    struct pending_change
    {
        std::uint64_t baseRevision = 0;
        time_point madeAt{};
        bool isScaledDown = false;
    };

    // An endpoint that scaling may start and stop.
    struct candidate
    {
        const v1::Endpoint *endpoint = nullptr;
        std::uint64_t revision = 0;
        // It is scaled down, or will be by a pending change.
        bool isScaledDown = false;
        bool isStarting = false;
    };

    struct model_fleet
    {
        std::vector<candidate> candidates;
        // Running endpoints that scaling does not start and stop.
        std::uint32_t unmanaged = 0;
    };

    struct model_scaler
    {
        explicit model_scaler(scaler_options options) : core(options) {}

        scaler core;
        // The serialized limits that `core` was made with.
        std::string limits;
        std::set<std::string> dataCentres;
    };

    using fleet_table = std::map<std::string, model_fleet, std::less<>>;

    struct decision_round
    {
        time_point now;
        std::vector<scaling_decision> decisions;
    };

    [[nodiscard]] auto isReady(time_point now, bool isAtHead) -> bool;
    // Groups the endpoints by the model that they serve.
    [[nodiscard]] auto collectFleets(time_point now) -> fleet_table;
    [[nodiscard]] auto isScaledDown(const v1::Endpoint &endpoint, std::uint64_t revision,
                                    time_point now) -> bool;
    auto addEndpoint(const v1::RevisedEntity &item, time_point now, fleet_table &fleets) -> void;
    // Removes the marks from endpoints of models that are no longer scaled.
    auto restoreUnscaled(const fleet_table &fleets, decision_round &round) -> void;
    auto decideModel(const v1::ModelScaling &scaling, model_fleet &fleet, decision_round &round)
        -> void;
    auto scalerOf(const v1::ModelScaling &scaling) -> model_scaler &;
    auto declareDataCentres(const model_fleet &fleet, model_scaler &modelScaler) -> void;
    auto applyAction(const scale_action &action, model_fleet &fleet, scaling_decision &decision,
                     decision_round &round) -> void;
    auto startOne(const std::string &dataCentre, model_fleet &fleet, scaling_decision &decision,
                  decision_round &round) -> void;
    auto drainOne(const std::string &id, model_fleet &fleet, scaling_decision &decision,
                  decision_round &round) -> void;
    // Adds a decision that sets or removes the endpoint's marks.
    auto addDecision(candidate &chosen, bool scaledDown, scaling_decision decision,
                     decision_round &round) -> void;
    [[nodiscard]] auto describe(const model_fleet &fleet) const -> std::string;

    const configuration &m_config;
    observation_function m_observation;
    scaling_duty_options m_options;
    demand_table m_demand;
    std::optional<time_point> m_atHeadSince;
    time_point m_decideAt{};
    std::map<std::string, model_scaler, std::less<>> m_scalers;
    std::map<std::string, pending_change, std::less<>> m_pending;
    // Endpoints last seen scaled down, and the times at which endpoints were found scaled up again.
    std::set<std::string, std::less<>> m_scaledDown;
    std::map<std::string, time_point, std::less<>> m_startedAt;
};

} // namespace mustardline
