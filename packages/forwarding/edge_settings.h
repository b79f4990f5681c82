#pragma once

// Settings of an edge, a process that forwards requests to endpoints without an agent.
//
//     auto outcome = readEdgeSettings("/etc/mustardline/edge.json");
//
// The file is JSON. What an edge cannot serve without is required: its name, its addresses and the
// log. Any other field that is unknown, of the wrong type or out of range is a finding, which names
// the field and the default that is used, and never keeps an edge from serving. For platforms that
// fill in templates, the adapter has a template of this file, in which an optional number is
// written as text: it is empty where the deployment has none.

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
    // Empty if it is not known.
    std::string dataCentre;
    socket_address callers;
    socket_address readiness;
    // Address for the other edges' datagrams.
    socket_address peers;
    // Addresses of some other edges, for discovery.
    std::vector<socket_address> seeds;
    // 0 for no metrics page.
    std::uint16_t metricsPort = 0;
    socket_address logService;
    // Address for usage reports; without one this edge reports none.
    socket_address dutyService;

    // The defaults hold where a deployment does not state a value. Each is the one that is safe for
    // callers and endpoints: few retries, little load on cold endpoints, an early stop.

    // Retries that all edges together may send to a service.
    double retryRatio = 0.1;
    double retrySlack = 10;
    duration retryWindow = std::chrono::seconds(10);
    // Requests per second that a cold endpoint accepts beyond the rate that its service declares.
    std::uint32_t coldSlack = 1;
    // Memory in bytes and descriptors that this process may use; 0 if the file does not say (see
    // net/process_limits.h).
    std::uint64_t memoryBytes = 0;
    std::uint64_t maxDescriptors = 0;
    // Time from SIGTERM until the process is killed.
    duration stopGrace = std::chrono::seconds(5);
    // Interval at which endpoints register again; zero if it is not known.
    duration registrationInterval{};
    duration usageWindow = std::chrono::seconds(5);
    duration usageDue = std::chrono::seconds(10);
    duration leaseTerm = std::chrono::seconds(10);

    // Share of a service's requests, and requests beyond it, that a bad new version may get in a
    // roll-out. Without a share this edge decides no roll-outs.
    double exposureShare = 0;
    double exposureSlack = 0;
    // Time after which a version that has answered badly often gets no more requests.
    duration rollbackTime = std::chrono::seconds(5);

    // What in the file could not be used.
    std::vector<settings_finding> findings;

    [[nodiscard]] auto reportsUsage() const -> bool { return dutyService.port != 0; }
    auto operator==(const edge_settings &) const -> bool = default;
};

// Fields of the file, for docs/settings-edge.md.
[[nodiscard]] auto edgeSettingsFields() -> std::vector<settings_description>;

struct edge_settings_check
{
    result<edge_settings> settings;
    // Everything that cannot be used as it is, also where the settings cannot be used.
    std::vector<settings_finding> findings;
};

[[nodiscard]] auto checkEdgeSettings(const std::string &fileName) -> edge_settings_check;

[[nodiscard]] auto readEdgeSettings(const std::string &fileName) -> result<edge_settings>;

// As above, for a start: a file that is absent, not whole as it is being written, or not usable is
// read again for three seconds, unless SIGTERM is held back (see net/held_signals.h). Blocks.
[[nodiscard]] auto awaitEdgeSettings(const std::string &fileName) -> result<edge_settings>;

} // namespace mustardline
