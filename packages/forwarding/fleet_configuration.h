#pragma once

// The complete configuration of the forwarding path, under one version.
//
// Operators publish it as one document, so that a process replaces all of it at once and never
// mixes two versions. A version that is not newer than the one in force is ignored.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace mustardline {

// What may be done with a request whose outcome is unknown.
enum class route_kind : std::uint8_t {
    // May be executed more than once.
    idempotent,
    // Executed at most once.
    at_most_once,
    // The response is a stream of events. Executed at most once unless the route is resumable.
    stream,
};

// A target service of a route, and its share of the route's requests.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;
};

struct route_settings
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    route_kind kind = route_kind::at_most_once;
    // Whether a stream may be resumed at another endpoint from its last event.
    bool resumable = false;
    // Requests need no API key.
    bool isPublic = false;
    // Maximum time from arrival to the final response.
    duration timeout{};
    // Target time to the response or, for streams, to the first event.
    duration latencyTarget{};
    // Target for the gap between two events of a stream.
    duration gapTarget{};
    // 0 is the highest.
    std::uint32_t priority = 0;
    // Maximum number of endpoints that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    std::vector<route_target> targets;
};

struct service_settings
{
    std::string name;
    // Connections that one endpoint accepts from all edges together; 0 for no limit.
    std::uint32_t maxConnections = 0;
    // Requests per second that a cold endpoint accepts from all edges together; 0 for no limit.
    double coldRequestsPerSecond = 0;
    // Tokens that fit into one endpoint's cache; 0 for a service that is not a model engine.
    std::uint64_t cacheTokens = 0;
};

struct account_settings
{
    std::string name;
    std::vector<std::string> keys;
    // Overrides the route's priority; 0 is the highest.
    std::optional<std::uint32_t> priority;
};

// Size and time limits for callers' requests.
struct caller_limits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct fleet_configuration
{
    std::uint64_t version = 0;
    std::vector<route_settings> routes;
    std::vector<service_settings> services;
    std::vector<account_settings> accounts;
    // If false, no request needs a key.
    bool hasAccounts = false;
    caller_limits limits;
};

} // namespace mustardline
