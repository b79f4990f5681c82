#pragma once

// How many endpoints of a model should run in each data centre.
//
// Each endpoint costs money while it runs and takes long to start, and the weight store bounds how
// many start at once. So the scaler forecasts the demand as far ahead as a start takes, starts
// early and stops late: a surplus must last before an endpoint is drained, and only an empty one is
// stopped. A data centre that is out gets none; its part moves to the others, and it is filled
// again by need when it is back.
//
//     scaler core({.placesPerEndpoint = 16});
//     core.setDataCentre("tuzla", true);
//     core.observe({.inFlight = 90, .waiting = 4}, now);
//     std::vector<scale_action> actions;
//     core.decide(endpoints, now, actions);
//
// One scaler serves one model. It keeps no list of endpoints: the caller passes what the platform
// and the agents report, so that nothing has to be agreed between two scalers when a lease moves.
// An order that has no effect yet is given again under the same terms.

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
    // Part of the places that demand should fill.
    double targetUse = 0.9;
    // From the order to the first request served at full speed.
    duration startTime = std::chrono::seconds(60);
    // Endpoints that may start at once, by the rate of the weight store.
    std::uint32_t startsAtOnce = 2;
    // A surplus must last this long before an endpoint is drained.
    duration surplusTime = std::chrono::seconds(30);
    // Never fewer endpoints than this while any data centre is in.
    std::uint32_t least = 1;
    // Never more than this.
    std::uint32_t most = 1000;
};

// What the entries saw of the demand for the model since the last observation, in requests. The
// lowest tier is counted only as far as it is to be paid for.
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
    // Requests that run or wait there.
    std::uint32_t load = 0;
};

struct start_endpoint_action
{
    std::string dataCentre;
};

// Give it no new work; it is stopped when it is empty.
struct drain_endpoint_action
{
    std::string id;
};

// Give a draining endpoint work again: cheaper and faster than starting another.
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

    // Declares a data centre, or takes it out or back in. `room` is how many endpoints of the model
    // it can have, started or not; where all have been started, another data centre is tried.
    auto setDataCentre(std::string_view name, bool isIn, std::uint32_t room = unlimitedRoom)
        -> void;

    auto observe(const demand_observation &demand, time_point now) -> void;

    // Appends what should be ordered now, given all endpoints of the model.
    auto decide(std::span<const scaled_endpoint> endpoints, time_point now,
                std::vector<scale_action> &actions) -> void;

    // Endpoints needed for the demand forecast for `ahead` from the last observation.
    [[nodiscard]] auto needed(duration ahead) const -> std::uint32_t;

private:
    struct data_centre_row
    {
        std::string name;
        bool isIn = true;
        std::uint32_t room = unlimitedRoom;
    };

    [[nodiscard]] auto isIn(std::string_view dataCentre) const -> bool;
    // The data centre with room that has fewest endpoints; the number of rows if there is none.
    [[nodiscard]] auto emptiest(std::span<const std::uint32_t> perDataCentre) const -> std::size_t;
    auto leaveDataCentresOut(std::span<const scaled_endpoint> endpoints,
                             std::vector<scale_action> &actions) const -> void;
    auto stopEmpty(std::span<const scaled_endpoint> endpoints,
                   std::vector<scale_action> &actions) const -> void;
    auto grow(std::span<const scaled_endpoint> endpoints, std::uint32_t missing,
              std::vector<scale_action> &actions) const -> void;
    auto shrink(std::span<const scaled_endpoint> endpoints,
                std::vector<scale_action> &actions) const -> void;
    // Endpoints that have or will have work in each data centre that is in.
    [[nodiscard]] auto counts(std::span<const scaled_endpoint> endpoints) const
        -> std::vector<std::uint32_t>;

    scaler_options m_options;
    std::vector<data_centre_row> m_dataCentres;
    // Demand in places, its change per second, and its mean deviation from the forecast.
    double m_level = 0;
    double m_trend = 0;
    double m_deviation = 0;
    bool m_hasLevel = false;
    time_point m_observedAt{};
    // Since when more endpoints ran than needed; zero if not.
    time_point m_surplusSince{};
    bool m_hasSurplus = false;
};

} // namespace mustardline
