#pragma once

// Measures this entry's demand for the models that are scaled and reports it once per interval.
//
//     demand_meter meter(config, {.interval = 15s});
//     meter.beginLook();                               // some times a second
//     for (...) meter.sawLive(model, tier, isWaiting);
//     meter.sawEnd(model, tier, result_code::queue_full);
//     if (auto record = meter.report(clock.now())) append(*record);
//
// Requests in flight and waiting are means over the looks of the interval. Without traffic nothing
// is reported, after one empty report that says so.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "coordination/configuration.h"
#include "log.pb.h"

namespace mustardline {

struct demand_meter_options
{
    duration interval = std::chrono::seconds(15);
};

class demand_meter
{
public:
    demand_meter(const configuration &config, demand_meter_options options)
        : m_config(config), m_options(options)
    {}

    // Begins a look at all live requests, each of which is then told by `sawLive`.
    auto beginLook() -> void { ++m_looks; }
    auto sawLive(const std::string &model, std::uint32_t tier, bool isWaiting) -> void;

    // A request ended with this result.
    auto sawEnd(const std::string &model, std::uint32_t tier, result_code code) -> void;

    // The report of the interval, if it is over and there is something to say.
    [[nodiscard]] auto report(time_point now) -> std::optional<v1::LogRecord>;

    // The report that this entry has no traffic any more, unless that is known.
    [[nodiscard]] auto endReport() -> std::optional<v1::LogRecord>;

private:
    // The figures of a model and tier; null if the model is not scaled.
    auto figures(const std::string &model, std::uint32_t tier) -> v1::TierDemand *;
    [[nodiscard]] auto emptyReport() const -> v1::LogRecord;

    const configuration &m_config;
    demand_meter_options m_options;
    std::optional<time_point> m_reportAt;
    std::uint32_t m_looks = 0;
    // Sums over the looks of the interval.
    std::map<std::string, v1::ModelDemand> m_models;
    // The newest report named a model.
    bool m_hasDemand = false;
};

} // namespace mustardline
