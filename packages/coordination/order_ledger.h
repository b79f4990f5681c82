#pragma once

// The newest logged order of each endpoint, built from the log's lease stream.
//
//     leases.apply(offset, record);
//     orders.apply(offset, record, leases);      // the same record, after the lease table
//     const auto *intent = orders.latest("tuzla", "endpoint-7");
//
// A lease holder logs each order and reads it back before it sends it. Its successor thus finds
// every order that may have been sent, and can resend it under the same id. A record whose fencing
// token is not that of the current tenure is void: its writer no longer held the lease.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "coordination/lease_table.h"

namespace mustardline {

enum class order_action : std::uint8_t { start, stop };

[[nodiscard]] auto orderActionName(order_action action) -> std::string_view;

struct order_intent
{
    std::string orderId;
    order_action action = order_action::start;
    std::string endpoint;
    std::string model;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const order_intent &) const = default;
};

// The duty (name of the lease) for the orders of a data centre.
[[nodiscard]] auto orderDuty(std::string_view dataCentre) -> std::string;

class order_ledger
{
public:
    // Applies one record, which must have been applied to `leases` before.
    auto apply(std::uint64_t offset, const v1::LogRecord &record, const lease_table &leases)
        -> void;

    // The newest logged order for an endpoint; null if there is none.
    [[nodiscard]] auto latest(std::string_view dataCentre, std::string_view endpoint) const
        -> const order_intent *;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const order_ledger &) const = default;

private:
    using endpoint_table = std::map<std::string, order_intent, std::less<>>;

    std::uint64_t m_offset = 0;
    std::map<std::string, endpoint_table, std::less<>> m_dataCentres;
};

} // namespace mustardline
