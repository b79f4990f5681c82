#include "entry/order_duty.h"

#include <vector>

#include "control.pb.h"
#include "entry/events.h"

namespace mustardline {

namespace {

constexpr auto lookPause = std::chrono::seconds(1);

} // namespace

order_duty::order_duty(event_loop &loop, http_client &http, logger &log, duty_leases &leases,
                       const configuration &config, order_duty_options options)
    : m_loop(loop),
      m_log(log),
      m_leases(leases),
      m_config(config),
      m_options(std::move(options)),
      m_client(http, m_options.ordersAddress)
{}

auto order_duty::configurationChanged(v1::EntityKind kind, const std::string &id) -> void
{
    if (kind == v1::ENTITY_KIND_DATA_CENTRE)
        addDataCentre(id);
    else if (kind == v1::ENTITY_KIND_ENDPOINT)
        wish(id);
}

auto order_duty::tick() -> void
{
    lookAtDrained(m_clock.now());
    for (auto &[id, orders] : m_dataCentres)
        tickDataCentre(id, orders);
}

auto order_duty::addDataCentre(const std::string &id) -> void
{
    if (m_dataCentres.contains(id))
        return;
    m_dataCentres.emplace(id, data_centre_orders{.book = order_book({.dataCentre = id}),
                                                 .lease = m_leases.contend(orderDuty(id))});
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT)) {
        if (item->entity().endpoint().data_centre() == id)
            wish(item->entity().endpoint().id());
    }
}

auto order_duty::wish(const std::string &endpointId) -> void
{
    m_drained.erase(endpointId);
    const auto *endpoint = m_config.endpoint(endpointId);
    if (endpoint == nullptr || !endpoint->managed()) {
        for (auto &[id, orders] : m_dataCentres)
            orders.book.forget(endpointId);
        return;
    }
    if (!endpoint->leaving()) {
        desire(*endpoint, true);
        return;
    }
    auto &drained = m_drained[endpointId];
    drained.dataCentre = endpoint->data_centre();
    drained.agent = std::make_unique<control_client>(
        m_loop, parseAddress(endpoint->control_address()), control_client_options());
    drained.heardAt = m_clock.now();
}

auto order_duty::desire(const v1::Endpoint &endpoint, bool running) -> void
{
    const auto orders = m_dataCentres.find(endpoint.data_centre());
    if (orders == m_dataCentres.end())
        return;
    orders->second.book.desire(
        {.endpoint = endpoint.id(), .model = endpoint.serves(0), .running = running});
}

auto order_duty::tickDataCentre(const std::string &id, data_centre_orders &orders) -> void
{
    const auto now = m_clock.now();
    auto actions = orders.book.tick(
        m_ledger,
        {.now = now, .holdsLease = orders.lease.holds(now), .fencing = orders.lease.fencing()});
    for (auto &record : actions.records)
        m_leases.append(std::move(record));
    for (const auto &order : actions.orders) {
        m_log.write(orderSent, field("order", order.orderId), field("data_centre", id),
                    field("action", orderActionName(order.action)),
                    field("endpoint", order.endpoint), field("fencing", order.fencing));
    }
    sendOrders(m_client, orders.lease, m_clock, actions.orders,
               [this, &orders](const std::string &orderId, bool accepted) {
                   m_log.write(orderAnswered, field("order", orderId), field("accepted", accepted));
                   orders.book.answered(orderId, accepted);
               });
    if (!actions.list)
        return;
    m_client.list(
        id, [&orders, list = *actions.list](const result<std::vector<listed_endpoint>> &found) {
            if (const auto *endpoints = std::get_if<std::vector<listed_endpoint>>(&found))
                orders.book.listed(list, *endpoints);
        });
}

auto order_duty::lookAtDrained(time_point now) -> void
{
    std::vector<std::string> empty;
    for (auto &[id, drained] : m_drained) {
        const auto settled
            = drained.emptySince && now - *drained.emptySince >= m_options.settleTime;
        if (settled || now - drained.heardAt >= m_options.silenceLimit) {
            empty.push_back(id);
            continue;
        }
        const auto orders = m_dataCentres.find(drained.dataCentre);
        const auto isMine = orders != m_dataCentres.end() && orders->second.lease.holds(now);
        if (!isMine)
            drained.heardAt = now;
        if (!isMine || now < drained.nextLookAt || drained.agent->isBusy())
            continue;
        drained.nextLookAt = now + lookPause;
        v1::ControlRequest request;
        request.set_sender(m_options.entryName);
        request.set_configuration_offset(m_config.offset());
        request.mutable_load();
        drained.agent->send(
            request.SerializeAsString(),
            [this, name = id](const result<std::string> &reply) { loadTold(name, reply); });
    }
    for (const auto &id : empty) {
        m_drained.erase(id);
        if (const auto *endpoint = m_config.endpoint(id))
            desire(*endpoint, false);
    }
}

auto order_duty::loadTold(const std::string &endpointId, const result<std::string> &reply) -> void
{
    const auto found = m_drained.find(endpointId);
    v1::ControlReply message;
    const auto *bytes = std::get_if<std::string>(&reply);
    const auto told = bytes != nullptr && message.ParseFromString(*bytes) && message.has_load();
    if (found == m_drained.end() || !told)
        return;
    const auto now = m_clock.now();
    found->second.heardAt = now;
    if (message.load().running() + message.load().queued() > 0)
        found->second.emptySince.reset();
    else if (!found->second.emptySince)
        found->second.emptySince = now;
}

} // namespace mustardline
