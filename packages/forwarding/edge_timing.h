#pragma once

// Intervals, time limits and exit statuses of an edge process.

#include <cstddef>

#include "base/clock.h"

namespace mustardline {

inline constexpr int edgeCannotListen = 3;

// The first live edge by name reads the log without delay. Each further edge waits one step
// longer, so that another one reads if the first does not, and so that forwarded updates arrive
// before an edge reads itself. The delay is limited to 500 ms, which together with the read
// interval stays within the required 2 s.
inline constexpr duration readDelayStep = std::chrono::milliseconds(70);
inline constexpr duration maxReadDelay = std::chrono::milliseconds(500);
// Time for the log to respond before a peer is asked, and between requests to peers.
inline constexpr duration snapshotRequestInterval = std::chrono::milliseconds(600);
inline constexpr duration controlConnectTimeout = std::chrono::milliseconds(1000);
inline constexpr duration endpointConnectTimeout = std::chrono::milliseconds(300);
inline constexpr std::size_t maxIdlePerEndpoint = 100;
// Added to the lease term of the settings, so that two holders are at least one term apart.
inline constexpr duration leaseSlack = std::chrono::milliseconds(500);
// An older process needs at most its time to stop, and a moment to exit.
inline constexpr duration olderProcessMargin = std::chrono::seconds(2);
inline constexpr duration metricsRetryInterval = std::chrono::seconds(1);
inline constexpr duration metricsLineInterval = std::chrono::seconds(10);
// Interval between announcements to the other edges.
inline constexpr duration announceInterval = std::chrono::milliseconds(500);
inline constexpr duration housekeepingInterval = std::chrono::milliseconds(250);
// Interval between judgements of new versions: short against the time for a roll-back.
inline constexpr duration rolloutInterval = std::chrono::milliseconds(100);
// Interval at which a shutdown goes on: short against the margins of a grace period of a
// second.
inline constexpr duration shutdownInterval = std::chrono::milliseconds(50);

} // namespace mustardline
