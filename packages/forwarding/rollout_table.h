#pragma once

// The ordered roll-outs of an edge: which endpoints may serve, and what is counted.
//
//     rollout_table rollouts({.exposureShare = 0.1, .exposureSlack = 50}, seed);
//     rollouts.setOrder(order, now);
//     const auto target = rollouts.choose("chat", "chat-route", now);
//     rollouts.tick(now, peerCount); // several times a second
//
// While a roll-out runs, the endpoints of the new version serve a target of their own, so that the
// dispatcher places only those requests there that the watch has chosen. When it is completed, they
// serve the service and the others get nothing more; when it is rolled back, the others serve both
// targets. A service without an order is not affected.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/rollout_record.h"
#include "policy/random.h"
#include "policy/rollout_watch.h"

namespace mustardline {

struct rollout_settings
{
    // Share of a service's requests, and requests beyond it, that a bad version may get. Without a
    // share, orders are ignored.
    double exposureShare = 0;
    double exposureSlack = 0;
    // Time after which a bad version gets no more requests.
    duration rollbackTime = std::chrono::seconds(5);

    [[nodiscard]] auto isDecided() const -> bool { return exposureShare > 0; }
};

// What an edge tells the others about one roll-out.
struct service_rollout_report
{
    std::string service;
    std::string version;
    // Identifies the order.
    std::uint64_t order = 0;
    rollout_report report;

    auto operator==(const service_rollout_report &) const -> bool = default;
};

struct service_rollout
{
    rollout_order order;
    rollout_watch watch;
    rollout_record record;
    // An endpoint of another version is registered.
    bool hasBefore = true;
    // What was last logged, and applied to the endpoints.
    rollout_verdict shownVerdict = rollout_verdict::in_progress;
    bool isMoveShown = false;
    bool isRecordShown = false;
    // The others were told that no request of this edge is at the old version.
    bool isMoveTold = false;
};

class rollout_table
{
public:
    using endpoint_entries = std::map<std::string, endpoint_entry, std::less<>>;

    rollout_table(rollout_settings settings, std::uint64_t seed);

    // Returns false if the order is known, or roll-outs are not decided here. An order that is seen
    // again after the log came back from an older copy is the known one, at another position.
    auto setOrder(const rollout_order &order, time_point now) -> bool;
    auto removeOrder(const std::string &service) -> bool;

    [[nodiscard]] auto find(std::string_view service) -> service_rollout *;
    [[nodiscard]] auto isEmpty() const -> bool { return m_rollouts.empty(); }
    [[nodiscard]] auto all() -> std::map<std::string, service_rollout, std::less<>> &
    {
        return m_rollouts;
    }

    // The version for a new request; nothing if the service has no roll-out that runs.
    [[nodiscard]] auto choose(service_rollout &rollout, std::string_view route, time_point now)
        -> rollout_version;
    [[nodiscard]] static auto targetOf(const rollout_order &order) -> std::string;

    // What an endpoint serves, and whether it may get requests.
    [[nodiscard]] auto targetsOf(const endpoint_registration &endpoint) const
        -> std::vector<std::string>;
    [[nodiscard]] auto isOpen(const endpoint_registration &endpoint) const -> bool;
    // Must be called after endpoints changed; returns whether others have to serve other targets.
    auto setEndpoints(const endpoint_entries &entries) -> bool;

    auto ended(std::string_view service, std::uint64_t request, bool hasFailed, time_point now)
        -> void;

    auto tick(time_point now, std::uint32_t peerCount) -> void;

    // Exchange with the other edges.
    [[nodiscard]] auto reports() const -> std::vector<service_rollout_report>;
    auto applyPeer(const std::string &boot, const service_rollout_report &report, time_point now)
        -> void;
    // Returns true once for each roll-out when all requests have left the old version.
    [[nodiscard]] auto takeMoved() -> bool;

    // For the metrics.
    [[nodiscard]] auto runningCount() const -> std::int64_t;
    [[nodiscard]] auto sendCount() const -> std::int64_t;

private:
    // Takes the new position of a known order; returns false for any other order.
    auto renewOrder(const rollout_order &order, time_point now) -> bool;
    [[nodiscard]] auto findOf(std::string_view service) const -> const service_rollout *;

    rollout_settings m_settings;
    random_source m_random;
    // Keyed by service.
    std::map<std::string, service_rollout, std::less<>> m_rollouts;
};

} // namespace mustardline
