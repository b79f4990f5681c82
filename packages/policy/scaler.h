#pragma once

// Decides how many endpoints of a model should run in each data centre.
//
// An endpoint costs money while it runs and takes long to start, and the bandwidth of the weight
// store limits how many can start at once. So the scaler forecasts the demand for the duration of a
// start, starts endpoints early and stops them late: a surplus must last for some time before an
// endpoint is drained, and only an idle endpoint is stopped. A data centre that is out of service
// gets no endpoints; the others take over its demand, and it gets endpoints again, as needed, when
// it is back in service.
//
//     scaler core({.placesPerEndpoint = 16});
//     core.setDataCentre("tuzla", true);
//     core.observe({.inFlight = 90, .waiting = 4}, now);
//     std::vector<scale_action> actions;
//     core.decide(endpoints, now, actions);
//
// One scaler serves one model. It keeps no list of endpoints: the caller passes what the platform
// and the agents report, so that no state has to be handed over when the lease moves to another
// process. An action that has not taken effect yet is issued again as long as its conditions hold.

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace mustardline {

struct scaler_options
{
    // Requests that one endpoint runs at once.
    std::uint32_t placesPerEndpoint = 16;
    // The fraction of the places that the demand should fill.
    double targetUtilization = 0.9;
    // Time from the start action to the first request served at full speed.
    duration startDuration = std::chrono::seconds(60);
    // Endpoints that may start at the same time, limited by the bandwidth of the weight store.
    std::uint32_t maxConcurrentStarts = 2;
    // How long a surplus must last before an endpoint is drained.
    duration surplusTime = std::chrono::seconds(30);
    // Bounds of the number of endpoints wanted in all data centres together.
    std::uint32_t least = 1;
    std::uint32_t most = 1000;
};

// The demand for the model that the entry processes saw since the last observation, in requests.
// The lowest tier is counted only as far as endpoints are to be paid for it.
struct demand_observation
{
    double inFlight = 0;
    double waiting = 0;
};

enum class endpoint_phase : std::uint8_t { starting, running, draining };

struct scaled_endpoint
{
    std::string_view id;
    std::string_view dataCentre;
    endpoint_phase phase = endpoint_phase::running;
    // Requests running or waiting there.
    std::uint32_t load = 0;
};

struct start_endpoint_action
{
    std::string dataCentre;
};

// Send it no new requests; it is stopped when it is idle.
struct drain_endpoint_action
{
    std::string id;
};

// Send requests to a draining endpoint again, which is cheaper and faster than starting another.
struct resume_endpoint_action
{
    std::string id;
};

struct stop_endpoint_action
{
    std::string id;
};

using scale_action = std::variant<start_endpoint_action, drain_endpoint_action,
                                  resume_endpoint_action, stop_endpoint_action>;

class scaler
{
public:
    static constexpr std::uint32_t unlimitedRoom = std::numeric_limits<std::uint32_t>::max();

    explicit scaler(scaler_options options) : m_options(options) {}

    // Adds a data centre, or changes whether it is in service. `room` is the number of endpoints of
    // the model that can exist there; once that many are started, other data centres are used.
    auto setDataCentre(std::string_view name, bool isInService, std::uint32_t room = unlimitedRoom)
        -> void;

    auto observe(const demand_observation &demand, time_point now) -> void;

    // Appends the actions to take now, given all endpoints of the model.
    auto decide(std::span<const scaled_endpoint> endpoints, time_point now,
                std::vector<scale_action> &actions) -> void;

    // Returns the number of endpoints needed for the demand that is forecast for `ahead` after the
    // last observation.
    [[nodiscard]] auto needed(duration ahead) const -> std::uint32_t;

private:
    struct data_centre_row
    {
        std::string name;
        bool isInService = true;
        std::uint32_t room = unlimitedRoom;
    };

    [[nodiscard]] auto isInService(std::string_view dataCentre) const -> bool;
    // Returns the index of the data centre in service that has room and the fewest endpoints; the
    // number of rows if there is none.
    [[nodiscard]] auto leastPopulated(std::span<const std::uint32_t> perDataCentre) const
        -> std::size_t;
    auto drainOutOfService(std::span<const scaled_endpoint> endpoints,
                           std::vector<scale_action> &actions) const -> void;
    auto stopIdle(std::span<const scaled_endpoint> endpoints,
                  std::vector<scale_action> &actions) const -> void;
    auto grow(std::span<const scaled_endpoint> endpoints, std::uint32_t missing,
              std::vector<scale_action> &actions) const -> void;
    auto shrink(std::span<const scaled_endpoint> endpoints,
                std::vector<scale_action> &actions) const -> void;
    // Returns the number of endpoints in each data centre, without those that are draining.
    [[nodiscard]] auto endpointCounts(std::span<const scaled_endpoint> endpoints) const
        -> std::vector<std::uint32_t>;

    scaler_options m_options;
    std::vector<data_centre_row> m_dataCentres;
    // Demand in places, its change per second, and the mean absolute deviation from the forecast.
    double m_level = 0;
    double m_trend = 0;
    double m_deviation = 0;
    bool m_hasLevel = false;
    time_point m_observedAt{};
    // Time since which more endpoints run than needed; valid if `m_hasSurplus` is set.
    time_point m_surplusSince{};
    bool m_hasSurplus = false;
};

} // namespace mustardline
