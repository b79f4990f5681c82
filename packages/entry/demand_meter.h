#pragma once

// Measures this entry process's demand for the models under scaling and reports it every interval.
//
//     demand_meter meter(config, {.interval = 15s});
//     meter.beginSample();                               // several times a second
//     for (...) meter.sampleRequest(model, tier, isWaiting);
//     meter.recordEnd(model, tier, result_code::queue_full);
//     if (auto record = meter.report(clock.now())) append(*record);
//
// Requests in flight and waiting are means over the samples of the interval. When traffic ends, one
// empty report follows, and then none until there is traffic again.

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

    // Begins a sample of all live requests; `sampleRequest` is then called for each of them.
    auto beginSample() -> void { ++m_samples; }
    auto sampleRequest(const std::string &model, std::uint32_t tier, bool isWaiting) -> void;

    // Counts a request that ended with this result.
    auto recordEnd(const std::string &model, std::uint32_t tier, result_code code) -> void;

    // The report of the interval, if the interval is over and there is demand to report.
    [[nodiscard]] auto report(time_point now) -> std::optional<v1::LogRecord>;

    // The empty report that marks the end of traffic; nothing if the last report was empty.
    [[nodiscard]] auto endReport() -> std::optional<v1::LogRecord>;

private:
    // The sums for a model and tier; null if the model is not under scaling.
    auto sumsFor(const std::string &model, std::uint32_t tier) -> v1::TierDemand *;
    [[nodiscard]] auto emptyReport() const -> v1::LogRecord;

    const configuration &m_config;
    demand_meter_options m_options;
    std::optional<time_point> m_reportAt;
    std::uint32_t m_samples = 0;
    // Sums over the samples of the interval.
    std::map<std::string, v1::ModelDemand> m_models;
    // Whether the last report named a model.
    bool m_hasDemand = false;
};

} // namespace mustardline
