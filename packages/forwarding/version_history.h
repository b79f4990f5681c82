#pragma once

// Which versions of a service's software have had registered endpoints, and since when that is
// known.
//
//     version_history history({});
//     history.begin(now);                              // the newest registrations were read
//     history.setEndpoint(id, &registration, now);     // after each change
//     if (const auto version = history.soleVersion("chat", lifetime, now)) ...
//
// A stream can only have begun at a version that had an endpoint at that time. If a service had one
// version alone for as long as a stream can last, every stream of it that may still be resumed
// began at that version, also those of which this process knows nothing. That a version was not
// seen proves nothing by itself: knowledge has to reach back far enough.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"
#include "forwarding/endpoint_directory.h"

namespace mustardline {

struct version_history_options
{
    // Added to the lifetime of a stream: an edge that hears late of a registration or of its end
    // sends to endpoints by what it knew before.
    duration slack = std::chrono::seconds(2);
    // A version without endpoints is forgotten after this time. It must exceed the lifetime of any
    // stream.
    duration memory = std::chrono::minutes(30);
};

class version_history
{
public:
    explicit version_history(version_history_options options) : m_options(options) {}

    // The newest registrations were read, and what was registered before is not known.
    auto begin(time_point now) -> void
    {
        m_knownSince = now;
        ++m_beginnings;
    }
    // How often the history has begun.
    [[nodiscard]] auto beginnings() const -> std::uint64_t { return m_beginnings; }
    // All versions that were registered since `since` have been passed to `noteVersion`, as read
    // when the history had begun `beginnings` times. If it has begun again since, what lies between
    // that read and the new beginning is not known, and this has no effect.
    auto extend(time_point since, std::uint64_t beginnings) -> void
    {
        if (beginnings == m_beginnings && (!m_knownSince || since < *m_knownSince))
            m_knownSince = since;
    }
    auto noteVersion(std::string_view service, std::string_view version, time_point now) -> void;

    // Sets the registration of an endpoint; null if it has none any more. Returns whether the
    // versions that are registered for a service have changed.
    auto setEndpoint(std::string_view id, const endpoint_registration *registration, time_point now)
        -> bool;

    // The version of all streams of the service that began within `lifetime` before `now`; nothing
    // if it was not the same for all, or is not known.
    [[nodiscard]] auto soleVersion(std::string_view service, duration lifetime,
                                   time_point now) const -> std::optional<std::string>;
    // Whether `soleVersion` may name a version once older knowledge is there.
    [[nodiscard]] auto isUndecided(std::string_view service, duration lifetime,
                                   time_point now) const -> bool;
    // Whether what is known reaches back for as long as a stream lasts.
    [[nodiscard]] auto reachesBack(duration lifetime, time_point now) const -> bool
    {
        return m_knownSince && now - *m_knownSince >= lifetime + m_options.slack;
    }
    // Whether the newest registrations were read at all.
    [[nodiscard]] auto hasBegun() const -> bool { return m_knownSince.has_value(); }

    // The number of versions that are registered for a service, and of those that were within
    // `lifetime` before `now`, as far as is known.
    [[nodiscard]] auto registeredCount(std::string_view service) const -> std::size_t;
    [[nodiscard]] auto countWithin(std::string_view service, duration lifetime,
                                   time_point now) const -> std::size_t
    {
        return versionsWithin(service, lifetime, now).size();
    }
    // When an endpoint of the version was registered last; nothing if none is known of.
    [[nodiscard]] auto lastRegistered(std::string_view service, std::string_view version,
                                      time_point now) const -> std::optional<time_point>;

private:
    struct version_state
    {
        std::size_t endpoints = 0;
        // When the last endpoint of the version lost its registration.
        time_point endedAt{};
    };
    using version_states = std::map<std::string, version_state, std::less<>>;
    struct endpoint_version
    {
        std::string service;
        std::string version;

        auto operator==(const endpoint_version &) const -> bool = default;
    };

    auto add(const endpoint_version &added) -> bool;
    auto remove(const endpoint_version &removed, time_point now) -> bool;
    // The versions that had an endpoint within `lifetime` before `now`.
    [[nodiscard]] auto versionsWithin(std::string_view service, duration lifetime,
                                      time_point now) const -> std::set<std::string_view>;

    version_history_options m_options;
    std::optional<time_point> m_knownSince;
    std::uint64_t m_beginnings = 0;
    std::map<std::string, version_states, std::less<>> m_services;
    // Keyed by the endpoint's id.
    std::unordered_map<std::string, endpoint_version> m_endpoints;
};

} // namespace mustardline
