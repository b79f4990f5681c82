#pragma once

// Finds the route of a request and the account of its key in the configuration in force.
//
//     route_table routes;
//     routes.replace(std::make_shared<const fleet_configuration>(std::move(configuration)));
//     const auto *route = routes.find("shop.example", "/orders/new");
//     const auto *account = routes.accountOf(key);
//
// A version that is not newer than the one in force changes nothing. What `find` and `accountOf`
// return belongs to `current()`; hold that to keep it beyond the next `replace`.

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "forwarding/fleet_configuration.h"

namespace mustardline {

class route_table
{
public:
    // True if the configuration is now in force.
    auto replace(std::shared_ptr<const fleet_configuration> configuration) -> bool;

    // Null until the first configuration.
    [[nodiscard]] auto current() const -> const std::shared_ptr<const fleet_configuration> &
    {
        return m_current;
    }

    // The route of that host with the longest prefix that begins `path`; null if there is none.
    // The host may carry a port and be in any case.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const
        -> const route_settings *;

    // Null for a key that nobody holds.
    [[nodiscard]] auto accountOf(std::string_view key) const -> const account_settings *;

    // Null for a service that the configuration does not name.
    [[nodiscard]] auto service(std::string_view name) const -> const service_settings *;

    // Where a request stands in the order of urgency that endpoints are told, from 0, the first, to
    // 9. The account's or, without one, the route's `priority` goes before the route's own; the
    // ten levels are spread over the pairs that the configuration in force allows.
    [[nodiscard]] auto urgencyOf(std::uint32_t priority, std::uint32_t routePriority) const
        -> std::uint32_t;

private:
    static constexpr std::size_t urgencyLevels = 10;

    auto rankUrgencies() -> void;

    std::shared_ptr<const fleet_configuration> m_current;
    // Routes of a host by prefix.
    std::unordered_map<std::string, std::map<std::string_view, const route_settings *>> m_hosts;
    std::unordered_map<std::string_view, const account_settings *> m_accounts;
    // All pairs of a request's priority and its route's, in order.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_urgencies;
};

} // namespace mustardline
