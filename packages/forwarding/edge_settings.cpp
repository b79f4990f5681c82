#include "forwarding/edge_settings.h"

#include <csignal>
#include <thread>

#include <fmt/format.h>

#include "base/settings_reader.h"
#include "net/held_signals.h"

namespace mustardline {

namespace {

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t maxMilliseconds = 3'600'000;
constexpr double minSeconds = 0.001;
constexpr double maxSeconds = 3600;
constexpr std::int64_t maxColdSlack = 10'000;
constexpr std::int64_t maxMegabytes = 1 << 20;
constexpr std::int64_t maxDescriptors = 1 << 20;
constexpr unsigned bytesPerMegabyteLog2 = 20;

// Parses IP:PORT; the first failure is stored in `failure`.
auto parseAddressField(std::string_view name, std::string_view text, std::optional<error> &failure)
    -> socket_address
{
    auto address = parseAddress(text);
    if (address.port == 0 && !failure) {
        failure = error{.code = result_code::settings_out_of_range,
                        .message = fmt::format("{} is \"{}\"; it must be IP:PORT", name, text)};
    }
    return address;
}

auto readAddress(settings_reader &reader, std::string_view name, std::optional<error> &failure)
    -> socket_address
{
    return parseAddressField(name, reader.text(name), failure);
}

auto readSeconds(settings_reader &reader, std::string_view name, duration fallback) -> duration
{
    const auto seconds
        = reader.number(name, {.lowest = minSeconds,
                               .highest = maxSeconds,
                               .fallback = std::chrono::duration<double>(fallback).count()});
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

auto readFields(settings_reader &reader, std::optional<error> &failure) -> edge_settings
{
    edge_settings settings;
    settings.name = reader.text("name");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = readAddress(reader, "callers", failure);
    settings.readiness = readAddress(reader, "readiness", failure);
    settings.peers = readAddress(reader, "peers", failure);
    for (const auto &seed : reader.texts("seeds"))
        settings.seeds.push_back(parseAddressField("seeds", seed, failure));
    settings.metricsPort = static_cast<std::uint16_t>(
        reader.integer("metrics_port", {.lowest = 0, .highest = maxPort, .fallback = 0}));
    settings.logService = readAddress(reader, "log_service", failure);
    if (const auto service = reader.optionalText("duty_service"))
        settings.dutyService = parseAddressField("duty_service", *service, failure);
    settings.retryRatio = reader.number(
        "repeat_ratio", {.lowest = 0, .highest = 1, .fallback = settings.retryRatio});
    settings.retrySlack
        = reader.number("repeat_slack", {.lowest = 0, .fallback = settings.retrySlack});
    settings.retryWindow = readSeconds(reader, "repeat_window_s", settings.retryWindow);
    settings.coldSlack = static_cast<std::uint32_t>(reader.integer(
        "cold_slack", {.lowest = 1, .highest = maxColdSlack, .fallback = settings.coldSlack}));
    const auto megabytes = static_cast<std::uint64_t>(reader.integer(
        "memory_mb", {.lowest = 0, .highest = maxMegabytes, .fallback = 0, .mayBeUnfilled = true}));
    settings.memoryBytes = megabytes << bytesPerMegabyteLog2;
    settings.maxDescriptors = static_cast<std::uint64_t>(reader.integer(
        "max_descriptors",
        {.lowest = 0, .highest = maxDescriptors, .fallback = 0, .mayBeUnfilled = true}));
    settings.stopGrace = readSeconds(reader, "stop_grace_s", settings.stopGrace);
    settings.registrationInterval = std::chrono::milliseconds(reader.integer(
        "registration_interval_ms",
        {.lowest = 0, .highest = maxMilliseconds, .fallback = 0, .mayBeUnfilled = true}));
    settings.usageWindow = readSeconds(reader, "usage_window_s", settings.usageWindow);
    settings.usageDue = readSeconds(reader, "usage_due_s", settings.usageDue);
    const auto leaseTermMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.leaseTerm).count();
    settings.leaseTerm = std::chrono::milliseconds(reader.integer(
        "lease_term_ms", {.lowest = 1, .highest = maxMilliseconds, .fallback = leaseTermMs}));
    settings.exposureShare = reader.number(
        "exposure_share",
        {.lowest = 0, .highest = 1, .fallback = settings.exposureShare, .mayBeUnfilled = true});
    settings.exposureSlack = reader.number(
        "exposure_slack", {.lowest = 0, .fallback = settings.exposureSlack, .mayBeUnfilled = true});
    const auto rollbackMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.rollbackTime).count();
    settings.rollbackTime = std::chrono::milliseconds(reader.integer(
        "rollback_ms",
        {.lowest = 1, .highest = maxMilliseconds, .fallback = rollbackMs, .mayBeUnfilled = true}));
    return settings;
}

// Whether the file may be in the middle of a write: a part of a JSON object is not valid JSON.
auto isNotWhole(const result<edge_settings> &settings) -> bool
{
    const auto *failure = failed(settings);
    return failure != nullptr
           && (failure->code == result_code::settings_unreadable
               || failure->code == result_code::settings_malformed);
}

} // namespace

auto edgeSettingsFields() -> std::vector<settings_description>
{
    settings_reader reader(nlohmann::json::object());
    std::optional<error> failure;
    static_cast<void>(readFields(reader, failure));
    const auto fields = reader.fields();
    return {fields.begin(), fields.end()};
}

auto readEdgeSettings(const std::string &fileName) -> result<edge_settings>
{
    const auto document = readJsonFile(fileName);
    if (const auto *failure = failed(document))
        return *failure;
    settings_reader reader(std::get<nlohmann::json>(document), {.filledIn = true});
    std::optional<error> failure;
    auto settings = readFields(reader, failure);
    if (const auto outcome = reader.finish(); failed(outcome) != nullptr)
        return *failed(outcome);
    if (failure)
        return *failure;
    return settings;
}

auto awaitEdgeSettings(const std::string &fileName) -> result<edge_settings>
{
    // A file is written within milliseconds; the rest is for a busy VM.
    constexpr duration waitLimit = std::chrono::seconds(3);
    constexpr duration pause = std::chrono::milliseconds(50);
    const system_runtime_clock clock;
    const auto end = clock.now() + waitLimit;
    auto settings = readEdgeSettings(fileName);
    for (; isNotWhole(settings) && clock.now() < end && !hasArrived(SIGTERM);
         settings = readEdgeSettings(fileName)) {
        std::this_thread::sleep_for(pause);
    }
    return settings;
}

} // namespace mustardline
