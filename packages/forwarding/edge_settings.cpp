#include "forwarding/edge_settings.h"

#include <fmt/format.h>

#include "base/settings_reader.h"

namespace mustardline {

namespace {

constexpr std::int64_t highestPort = 65535;
constexpr std::int64_t highestMilliseconds = 3'600'000;
constexpr std::int64_t highestColdSlack = 10'000;

// An address field, which must be IP:PORT; the first fault goes to `fault`.
auto readAddress(settings_reader &reader, std::string_view name, std::optional<error> &fault)
    -> socket_address
{
    const auto text = reader.text(name);
    auto address = parseAddress(text);
    if (address.port == 0 && !fault) {
        fault = error{.code = result_code::settings_out_of_range,
                      .message = fmt::format("{} is \"{}\"; it must be IP:PORT", name, text)};
    }
    return address;
}

auto readMilliseconds(settings_reader &reader, std::string_view name) -> duration
{
    return std::chrono::milliseconds(
        reader.integer(name, {.lowest = 1, .highest = highestMilliseconds}));
}

auto readFields(settings_reader &reader, std::optional<error> &fault) -> edge_settings
{
    edge_settings settings;
    settings.name = reader.text("name");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = readAddress(reader, "callers", fault);
    settings.readiness = readAddress(reader, "readiness", fault);
    settings.peers = readAddress(reader, "peers", fault);
    for (const auto &seed : reader.texts("seeds")) {
        const auto address = parseAddress(seed);
        if (address.port == 0 && !fault) {
            fault = error{.code = result_code::settings_out_of_range,
                          .message = fmt::format("seeds holds \"{}\"; it must be IP:PORT", seed)};
        }
        settings.seeds.push_back(address);
    }
    settings.metricsPort = static_cast<std::uint16_t>(
        reader.integer("metrics_port", {.lowest = 1, .highest = highestPort}));
    settings.logService = readAddress(reader, "log_service", fault);
    settings.dutyService = readAddress(reader, "duty_service", fault);
    settings.reportsUsage = reader.boolean("reports_usage", false);
    settings.repeatRatio = reader.number("repeat_ratio", {.lowest = 0, .highest = 1});
    settings.repeatSlack = reader.number("repeat_slack", {.lowest = 0});
    settings.repeatWindow = readMilliseconds(reader, "repeat_window_ms");
    settings.coldSlack = static_cast<std::uint32_t>(
        reader.integer("cold_slack", {.lowest = 1, .highest = highestColdSlack}));
    settings.stopGrace = readMilliseconds(reader, "stop_grace_ms");
    settings.usageWindow = readMilliseconds(reader, "usage_window_ms");
    settings.usageDue = readMilliseconds(reader, "usage_due_ms");
    settings.leaseTerm = readMilliseconds(reader, "lease_term_ms");
    return settings;
}

} // namespace

auto edgeSettingsFields() -> std::vector<settings_description>
{
    settings_reader reader(nlohmann::json::object());
    std::optional<error> fault;
    static_cast<void>(readFields(reader, fault));
    const auto fields = reader.fields();
    return {fields.begin(), fields.end()};
}

auto readEdgeSettings(const std::string &fileName) -> result<edge_settings>
{
    const auto document = readJsonFile(fileName);
    if (const auto *fault = failed(document))
        return *fault;
    settings_reader reader(std::get<nlohmann::json>(document));
    std::optional<error> fault;
    auto settings = readFields(reader, fault);
    if (const auto outcome = reader.finish(); failed(outcome) != nullptr)
        return *failed(outcome);
    if (fault)
        return *fault;
    return settings;
}

} // namespace mustardline
