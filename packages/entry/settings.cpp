#include "entry/settings.h"

#include <fstream>

#include <fmt/format.h>

#include "base/settings_reader.h"

namespace mustardline {

namespace {

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t bytesPerMebibyte = 1 << 20;

auto addressError(const std::string &path, const std::string &value) -> error
{
    return {.code = result_code::settings_out_of_range,
            .message = fmt::format("{} is \"{}\", but must be IP:PORT", path, value)};
}

// Keeps the first error among those that settings_reader does not detect.
class first_error
{
public:
    auto address(const std::string &path, const std::string &value) -> socket_address
    {
        auto parsed = parseAddress(value);
        if (parsed.port == 0)
            keep(addressError(path, value));
        return parsed;
    }

    auto keep(error failure) -> void
    {
        if (!m_error)
            m_error = std::move(failure);
    }

    [[nodiscard]] auto first() const -> const std::optional<error> & { return m_error; }

private:
    std::optional<error> m_error;
};

auto readListen(settings_reader &parent, std::string_view name) -> listen_settings
{
    auto reader = parent.object(name);
    listen_settings listen;
    listen.address = reader.text("address", {.fallback = "127.0.0.1"});
    listen.port = static_cast<std::uint16_t>(
        reader.integer("port", {.lowest = 0, .highest = maxPort, .fallback = 0}));
    parent.absorb(reader);
    return listen;
}

auto readPlatform(settings_reader &parent, first_error &errors, entry_settings &settings) -> void
{
    auto reader = parent.object("platform");
    const auto log = reader.text("log");
    const auto orders = reader.text("orders");
    const auto usage = reader.text("usage");
    const auto vms = reader.text("vms", {.fallback = ""});
    parent.absorb(reader);
    settings.log = errors.address("platform.log", log);
    settings.orders = errors.address("platform.orders", orders);
    settings.usage = errors.address("platform.usage", usage);
    if (!vms.empty())
        settings.vms = errors.address("platform.vms", vms);
}

auto readLimits(settings_reader &parent, entry_settings &settings) -> void
{
    constexpr std::int64_t bytesPerKibibyte = 1 << 10;
    auto reader = parent.object("limits");
    settings.callerLimits.maxBodyBytes = static_cast<std::size_t>(
        reader.integer("max_body_mib", {.lowest = 1, .highest = 64, .fallback = 4})
        * bytesPerMebibyte);
    settings.callerLimits.maxHeaderBytes = static_cast<std::size_t>(
        reader.integer("max_header_kib", {.lowest = 1, .highest = 256, .fallback = 32})
        * bytesPerKibibyte);
    settings.callerLimits.maxConnections = static_cast<std::size_t>(
        reader.integer("max_connections", {.lowest = 1, .highest = 65536, .fallback = 8192}));
    settings.callerLimits.idleTimeout = std::chrono::seconds(
        reader.integer("idle_timeout_s", {.lowest = 1, .highest = 3600, .fallback = 60}));
    settings.maxQueued = static_cast<std::uint32_t>(
        reader.integer("max_queued", {.lowest = 1, .highest = 100000, .fallback = 1000}));
    settings.subsetSize = static_cast<std::uint32_t>(
        reader.integer("subset_size", {.lowest = 1, .highest = 1024, .fallback = 64}));
    settings.maxBacklogBytes = static_cast<std::size_t>(
        reader.integer("max_backlog_kib", {.lowest = 16, .highest = 65536, .fallback = 1024})
        * bytesPerKibibyte);
    settings.drainTimeout = std::chrono::seconds(
        reader.integer("drain_timeout_s", {.lowest = 1, .highest = 86400, .fallback = 600}));
    parent.absorb(reader);
}

auto readLog(settings_reader &parent, entry_settings &settings) -> void
{
    auto reader = parent.object("log");
    const auto format
        = reader.text("format", {.allowed = {"key_value", "json"}, .fallback = "key_value"});
    const auto level = reader.text(
        "level", {.allowed = {"debug", "info", "warning", "error"}, .fallback = "info"});
    settings.format = format == "json" ? log_format::json : log_format::key_value;
    for (const auto candidate :
         {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (levelName(candidate) == level)
            settings.lowestLevel = candidate;
    }
    parent.absorb(reader);
}

// Each line of the file holds an operator's name and token.
auto readOperatorTokens(const std::string &fileName, first_error &errors)
    -> std::vector<operator_token>
{
    std::ifstream file(fileName);
    std::vector<operator_token> tokens;
    operator_token next;
    while (file >> next.name >> next.token)
        tokens.push_back(next);
    if (tokens.empty()) {
        errors.keep(
            {.code = result_code::settings_unreadable,
             .message = fmt::format(
                 "operator_tokens_file: no line \"NAME TOKEN\" can be read from {}", fileName)});
    }
    return tokens;
}

auto readSecret(const std::string &fileName, first_error &errors) -> std::string
{
    const auto secret = readSecretFile(fileName);
    if (const auto *failure = failed(secret)) {
        errors.keep({.code = failure->code, .message = "key_secret_file: " + failure->message});
        return "";
    }
    return std::get<std::string>(secret);
}

// Names of the files that hold secrets.
struct secret_files
{
    std::string keySecret;
    std::string operatorTokens;
};

auto readFields(settings_reader &reader, first_error &errors, entry_settings &settings)
    -> secret_files
{
    settings.name = reader.text("name");
    settings.dataCentre = reader.text("data_centre");
    settings.callers = readListen(reader, "callers");
    settings.operators = readListen(reader, "operators");
    settings.control = readListen(reader, "control");
    readPlatform(reader, errors, settings);
    for (const auto &peer : reader.texts("peers"))
        settings.peers.push_back(errors.address("peers", peer));
    settings.entryCount = static_cast<std::uint32_t>(
        reader.integer("entry_count", {.lowest = 1, .highest = 10000, .fallback = 1}));
    settings.usageWindow = std::chrono::seconds(
        reader.integer("usage_window_s", {.lowest = 1, .highest = 86400, .fallback = 60}));
    settings.usageCloseDelay = std::chrono::milliseconds(reader.integer(
        "usage_close_delay_ms", {.lowest = 100, .highest = 86400000, .fallback = 120000}));
    settings.usageShards = static_cast<std::uint32_t>(
        reader.integer("usage_shards", {.lowest = 1, .highest = 64, .fallback = 1}));
    settings.leaseTerm = std::chrono::milliseconds(
        reader.integer("lease_term_ms", {.lowest = 500, .highest = 600000, .fallback = 10000}));
    settings.demandReportInterval = std::chrono::milliseconds(
        reader.integer("demand_report_ms", {.lowest = 100, .highest = 60000, .fallback = 15000}));
    settings.duties = reader.boolean("duties", true);
    secret_files files{.keySecret = reader.text("key_secret_file"),
                       .operatorTokens = reader.text("operator_tokens_file")};
    readLimits(reader, settings);
    readLog(reader, settings);
    settings.callerLimits.address = settings.callers.address;
    settings.callerLimits.port = settings.callers.port;
    return files;
}

} // namespace

auto readEntrySettings(const std::string &fileName) -> result<entry_settings>
{
    const auto document = readJsonFile(fileName);
    if (const auto *failure = failed(document))
        return *failure;
    settings_reader reader(std::get<nlohmann::json>(document));
    first_error errors;
    entry_settings settings;
    const auto files = readFields(reader, errors, settings);
    const auto outcome = reader.finish();
    if (const auto *failure = failed(outcome))
        return *failure;
    settings.keySecret = readSecret(files.keySecret, errors);
    settings.operatorTokens = readOperatorTokens(files.operatorTokens, errors);
    if (errors.first())
        return *errors.first();
    return settings;
}

auto entrySettingsFields() -> std::vector<settings_description>
{
    settings_reader reader(nlohmann::json::object());
    first_error errors;
    entry_settings settings;
    readFields(reader, errors, settings);
    return {reader.fields().begin(), reader.fields().end()};
}

} // namespace mustardline
