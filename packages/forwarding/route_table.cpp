#include "forwarding/route_table.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <optional>
#include <set>

namespace mustardline {

namespace {

auto hostName(std::string_view host) -> std::string
{
    std::string name(host.substr(0, host.rfind(':')));
    std::ranges::transform(name, name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return name;
}

} // namespace

auto route_table::replace(std::shared_ptr<const fleet_configuration> configuration) -> bool
{
    if (m_current && configuration->version <= m_current->version)
        return false;
    m_current = std::move(configuration);
    m_hosts.clear();
    m_accounts.clear();
    for (const auto &each : m_current->routes)
        m_hosts[hostName(each.host)].emplace(each.pathPrefix, &each);
    for (const auto &each : m_current->accounts) {
        for (const auto &key : each.keys)
            m_accounts.emplace(key, &each);
    }
    rankUrgencies();
    return true;
}

auto route_table::rankUrgencies() -> void
{
    m_urgencies.clear();
    std::set<std::optional<std::uint32_t>> ofAccounts{std::nullopt};
    for (const auto &account : m_current->accounts)
        ofAccounts.insert(account.priority);
    for (const auto &route : m_current->routes) {
        for (const auto &priority : ofAccounts)
            m_urgencies.emplace_back(priority.value_or(route.priority), route.priority);
    }
    std::ranges::sort(m_urgencies);
    m_urgencies.erase(std::unique(m_urgencies.begin(), m_urgencies.end()), m_urgencies.end());
}

auto route_table::urgencyOf(std::uint32_t priority, std::uint32_t routePriority) const
    -> std::uint32_t
{
    const auto position = std::ranges::lower_bound(m_urgencies, std::pair(priority, routePriority));
    const auto rank = static_cast<std::size_t>(std::distance(m_urgencies.begin(), position));
    const auto count = std::max<std::size_t>(m_urgencies.size(), urgencyLevels);
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(rank * urgencyLevels / count, urgencyLevels - 1));
}

auto route_table::find(std::string_view host, std::string_view path) const -> const route_settings *
{
    const auto entry = m_hosts.find(hostName(host));
    if (entry == m_hosts.end())
        return nullptr;
    // Every prefix ends with a slash, so only the prefixes of `path` that end with one can match.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = entry->second.find(path.substr(0, slash + 1));
        if (found != entry->second.end())
            return found->second;
    }
    return nullptr;
}

auto route_table::accountOf(std::string_view key) const -> const account_settings *
{
    const auto entry = m_accounts.find(key);
    return entry == m_accounts.end() ? nullptr : entry->second;
}

auto route_table::service(std::string_view name) const -> const service_settings *
{
    if (!m_current)
        return nullptr;
    const auto &services = m_current->services;
    const auto found = std::ranges::find(services, name, &service_settings::name);
    return found == services.end() ? nullptr : &*found;
}

} // namespace mustardline
