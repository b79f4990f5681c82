#include "forwarding/version_history.h"

#include <algorithm>
#include <utility>

namespace mustardline {

auto version_history::noteVersion(std::string_view service, std::string_view version,
                                  time_point now) -> void
{
    auto &state = m_services[std::string(service)][std::string(version)];
    state.endedAt = std::max(state.endedAt, now);
}

auto version_history::setEndpoint(std::string_view id, const endpoint_registration *registration,
                                  time_point now) -> bool
{
    const auto known = m_endpoints.find(std::string(id));
    if (registration == nullptr) {
        if (known == m_endpoints.end())
            return false;
        const auto removed = std::move(known->second);
        m_endpoints.erase(known);
        return remove(removed, now);
    }
    const endpoint_version added{.service = registration->service,
                                 .version = registration->version};
    if (known == m_endpoints.end()) {
        m_endpoints.emplace(id, added);
        return add(added);
    }
    if (known->second == added)
        return false;
    const auto removed = std::exchange(known->second, added);
    const bool hasAdded = add(added);
    return remove(removed, now) || hasAdded;
}

auto version_history::add(const endpoint_version &added) -> bool
{
    return ++m_services[added.service][added.version].endpoints == 1;
}

auto version_history::remove(const endpoint_version &removed, time_point now) -> bool
{
    auto &versions = m_services[removed.service];
    auto &state = versions[removed.version];
    state.endedAt = now;
    std::erase_if(versions, [&](const auto &item) {
        return item.first != removed.version && item.second.endpoints == 0
               && now - item.second.endedAt > m_options.memory;
    });
    return --state.endpoints == 0;
}

auto version_history::versionsWithin(std::string_view service, duration lifetime,
                                     time_point now) const -> std::set<std::string_view>
{
    std::set<std::string_view> versions;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return versions;
    for (const auto &[version, state] : found->second) {
        if (state.endpoints > 0 || now - state.endedAt < lifetime + m_options.slack)
            versions.insert(version);
    }
    return versions;
}

auto version_history::soleVersion(std::string_view service, duration lifetime, time_point now) const
    -> std::optional<std::string>
{
    if (!reachesBack(lifetime, now))
        return std::nullopt;
    const auto versions = versionsWithin(service, lifetime, now);
    if (versions.size() != 1)
        return std::nullopt;
    return std::string(*versions.begin());
}

auto version_history::isUndecided(std::string_view service, duration lifetime, time_point now) const
    -> bool
{
    return countWithin(service, lifetime, now) == 1;
}

auto version_history::registeredCount(std::string_view service) const -> std::size_t
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(
        found->second, [](const auto &item) { return item.second.endpoints > 0; }));
}

auto version_history::lastRegistered(std::string_view service, std::string_view version,
                                     time_point now) const -> std::optional<time_point>
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto state = found->second.find(version);
    if (state == found->second.end())
        return std::nullopt;
    return state->second.endpoints > 0 ? now : state->second.endedAt;
}

} // namespace mustardline
