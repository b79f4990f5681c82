#pragma once

// Settings of the entry process, read from a JSON file.
//
//     const auto outcome = readEntrySettings(fileName);
//     if (const auto *failure = failed(outcome))
//         reportError(*failure);
//
// docs/settings-entry.md lists the fields; a test checks that it equals `entrySettingsFields`.

#include <string>
#include <vector>

#include "base/log.h"
#include "base/result.h"
#include "base/settings_reader.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace mustardline {

struct listen_settings
{
    std::string address = "127.0.0.1";
    // 0: chosen by the kernel.
    std::uint16_t port = 0;
};

struct operator_token
{
    std::string name;
    std::string token;
};

struct entry_settings
{
    // Unique among the entry processes; the writer name in log records.
    std::string name;
    std::string dataCentre;
    // Listen addresses for callers, operators and control messages.
    listen_settings callers;
    listen_settings operators;
    listen_settings control;
    // Addresses of the platform's interfaces.
    socket_address log;
    socket_address orders;
    socket_address usage;
    // Address of the VM list; port 0 if it is not read.
    socket_address vms;
    // Control addresses of other entry processes, queried while the log is unavailable.
    std::vector<socket_address> peers;
    // Secret for the keyed hashes of callers' keys.
    std::string keySecret;
    std::vector<operator_token> operatorTokens;
    http_server_options callerLimits;
    std::uint32_t maxQueued = 1000;
    std::uint32_t subsetSize = 64;
    std::uint32_t entryCount = 1;
    // Response bytes that a slow caller may leave unread before reading from its endpoint is
    // paused.
    std::size_t maxBacklogBytes = 1U << 20U;
    duration drainTimeout = std::chrono::seconds(600);
    duration usageWindow = std::chrono::seconds(60);
    // How long after its end a usage window still accepts usage.
    duration usageCloseDelay = std::chrono::seconds(120);
    std::uint32_t usageShards = 1;
    duration leaseTerm = std::chrono::seconds(10);
    // How often an entry process reports its demand for scaled models. The same in the whole fleet.
    duration demandReportInterval = std::chrono::seconds(15);
    // Whether this entry process contends for duties and reads the streams that they need.
    bool duties = true;
    log_format format = log_format::key_value;
    log_level lowestLevel = log_level::info;
};

// All fields that a settings file may have.
[[nodiscard]] auto entrySettingsFields() -> std::vector<settings_description>;

[[nodiscard]] auto readEntrySettings(const std::string &fileName) -> result<entry_settings>;

} // namespace mustardline
