#include "coordination/order_ledger.h"

#include <fmt/format.h>

namespace mustardline {

auto orderActionName(order_action action) -> std::string_view
{
    return action == order_action::start ? "start" : "stop";
}

auto orderDuty(std::string_view dataCentre) -> std::string
{
    return fmt::format("orders/{}", dataCentre);
}

auto order_ledger::apply(std::uint64_t offset, const v1::LogRecord &record,
                         const lease_table &leases) -> void
{
    if (offset <= m_offset)
        return;
    m_offset = offset;
    if (!record.has_order())
        return;
    const auto &order = record.order();
    if (!leases.isCurrent(orderDuty(order.data_centre()), order.fencing()))
        return;
    const auto isStart = order.action() == orderActionName(order_action::start);
    m_dataCentres[order.data_centre()][order.endpoint()]
        = {.orderId = order.order_id(),
           .action = isStart ? order_action::start : order_action::stop,
           .endpoint = order.endpoint(),
           .model = order.model()};
}

auto order_ledger::latest(std::string_view dataCentre, std::string_view endpoint) const
    -> const order_intent *
{
    const auto endpoints = m_dataCentres.find(dataCentre);
    if (endpoints == m_dataCentres.end())
        return nullptr;
    const auto found = endpoints->second.find(endpoint);
    return found == endpoints->second.end() ? nullptr : &found->second;
}

} // namespace mustardline
