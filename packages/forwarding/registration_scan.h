#pragma once

// What the registrations that a log still holds tell of the time before they were read: how far
// back they reach, and which versions were registered.
//
//     registration_scan scan({.interval = 1200ms});
//     for (const auto &registration : registrations) scan.add(registration);
//     history.extend(now - scan.reach(), history.beginnings());
//
// Records bear no time. But an endpoint registers again at a known interval and counts how often it
// has done so, so that two registrations of one start are apart by their counts. Between them the
// log holds every record.

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "forwarding/endpoint_directory.h"

namespace mustardline {

struct registration_scan_options
{
    // Interval at which endpoints register again; zero if it is not known.
    duration interval{};
};

class registration_scan
{
public:
    explicit registration_scan(registration_scan_options options) : m_options(options) {}

    auto add(const endpoint_registration &registration) -> void
    {
        m_versions.emplace(registration.service, registration.version);
        if (registration.startedAtMs == 0 || registration.sequence == 0)
            return;
        auto &counts = m_counts
                           .try_emplace({registration.id, registration.startedAtMs},
                                        registration.sequence, registration.sequence)
                           .first->second;
        counts.first = std::min(counts.first, registration.sequence);
        counts.second = std::max(counts.second, registration.sequence);
    }

    // All registrations up to the end of the log were added.
    auto setComplete() -> void { m_isComplete = true; }
    [[nodiscard]] auto isComplete() const -> bool { return m_isComplete; }

    // The log has never held records before those that are added.
    auto setWhole() -> void { m_isWhole = true; }

    // The time for which all registrations are known; of a log that no longer holds its first
    // records, that between two registrations, as proved by one endpoint's count.
    [[nodiscard]] auto reach() const -> duration
    {
        if (m_isWhole)
            return longTime;
        std::uint64_t most = 0;
        for (const auto &[start, counts] : m_counts)
            most = std::max(most, counts.second - counts.first);
        return m_options.interval * static_cast<std::int64_t>(std::min(most, maxCounted))
               * exactPercent / wholePercent;
    }

    // The services and versions that were registered.
    [[nodiscard]] auto versions() const -> const std::set<std::pair<std::string, std::string>> &
    {
        return m_versions;
    }

private:
    // Endpoints keep to the interval only approximately.
    static constexpr std::int64_t exactPercent = 90;
    static constexpr std::int64_t wholePercent = 100;
    static constexpr std::uint64_t maxCounted = 10'000;
    // Longer than any stream lasts.
    static constexpr duration longTime = std::chrono::hours(24);

    registration_scan_options m_options;
    bool m_isComplete = false;
    bool m_isWhole = false;
    std::set<std::pair<std::string, std::string>> m_versions;
    // By id and start: the lowest and the highest count.
    std::map<std::pair<std::string, std::int64_t>, std::pair<std::uint64_t, std::uint64_t>>
        m_counts;
};

} // namespace mustardline
