#pragma once

// Settings of an edge: an entry that forwards to endpoints without agents.
//
//     auto outcome = readEdgeSettings("/etc/mustardline/edge.json");
//
// The file is JSON; a field that is unknown, missing, or of the wrong type or range is an error
// that names it. On a platform that fills in templates, the adapter has one that yields this file.

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "base/settings_reader.h"
#include "net/http_message.h"

namespace mustardline {

struct edge_settings
{
    std::string name;
    std::string dataCentre;
    socket_address callers;
    socket_address readiness;
    // Where the other edges reach this one by datagrams.
    socket_address peers;
    // Where some of the other edges may be reached.
    std::vector<socket_address> seeds;
    std::uint16_t metricsPort = 0;
    socket_address logService;
    // Where usage is reported and endpoints are ordered.
    socket_address dutyService;
    // Reports usage and orders.
    bool reportsUsage = false;

    // Repeats that all entries may send to a service.
    double repeatRatio = 0.2;
    double repeatSlack = 50;
    duration repeatWindow = std::chrono::seconds(10);
    // Requests that an endpoint bears in a second beyond the rate it names while it is cold.
    std::uint32_t coldSlack = 5;
    // Time from SIGTERM until the process is killed.
    duration stopGrace = std::chrono::seconds(8);
    duration usageWindow = std::chrono::seconds(5);
    duration usageDue = std::chrono::seconds(10);
    duration leaseTerm = std::chrono::seconds(3);

    auto operator==(const edge_settings &) const -> bool = default;
};

// The fields that the file may hold, for docs/settings-edge.md.
[[nodiscard]] auto edgeSettingsFields() -> std::vector<settings_description>;

[[nodiscard]] auto readEdgeSettings(const std::string &fileName) -> result<edge_settings>;

} // namespace mustardline
