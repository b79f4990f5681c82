#include "forwarding/edge_settings.h"

#include <csignal>
#include <fstream>
#include <sstream>
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

constexpr std::string_view addressForm = "IP:PORT";

// The address of a required field.
auto readAddress(settings_reader &reader, std::string_view name) -> socket_address
{
    const auto text = reader.text(name);
    auto address = parseAddress(text);
    if (address.port == 0 && !text.empty())
        reader.reject(name, text, addressForm, std::nullopt);
    return address;
}

auto readOptionalAddress(settings_reader &reader, std::string_view name) -> socket_address
{
    const auto text = reader.optionalText(name).value_or("");
    auto address = parseAddress(text);
    if (address.port == 0 && !text.empty())
        reader.reject(name, text, addressForm, "none");
    return address;
}

// The addresses of a list, without those that are malformed.
auto readAddresses(settings_reader &reader, std::string_view name) -> std::vector<socket_address>
{
    std::vector<socket_address> addresses;
    for (const auto &text : reader.texts(name)) {
        if (auto address = parseAddress(text); address.port != 0)
            addresses.push_back(std::move(address));
        else
            reader.reject(name, text, addressForm, "the rest");
    }
    return addresses;
}

// A required text, which a platform may have left as the placeholder of the template.
auto readName(settings_reader &reader, std::string_view name) -> std::string
{
    auto text = reader.text(name);
    if (text.starts_with("{{"))
        reader.reject(name, text, "filled in", std::nullopt);
    return text;
}

// Without a data centre an edge serves; it prefers no endpoints for being near.
auto readDataCentre(settings_reader &reader) -> std::string
{
    auto text = reader.optionalText("data_centre").value_or("");
    if (!text.starts_with("{{"))
        return text;
    reader.reject("data_centre", text, "filled in", "none");
    return "";
}

auto readSeconds(settings_reader &reader, std::string_view name, duration fallback) -> duration
{
    const auto seconds
        = reader.number(name, {.lowest = minSeconds,
                               .highest = maxSeconds,
                               .fallback = std::chrono::duration<double>(fallback).count()});
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

auto readFields(settings_reader &reader) -> edge_settings
{
    edge_settings settings;
    settings.name = readName(reader, "name");
    settings.dataCentre = readDataCentre(reader);
    settings.callers = readAddress(reader, "callers");
    settings.readiness = readAddress(reader, "readiness");
    settings.peers = readAddress(reader, "peers");
    settings.seeds = readAddresses(reader, "seeds");
    settings.metricsPort = static_cast<std::uint16_t>(
        reader.integer("metrics_port", {.lowest = 0, .highest = maxPort, .fallback = 0}));
    settings.logService = readAddress(reader, "log_service");
    settings.dutyService = readOptionalAddress(reader, "duty_service");
    settings.retryRatio = reader.number(
        "repeat_ratio", {.lowest = 0, .highest = 1, .fallback = settings.retryRatio});
    settings.retrySlack
        = reader.number("repeat_slack", {.lowest = 0, .fallback = settings.retrySlack});
    settings.retryWindow = readSeconds(reader, "repeat_window_s", settings.retryWindow);
    settings.coldSlack = static_cast<std::uint32_t>(reader.integer(
        "cold_slack", {.lowest = 1, .highest = maxColdSlack, .fallback = settings.coldSlack}));
    const auto megabytes = static_cast<std::uint64_t>(
        reader.integer("memory_mb", {.lowest = 0, .highest = maxMegabytes, .fallback = 0}));
    settings.memoryBytes = megabytes << bytesPerMegabyteLog2;
    settings.maxDescriptors = static_cast<std::uint64_t>(
        reader.integer("max_descriptors", {.lowest = 0, .highest = maxDescriptors, .fallback = 0}));
    settings.stopGrace = readSeconds(reader, "stop_grace_s", settings.stopGrace);
    settings.registrationInterval = std::chrono::milliseconds(reader.integer(
        "registration_interval_ms", {.lowest = 0, .highest = maxMilliseconds, .fallback = 0}));
    settings.usageWindow = readSeconds(reader, "usage_window_s", settings.usageWindow);
    settings.usageDue = readSeconds(reader, "usage_due_s", settings.usageDue);
    const auto leaseTermMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.leaseTerm).count();
    settings.leaseTerm = std::chrono::milliseconds(reader.integer(
        "lease_term_ms", {.lowest = 1, .highest = maxMilliseconds, .fallback = leaseTermMs}));
    settings.exposureShare = reader.number(
        "exposure_share", {.lowest = 0, .highest = 1, .fallback = settings.exposureShare});
    settings.exposureSlack
        = reader.number("exposure_slack", {.lowest = 0, .fallback = settings.exposureSlack});
    const auto rollbackMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.rollbackTime).count();
    settings.rollbackTime = std::chrono::milliseconds(reader.integer(
        "rollback_ms", {.lowest = 1, .highest = maxMilliseconds, .fallback = rollbackMs}));
    return settings;
}

// A platform leaves a placeholder that it does not know as it is. Outside a text that is no JSON;
// there it becomes a text, so that it concerns its own field alone.
auto quotePlaceholders(std::string_view text) -> std::string
{
    std::string quoted;
    bool isInText = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto end = isInText || !text.substr(at).starts_with("{{") ? std::string_view::npos
                                                                        : text.find("}}", at);
        if (end != std::string_view::npos) {
            quoted += nlohmann::json(text.substr(at, end + 2 - at)).dump();
            at = end + 1;
            continue;
        }
        quoted += text[at];
        if (text[at] == '"')
            isInText = !isInText;
        else if (isInText && text[at] == '\\' && at + 1 < text.size())
            quoted += text[++at];
    }
    return quoted;
}

auto readDocument(const std::string &fileName) -> result<nlohmann::json>
{
    std::ifstream file(fileName);
    if (!file) {
        return error{.code = result_code::settings_unreadable,
                     .message = fmt::format("cannot read {}", fileName)};
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
        return nlohmann::json::parse(quotePlaceholders(text.str()));
    } catch (const nlohmann::json::exception &failure) {
        return error{.code = result_code::settings_malformed,
                     .message = fmt::format("{}: {}", fileName, failure.what())};
    }
}

} // namespace

auto edgeSettingsFields() -> std::vector<settings_description>
{
    settings_reader reader(nlohmann::json::object());
    static_cast<void>(readFields(reader));
    const auto fields = reader.fields();
    return {fields.begin(), fields.end()};
}

auto checkEdgeSettings(const std::string &fileName) -> edge_settings_check
{
    const auto document = readDocument(fileName);
    if (const auto *failure = failed(document))
        return {.settings = *failure, .findings = {}};
    settings_reader reader(std::get<nlohmann::json>(document), {.filledIn = true});
    auto settings = readFields(reader);
    const auto outcome = reader.finish();
    const auto findings = reader.findings();
    edge_settings_check check{.settings = std::move(settings),
                              .findings = {findings.begin(), findings.end()}};
    if (const auto *failure = failed(outcome))
        check.settings = *failure;
    return check;
}

auto readEdgeSettings(const std::string &fileName) -> result<edge_settings>
{
    auto check = checkEdgeSettings(fileName);
    if (auto *settings = std::get_if<edge_settings>(&check.settings))
        settings->findings = std::move(check.findings);
    return std::move(check.settings);
}

auto awaitEdgeSettings(const std::string &fileName) -> result<edge_settings>
{
    // A file is written within milliseconds, and a wrong one is replaced; the rest is for a busy
    // VM.
    constexpr duration waitLimit = std::chrono::seconds(3);
    constexpr duration pause = std::chrono::milliseconds(50);
    const system_runtime_clock clock;
    const auto end = clock.now() + waitLimit;
    auto settings = readEdgeSettings(fileName);
    for (; failed(settings) != nullptr && clock.now() < end && !hasArrived(SIGTERM);
         settings = readEdgeSettings(fileName)) {
        std::this_thread::sleep_for(pause);
    }
    return settings;
}

} // namespace mustardline
