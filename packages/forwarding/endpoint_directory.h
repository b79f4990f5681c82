#pragma once

// The endpoints that registered themselves, and what of them may be used.
//
//     endpoint_directory directory({});
//     directory.registered(registration, now);
//     directory.withdrawn(id, now);          // its registration is gone
//     directory.setEvacuated({"tuzla"});
//     for (const auto &id : directory.takeChanged()) ...
//
// An endpoint is usable while its registration stands, says it is ready, and its data centre is not
// evacuated. Registrations lapse while the log service is away although their endpoints live; so
// one that is withdrawn within the grace after an outage stays usable until the grace has passed,
// and goes then unless it has come back.
//
// An address belongs to one start of an endpoint: the same id with a later `bornAt` is a new one.

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

// What an endpoint says of itself.
struct endpoint_registration
{
    std::string id;
    std::string service;
    socket_address address;
    std::string dataCentre;
    // Requests that it works on at once.
    std::uint32_t slots = 1;
    // It takes new work: it does not drain.
    bool ready = true;
    // How much longer it bears only the rate of a cold endpoint, as of this registration.
    duration coldRemaining{};
    // Milliseconds since 1970 of its start; 0 if it does not say.
    std::int64_t bornAt = 0;

    auto operator==(const endpoint_registration &) const -> bool = default;
};

struct endpoint_entry
{
    endpoint_registration registration;
    // Until when it is cold; of the past if it is not.
    time_point coldUntil{};
    // Its registration is gone; it may be used until then all the same.
    std::optional<time_point> withdrawnUntil;
    // An answer from its address named another endpoint.
    bool replaced = false;
    // An answer of its own said that it takes no new work.
    bool leaving = false;
};

struct endpoint_directory_options
{
    // How long after an outage of the log service a registration may be missing.
    duration outageGrace = std::chrono::milliseconds(2500);
};

class endpoint_directory
{
public:
    explicit endpoint_directory(endpoint_directory_options options) : m_options(options) {}

    // False if it says no more than that the endpoint still lives.
    auto registered(endpoint_registration registration, time_point now) -> bool;
    // False if it is not known.
    auto withdrawn(std::string_view id, time_point now) -> bool;
    // Withdraws all that are not in `ids`: the log forgot what happened to them.
    auto keepOnly(const std::set<std::string, std::less<>> &ids, time_point now) -> void;

    // All that the log had to say until now was told.
    auto heard(time_point now) -> void { m_heardAt = now; }
    [[nodiscard]] auto heardAt() const -> time_point { return m_heardAt; }

    // The log service answered again after it had not.
    auto logReturned(time_point now) -> void { m_logReturnedAt = now; }

    // Another endpoint has that address now.
    auto addressTaken(std::string_view id) -> void;
    // The endpoint said in an answer that it leaves; that holds until it starts anew, or registers
    // as ready after it had registered as leaving. False if that was known.
    auto saidItLeaves(std::string_view id) -> bool;

    auto setEvacuated(std::set<std::string, std::less<>> dataCentres) -> void;

    // Ends the grace of what was withdrawn.
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

    // The ids of endpoints that changed, came or went since the last call.
    [[nodiscard]] auto takeChanged() -> std::set<std::string>;

private:
    endpoint_directory_options m_options;
    std::map<std::string, endpoint_entry, std::less<>> m_entries;
    std::set<std::string, std::less<>> m_evacuated;
    std::set<std::string> m_changed;
    std::optional<time_point> m_logReturnedAt;
    time_point m_heardAt{};
};

} // namespace mustardline
