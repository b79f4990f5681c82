#pragma once

// Decides which managed endpoints of the scaled models run, by the demand of all entries.
//
//     scaling_duty scaling(config, sight, {.entryName = "entry-1"});
//     scaling.fold(offset, record, clock.now());        // the lease stream
//     for (auto &decision : scaling.tick(clock.now(), isAtHead))
//         append(decision.record);                      // to the configuration stream
//
// An endpoint that is not wanted is marked in the configuration as leaving and scaled down; one
// that is wanted has both marks taken away. All else follows from the mark as it does from an
// operator's word: entries and agents give it no new work once the change is in force, and the
// order duty stops it when it has none left, or starts it. So the log decides, a successor finds
// what was decided, and an endpoint that its operators made leaving is not touched.
//
// Every entry with duties keeps a scaler for each model that operators gave limits to
// (v1::ModelScaling), so a successor has its forecast ready, but acts only on data centres whose
// order lease it holds. Two holders of two data centres decide from the same records: how many are
// wanted and in which data centre by the reports, the limits and the configuration alone. What only
// the holder knows (load, the platform's list) chooses among the endpoints of its own data centre.
// Should two disagree while one lags behind, the worst is an endpoint too many or too few until the
// next decision: no endpoint has two writers, since each change names the revision it is based on,
// and marking an endpoint never ends work.
//
// Nothing is decided until this entry has read the reports at the head of the stream for as long as
// an entry may be silent; before that the sum could be too small, and capacity be taken away.

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
    // The interval at which entries report their demand.
    duration reportInterval = std::chrono::seconds(15);
    // After so long a change that was not read back is taken for lost. Until then it counts as
    // made.
    duration retryAfter = std::chrono::seconds(12);
    // Decisions at once; the others follow at the next time.
    std::size_t maxDecisions = 64;
};

// What the holder of a data centre's orders knows of one of its endpoints.
struct endpoint_sight
{
    // This entry holds the lease of the orders of its data centre.
    bool isMine = false;
    // By the platform's newest list.
    bool isUp = false;
    // Requests that its agent last reported; known only of one that is leaving.
    std::uint32_t load = 0;
};

struct scaling_decision
{
    // A change of the configuration, to append.
    v1::LogRecord record;
    std::string model;
    std::string dataCentre;
    std::string endpoint;
    // "start", "resume" or "drain".
    std::string_view action;
    std::string_view reason;
    // The data centres as NAME:RUNNING/ALL, and the endpoints that could have been chosen as
    // ID:LOAD.
    std::string alternatives;
    // Requests that endpoints are to be paid for, and endpoints that run and that are wanted.
    double demand = 0;
    // Entries whose reports the demand is the sum of.
    std::size_t entries = 0;
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
};

class scaling_duty
{
public:
    using sight_function = std::function<auto(const v1::Endpoint &)->endpoint_sight>;

    scaling_duty(const configuration &config, sight_function sight, scaling_duty_options options)
        : m_config(config), m_sight(std::move(sight)), m_options(std::move(options))
    {}

    // Takes a record of the lease stream.
    auto fold(std::uint64_t offset, const v1::LogRecord &record, time_point now) -> void
    {
        m_demand.apply(offset, record, now);
    }

    // Decides what is due. `isAtHead` says whether the lease stream is read to its end.
    [[nodiscard]] auto tick(time_point now, bool isAtHead) -> std::vector<scaling_decision>;

private:
    // A change that was not read back yet.
    struct pending_change
    {
        std::uint64_t baseRevision = 0;
        time_point madeAt{};
        bool isDown = false;
    };

    // An endpoint that scaling may start and stop.
    struct candidate
    {
        const v1::Endpoint *endpoint = nullptr;
        std::uint64_t revision = 0;
        // It is scaled down, or a change that says so is under way.
        bool isDown = false;
        bool isStarting = false;
    };

    struct model_fleet
    {
        std::vector<candidate> candidates;
        // Endpoints that operators run by themselves.
        std::uint32_t unmanaged = 0;
    };

    struct model_scaler
    {
        explicit model_scaler(scaler_options options) : core(options) {}

        scaler core;
        // The limits that it was made with.
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
    // All endpoints by the model that they serve.
    [[nodiscard]] auto survey(time_point now) -> fleet_table;
    [[nodiscard]] auto isDown(const v1::Endpoint &endpoint, std::uint64_t revision, time_point now)
        -> bool;
    auto addEndpoint(const v1::RevisedEntity &item, time_point now, fleet_table &fleets) -> void;
    // Takes the marks away where a model is not scaled any more.
    auto giveBack(const fleet_table &fleets, decision_round &round) -> void;
    auto decideModel(const v1::ModelScaling &scaling, model_fleet &fleet, decision_round &round)
        -> void;
    auto scalerOf(const v1::ModelScaling &scaling) -> model_scaler &;
    auto declareDataCentres(const model_fleet &fleet, model_scaler &row) -> void;
    auto carryOut(const scale_action &action, model_fleet &fleet, scaling_decision &decision,
                  decision_round &round) -> void;
    auto startOne(const std::string &dataCentre, model_fleet &fleet, scaling_decision &decision,
                  decision_round &round) -> void;
    auto drainOne(const std::string &id, model_fleet &fleet, scaling_decision &decision,
                  decision_round &round) -> void;
    // Adds the decision to mark the endpoint so.
    auto mark(candidate &chosen, bool down, scaling_decision decision, decision_round &round)
        -> void;
    [[nodiscard]] auto describe(const model_fleet &fleet) const -> std::string;

    const configuration &m_config;
    sight_function m_sight;
    scaling_duty_options m_options;
    demand_table m_demand;
    std::optional<time_point> m_atHeadSince;
    time_point m_decideAt{};
    std::map<std::string, model_scaler, std::less<>> m_scalers;
    std::map<std::string, pending_change, std::less<>> m_pending;
    // Endpoints that were seen scaled down, and when they were last seen to be wanted again.
    std::set<std::string, std::less<>> m_down;
    std::map<std::string, time_point, std::less<>> m_startedAt;
};

} // namespace mustardline
