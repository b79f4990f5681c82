#include "agent/agent_settings.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

#include "base/settings_reader.h"

namespace mustardline {

namespace {

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t maxBytes = 1LL << 30;
constexpr std::int64_t maxMilliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t maxCount = 10'000'000;

constexpr auto integer = settings_type::integer;
constexpr auto text = settings_type::text;
constexpr auto texts = settings_type::texts;

constexpr auto fields = std::to_array<settings_field>({
    {"endpoint", text, "", 0, 0, "", "Id of the endpoint, as in the configuration."},
    {"kind", text, "model, service", 0, 0, "", "Kind of the endpoint."},
    {"data_centre", text, "", 0, 0, "", "Data centre that this process runs in."},
    {"listen.address", text, "", 0, 0, "127.0.0.1",
     "IP address for HTTP requests of entry processes."},
    {"listen.port", integer, "", 0, maxPort, "0", "Its port; 0 lets the kernel choose."},
    {"control.address", text, "", 0, 0, "127.0.0.1", "IP address for control messages."},
    {"control.port", integer, "", 0, maxPort, "0", "Its port; 0 lets the kernel choose."},
    {"control.period_ms", integer, "", 20, maxMilliseconds, "12000",
     "Pause between two regular polls of an entry process."},
    {"endpoint_address", text, "", 0, 0, "", "Address of the endpoint, as IP:PORT."},
    {"entries", texts, "", 0, 0, "none", "Control addresses of some entry processes, as IP:PORT."},
    {"log.format", text, "key_value, json", 0, 0, "key_value", "Format of a log line."},
    {"log.level", text, "debug, info, warning, error", 0, 0, "info", "Lowest level written."},
    {"limits.max_body_bytes", integer, "", 1, maxBytes, "4194304", "Largest request body."},
    {"limits.max_answer_bytes", integer, "", 1, maxBytes, "67108864",
     "Largest response of the endpoint; a run with a larger one fails."},
    {"limits.max_connections", integer, "", 1, maxCount, "4096",
     "Maximum number of simultaneous connections."},
    {"limits.max_backlog_bytes", integer, "", 1, maxBytes, "262144",
     "Bytes that an entry process may leave unread before reading from the endpoint pauses."},
    {"limits.endpoint_silence_ms", integer, "", 1, maxMilliseconds, "60000",
     "Longest time without data from the endpoint during a run."},
    {"limits.initial_window", integer, "", 1, maxCount, "2",
     "Concurrent runs at an endpoint without any measurement yet."},
    {"limits.max_queued", integer, "", 0, maxCount, "8", "Maximum number of queued runs."},
    {"limits.max_queue_wait_ms", integer, "", 0, maxMilliseconds, "500",
     "Longest time in the queue before a run is refused as not run."},
    {"limits.configuration_wait_ms", integer, "", 0, maxMilliseconds, "1000",
     "Longest wait of a run for a configuration that its entry process already has."},
    {"limits.max_kept_runs", integer, "", 1, maxCount, "200000",
     "Maximum size of the run table; while it is full of unexpired runs, new ones are refused."},
    {"limits.run_retention_ms", integer, "", 1, maxMilliseconds, "3600000",
     "Time that an ended run stays in the run table."},
    {"limits.max_outcome_bytes", integer, "", 0, maxBytes, "65536",
     "Largest response of a non-idempotent run that is stored to answer retries."},
    {"limits.max_outcome_bytes_total", integer, "", 0, maxBytes, "16777216",
     "Bytes of all stored responses; the oldest are evicted first."},
    {"limits.max_usage_deltas", integer, "", 1, maxCount, "100000",
     "Usage deltas stored separately; beyond that, usage is merged per account and class."},
    {"limits.usage_flush_wait_ms", integer, "", 0, maxMilliseconds, "30000",
     "Longest wait at shutdown for usage to become durable."},
});

auto fieldOf(std::string_view path) -> const settings_field &
{
    return *std::ranges::find(fields, path, &settings_field::path);
}

auto leafOf(std::string_view path) -> std::string_view
{
    const auto dot = path.rfind('.');
    return dot == std::string_view::npos ? path : path.substr(dot + 1);
}

auto numberOf(std::string_view digits) -> std::int64_t
{
    std::int64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

auto allowedOf(const settings_field &field) -> std::vector<std::string>
{
    std::vector<std::string> values;
    auto rest = field.allowed;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(", "), rest.size());
        values.emplace_back(rest.substr(0, end));
        rest = rest.substr(std::min(end + 2, rest.size()));
    }
    return values;
}

auto readInteger(settings_reader &reader, std::string_view path) -> std::int64_t
{
    const auto &field = fieldOf(path);
    return reader.integer(
        leafOf(path),
        {.lowest = field.lowest, .highest = field.highest, .fallback = numberOf(field.fallback)});
}

auto readText(settings_reader &reader, std::string_view path) -> std::string
{
    const auto &field = fieldOf(path);
    text_field rule{.allowed = allowedOf(field)};
    if (!field.fallback.empty())
        rule.fallback = std::string(field.fallback);
    return reader.text(leafOf(path), rule);
}

auto readBytes(settings_reader &reader, std::string_view path) -> std::size_t
{
    return static_cast<std::size_t>(readInteger(reader, path));
}

auto readCount(settings_reader &reader, std::string_view path) -> std::uint32_t
{
    return static_cast<std::uint32_t>(readInteger(reader, path));
}

auto readDuration(settings_reader &reader, std::string_view path) -> duration
{
    return std::chrono::milliseconds(readInteger(reader, path));
}

auto readLimits(settings_reader &reader) -> agent_limits
{
    return {
        .maxBodyBytes = readBytes(reader, "limits.max_body_bytes"),
        .maxAnswerBytes = readBytes(reader, "limits.max_answer_bytes"),
        .maxConnections = readBytes(reader, "limits.max_connections"),
        .maxBacklogBytes = readBytes(reader, "limits.max_backlog_bytes"),
        .endpointSilence = readDuration(reader, "limits.endpoint_silence_ms"),
        .initialWindow = readCount(reader, "limits.initial_window"),
        .maxQueued = readCount(reader, "limits.max_queued"),
        .maxQueueWait = readDuration(reader, "limits.max_queue_wait_ms"),
        .configurationWait = readDuration(reader, "limits.configuration_wait_ms"),
        .maxKeptRuns = readBytes(reader, "limits.max_kept_runs"),
        .runRetention = readDuration(reader, "limits.run_retention_ms"),
        .maxOutcomeBytes = readBytes(reader, "limits.max_outcome_bytes"),
        .maxOutcomeBytesTotal = readBytes(reader, "limits.max_outcome_bytes_total"),
        .maxUsageDeltas = readBytes(reader, "limits.max_usage_deltas"),
        .usageFlushWait = readDuration(reader, "limits.usage_flush_wait_ms"),
    };
}

auto levelOf(std::string_view name) -> log_level
{
    for (const auto level : {log_level::debug, log_level::info, log_level::warning}) {
        if (levelName(level) == name)
            return level;
    }
    return log_level::error;
}

auto malformedAddress(std::string_view path, std::string_view value) -> error
{
    return {.code = result_code::settings_out_of_range,
            .message = fmt::format("{} is \"{}\", but must be IP:PORT", path, value)};
}

} // namespace

auto agentSettingsFields() -> std::span<const settings_field>
{
    return fields;
}

auto parseAgentSettings(const nlohmann::json &document) -> result<agent_settings>
{
    settings_reader reader(document);
    agent_settings settings;
    settings.endpoint = readText(reader, "endpoint");
    settings.kind
        = readText(reader, "kind") == "service" ? endpoint_kind::service : endpoint_kind::model;
    settings.dataCentre = readText(reader, "data_centre");

    auto listen = reader.object("listen");
    settings.listenAddress = readText(listen, "listen.address");
    settings.listenPort = static_cast<std::uint16_t>(readInteger(listen, "listen.port"));
    reader.absorb(listen);
    auto control = reader.object("control");
    settings.controlAddress = readText(control, "control.address");
    settings.controlPort = static_cast<std::uint16_t>(readInteger(control, "control.port"));
    settings.controlPeriod = readDuration(control, "control.period_ms");
    reader.absorb(control);

    const auto endpointAddress = readText(reader, "endpoint_address");
    settings.endpointAddress = parseAddress(endpointAddress);
    const auto entries = reader.texts("entries");

    auto log = reader.object("log");
    settings.logFormat
        = readText(log, "log.format") == "json" ? log_format::json : log_format::key_value;
    settings.logLevel = levelOf(readText(log, "log.level"));
    reader.absorb(log);
    auto limits = reader.object("limits");
    settings.limits = readLimits(limits);
    reader.absorb(limits);

    const auto outcome = reader.finish();
    if (const auto *failure = failed(outcome))
        return *failure;
    if (settings.endpointAddress.port == 0)
        return malformedAddress("endpoint_address", endpointAddress);
    for (const auto &entry : entries) {
        settings.entries.push_back(parseAddress(entry));
        if (settings.entries.back().port == 0)
            return malformedAddress("entries", entry);
    }
    return settings;
}

auto readAgentSettings(const std::string &fileName) -> result<agent_settings>
{
    const auto document = readJsonFile(fileName);
    if (const auto *failure = failed(document))
        return *failure;
    return parseAgentSettings(std::get<nlohmann::json>(document));
}

} // namespace mustardline
