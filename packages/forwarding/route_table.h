#pragma once

// Looks up the route of a request and the account of an API key in the configuration in force.
//
//     route_table routes;
//     routes.replace(std::make_shared<const fleet_configuration>(std::move(configuration)));
//     const auto *route = routes.find("shop.example", "/orders/new");
//     const auto *account = routes.accountOf(key);
//
// A version that is not newer than the one in force is ignored. The results of `find` and
// `accountOf` are owned by `current()`; hold that to keep them beyond the next `replace`.

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "forwarding/fleet_configuration.h"

namespace mustardline {

class route_table
{
public:
    // Returns true if the configuration is now in force.
    auto replace(std::shared_ptr<const fleet_configuration> configuration) -> bool;

    // The configuration in force was the newest at this time, as far as the shared log said.
    auto confirm(time_point at) -> void { m_confirmedAt = at; }
    // When that was last confirmed.
    [[nodiscard]] auto confirmedAt() const -> time_point { return m_confirmedAt; }

    // Null before the first configuration.
    [[nodiscard]] auto current() const -> const std::shared_ptr<const fleet_configuration> &
    {
        return m_current;
    }

    // Returns the route of the host with the longest matching path prefix, or null. The host is
    // case-insensitive and may include a port.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const
        -> const route_settings *;

    // Returns null for an unknown key.
    [[nodiscard]] auto accountOf(std::string_view key) const -> const account_settings *;

    // Returns null for a service that is not in the configuration.
    [[nodiscard]] auto service(std::string_view name) const -> const service_settings *;

    // Urgency of a request as sent to endpoints, from 0 (most urgent) to 9. Requests are ordered by
    // `priority`, which is the account's or else the route's, then by the route's own priority. The
    // ten levels are spread over all pairs that occur in the configuration in force.
    [[nodiscard]] auto urgencyOf(std::uint32_t priority, std::uint32_t routePriority) const
        -> std::uint32_t;

private:
    static constexpr std::size_t urgencyLevels = 10;

    auto rankUrgencies() -> void;

    std::shared_ptr<const fleet_configuration> m_current;
    time_point m_confirmedAt{};
    // Routes by host, then by path prefix.
    std::unordered_map<std::string, std::map<std::string_view, const route_settings *>> m_hosts;
    std::unordered_map<std::string_view, const account_settings *> m_accounts;
    // All pairs of request priority and route priority, sorted.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_urgencies;
};

} // namespace mustardline
