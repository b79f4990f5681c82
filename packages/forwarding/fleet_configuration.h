#pragma once

// The configuration of the forwarding path, whole and under one version.
//
// Operators publish it as one document, so an entry replaces all of it at once and never mixes two
// versions. A version that is not newer than the one in force is ignored.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace mustardline {

// What may be done with a request whose outcome is not known.
enum class route_kind : std::uint8_t {
    // May run more than once.
    idempotent,
    // Runs at most once.
    once,
    // Answered by a series of events. Runs at most once, unless the route is resumable.
    stream,
};

// A service that a route leads to, and its share of the route's requests.
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
    route_kind kind = route_kind::once;
    // A stream that may be continued at another endpoint from its last event.
    bool resumable = false;
    // Needs no key.
    bool isOpen = false;
    // Longest time from arrival to the answer.
    duration timeout{};
    // Time within which an answer, or the first event, is in time.
    duration latencyTarget{};
    // Longest pause between two events of an answer in time.
    duration gapTarget{};
    // 0 is the highest.
    std::uint32_t priority = 0;
    // Endpoints that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    std::vector<route_target> targets;
};

struct service_settings
{
    std::string name;
    // Connections that one endpoint takes from all entries together.
    std::uint32_t maxConnections = 0;
    // Requests a second that a cold endpoint bears from all entries together; 0 for no bound.
    double coldRequestsPerSecond = 0;
    // Tokens that one endpoint's memory holds; 0 for a service that is no engine.
    std::uint64_t cacheTokens = 0;
};

struct account_settings
{
    std::string name;
    std::vector<std::string> keys;
    // Goes before the route's; 0 is the highest.
    std::optional<std::uint32_t> priority;
};

// What a caller may send and how slowly.
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
    // Without accounts no request needs a key.
    bool hasAccounts = false;
    caller_limits limits;
};

} // namespace mustardline
