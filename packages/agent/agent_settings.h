#pragma once

// Settings of the agent, read from a JSON file.
//
//     const auto settings = readAgentSettings("agent.json");
//     if (const auto *failure = failed(settings))
//         return report(*failure);
//
// docs/settings-agent.md describes every field; a test compares it with `agentSettingsFields`,
// which also gives the parser its ranges and defaults.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "base/result.h"
#include "net/http_message.h"

namespace mustardline {

enum class endpoint_kind : std::uint8_t { model, service };

struct agent_limits
{
    std::size_t maxBodyBytes = 0;
    std::size_t maxAnswerBytes = 0;
    std::size_t maxConnections = 0;
    // Bytes that an entry process may leave unread before reading from the endpoint pauses.
    std::size_t maxBacklogBytes = 0;
    // Longest time without data from the endpoint during a run.
    duration endpointSilence{};
    std::uint32_t initialWindow = 0;
    std::uint32_t maxQueued = 0;
    duration maxQueueWait{};
    // Longest wait of a run for a configuration that its entry process already has.
    duration configurationWait{};
    std::size_t maxKeptRuns = 0;
    duration runRetention{};
    std::size_t maxOutcomeBytes = 0;
    std::size_t maxOutcomeBytesTotal = 0;
    std::size_t maxUsageDeltas = 0;
    // Longest wait at shutdown for usage to become durable.
    duration usageFlushWait{};
};

struct agent_settings
{
    std::string endpoint;
    endpoint_kind kind = endpoint_kind::model;
    std::string dataCentre;
    std::string listenAddress;
    std::uint16_t listenPort = 0;
    std::string controlAddress;
    std::uint16_t controlPort = 0;
    duration controlPeriod{};
    socket_address endpointAddress;
    // Control addresses of some entry processes.
    std::vector<socket_address> entries;
    log_format logFormat = log_format::key_value;
    log_level logLevel = log_level::info;
    agent_limits limits;
};

enum class settings_type : std::uint8_t { integer, text, texts };

// One row of the settings reference.
struct settings_field
{
    // Path from the root of the document, its parts joined by dots.
    std::string_view path;
    settings_type type;
    // Allowed values of a text field, separated by ", "; empty allows any.
    std::string_view allowed;
    std::int64_t lowest;
    std::int64_t highest;
    // Default value; if empty, the field is required.
    std::string_view fallback;
    std::string_view meaning;
};

[[nodiscard]] auto agentSettingsFields() -> std::span<const settings_field>;

// Checks and converts a parsed document.
[[nodiscard]] auto parseAgentSettings(const nlohmann::json &document) -> result<agent_settings>;

// Reads, checks and converts a file.
[[nodiscard]] auto readAgentSettings(const std::string &fileName) -> result<agent_settings>;

} // namespace mustardline
