#pragma once

// How an edge divides the memory and the descriptors that it may use.
//
//     constexpr auto plan = planResources({.memoryBytes = 160U << 20U, .descriptors = 4100});
//     http_server callers(loop, {.maxConnections = plan.callerConnections});
//
// The parts of the memory add up to three quarters of it; the rest is for the program, the
// directory, streams, and buffers. Those of the descriptors add up to less than their limit, unless
// that is too low for any service.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace mustardline {

struct resource_limits
{
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;
};

struct resource_plan
{
    // Bytes that are held for callers: requests, and responses that are not read.
    std::size_t callerBytes = 0;
    // Bytes of responses that are not yet whole.
    std::size_t responseBytes = 0;
    // Bytes for the load and for the usage counts of other edges.
    std::size_t peerLoadBytes = 0;
    std::size_t peerUsageBytes = 0;
    // Bytes of a snapshot of another edge.
    std::size_t snapshotBytes = 0;

    // Connections of callers; each request under way has one.
    std::size_t callerConnections = 0;
    // Connections to endpoints, idle ones included.
    std::size_t endpointConnections = 0;
    // Connections to the log and the duty service, and to other edges.
    std::size_t controlConnections = 0;
    // Connections that ask for readiness, for counters, and those of other edges.
    std::size_t readinessConnections = 0;
    std::size_t metricsConnections = 0;
    std::size_t peerConnections = 0;
};

// Descriptors for files, the log, listeners and the event loop.
inline constexpr std::size_t reservedDescriptors = 200;
inline constexpr std::size_t maxCallerConnections = 4096;

constexpr auto planResources(const resource_limits &limits) -> resource_plan
{
    constexpr std::size_t sides = 2;
    // Connections that serve no caller: a tenth, but a quarter of a small number. Many edges ask
    // one of them at the same time when all start.
    constexpr std::size_t fewOwnConnections = 96;
    constexpr std::size_t ownDivisor = 10;
    constexpr std::size_t smallOwnDivisor = 4;
    constexpr std::size_t leastDescriptors = 32;
    const auto available = std::max<std::size_t>(
        limits.descriptors > reservedDescriptors ? limits.descriptors - reservedDescriptors : 0,
        leastDescriptors);
    const auto own = std::max(std::min(fewOwnConnections, available / smallOwnDivisor),
                              available / ownDivisor);
    const auto forwarding = available - own;
    const auto callers = std::min(maxCallerConnections, forwarding / sides);
    const auto sixteenth = static_cast<std::size_t>(limits.memoryBytes / 16);
    return {.callerBytes = static_cast<std::size_t>(limits.memoryBytes * 3 / 8),
            .responseBytes = static_cast<std::size_t>(limits.memoryBytes / 8),
            .peerLoadBytes = sixteenth,
            .peerUsageBytes = sixteenth,
            .snapshotBytes = sixteenth,
            .callerConnections = callers,
            .endpointConnections = forwarding - callers,
            .controlConnections = own / 2,
            .readinessConnections = own / 8,
            .metricsConnections = own / 8,
            .peerConnections = own / 4};
}

} // namespace mustardline
