#pragma once

// Registered endpoints and their usability.
//
//     endpoint_directory directory({});
//     directory.applyRegistration(registration, now);
//     directory.applyWithdrawal(id, now);    // the registration was deleted
//     directory.setEvacuated({"tuzla"});
//     for (const auto &id : directory.takeChanged()) ...
//
// An endpoint is usable while its registration exists and says that it is ready, and its data
// centre is not evacuated. Registrations expire during an outage of the log service even though
// their endpoints are alive. Therefore, an endpoint that is withdrawn within a grace period after
// an outage stays usable until the period ends, and is removed then unless it has registered again.
//
// An address belongs to one instance of an endpoint: the same id with a later `startedAtMs` is a
// new instance.

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "net/http_message.h"

namespace mustardline {

// What an endpoint publishes about itself.
struct endpoint_registration
{
    std::string id;
    std::string service;
    // Version of its software; empty if unknown.
    std::string version;
    socket_address address;
    std::string dataCentre;
    // Requests that it executes concurrently.
    std::uint32_t slots = 1;
    // It accepts new work, that is, it is not draining.
    bool ready = true;
    // Remaining time, as of this registration, during which it accepts only the rate of a cold
    // endpoint.
    duration coldRemaining{};
    // Start time in milliseconds since 1970; 0 if unknown.
    std::int64_t startedAtMs = 0;
    // Grows with each registration of one start; 0 if unknown.
    std::uint64_t sequence = 0;

    auto operator==(const endpoint_registration &) const -> bool = default;
};

// Compares two registrations of one endpoint by its start, then by its count of registrations;
// unordered if the starts are equal and a count or the start is unknown.
[[nodiscard]] auto compareAge(const endpoint_registration &left, const endpoint_registration &right)
    -> std::partial_ordering;

struct endpoint_entry
{
    endpoint_registration registration;
    // End of the cold period; in the past if it is not cold.
    time_point coldUntil{};
    // Set if the registration was withdrawn during the grace period; it is usable until this time.
    std::optional<time_point> graceUntil;
    // A response from its address came from another endpoint.
    bool replaced = false;
    // One of its own responses said that it accepts no new work.
    bool leaving = false;
};

struct endpoint_directory_options
{
    // Grace period after an outage of the log service.
    duration outageGrace = std::chrono::milliseconds(2500);
};

class endpoint_directory
{
public:
    explicit endpoint_directory(endpoint_directory_options options) : m_options(options) {}

    // Returns false for a heartbeat, which changes nothing, for a record of an earlier instance,
    // and for an earlier record of the same instance, which the log service executed late.
    auto applyRegistration(endpoint_registration registration, time_point now) -> bool;
    // Returns false if the endpoint is unknown.
    auto applyWithdrawal(std::string_view id, time_point now) -> bool;
    // Withdraws all endpoints that are not in `ids`: the records of their withdrawal expired
    // unread.
    auto retainOnly(const std::set<std::string, std::less<>> &ids, time_point now) -> void;

    // All that the log held at this time has been applied.
    auto markUpToDate(time_point at) -> void { m_upToDateAt = std::max(m_upToDateAt, at); }
    [[nodiscard]] auto upToDateAt() const -> time_point { return m_upToDateAt; }

    // The log service became available after an outage.
    auto onLogAvailable(time_point now) -> void { m_logAvailableAt = now; }

    // The endpoint's address now belongs to another endpoint.
    auto markReplaced(std::string_view id) -> void;
    // A response said that the endpoint is shutting down. The mark is removed when the endpoint
    // restarts, or registers as ready after it had registered as draining. Returns false if it was
    // set already.
    auto markLeaving(std::string_view id) -> bool;

    auto setEvacuated(std::set<std::string, std::less<>> dataCentres) -> void;

    // Removes withdrawn endpoints whose grace period is over.
    auto tick(time_point now) -> void;

    [[nodiscard]] auto find(std::string_view id) const -> const endpoint_entry *;
    [[nodiscard]] auto isUsable(const endpoint_entry &entry) const -> bool;
    [[nodiscard]] auto isCold(const endpoint_entry &entry, time_point now) const -> bool
    {
        return now < entry.coldUntil;
    }
    [[nodiscard]] auto entries() const -> const std::map<std::string, endpoint_entry, std::less<>> &
    {
        return m_entries;
    }

    // Ids of the endpoints that were added, changed or removed since the last call.
    [[nodiscard]] auto takeChanged() -> std::set<std::string>;

private:
    endpoint_directory_options m_options;
    std::map<std::string, endpoint_entry, std::less<>> m_entries;
    std::set<std::string, std::less<>> m_evacuated;
    std::set<std::string> m_changed;
    std::optional<time_point> m_logAvailableAt;
    time_point m_upToDateAt{};
};

} // namespace mustardline
