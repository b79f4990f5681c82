#include "entry/order_duty.h"

#include <vector>

#include "control.pb.h"
#include "entry/events.h"

namespace mustardline {

order_duty::order_duty(event_loop &loop, http_client &http, logger &log, duty_leases &leases,
                       const configuration &config, order_duty_options options)
    : m_loop(loop),
      m_log(log),
      m_leases(leases),
      m_config(config),
      m_options(std::move(options)),
      m_client(http, m_options.ordersAddress),
      m_drains(m_options.drains)
{}

auto order_duty::configurationChanged(v1::EntityKind kind, const std::string &id) -> void
{
    if (kind == v1::ENTITY_KIND_DATA_CENTRE)
        addDataCentre(id);
    else if (kind == v1::ENTITY_KIND_ENDPOINT)
        updateDesired(id);
}

auto order_duty::tick() -> void
{
    pollLeaving();
    for (auto &[id, orders] : m_dataCentres)
        tickDataCentre(id, orders);
}

auto order_duty::addDataCentre(const std::string &id) -> void
{
    if (m_dataCentres.contains(id))
        return;
    m_dataCentres.emplace(id,
                          data_centre_orders{.reconciler = endpoint_reconciler({.dataCentre = id}),
                                             .lease = m_leases.contend(orderDuty(id))});
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT)) {
        if (item->entity().endpoint().data_centre() == id)
            updateDesired(item->entity().endpoint().id());
    }
}

auto order_duty::updateDesired(const std::string &endpointId) -> void
{
    m_drains.forget(endpointId);
    m_agents.erase(endpointId);
    const auto *endpoint = m_config.endpoint(endpointId);
    if (endpoint != nullptr && endpoint->managed() && !endpoint->leaving()) {
        setDesired(*endpoint, true);
        return;
    }
    // A leaving endpoint that exits by itself before it is found empty must not be started again.
    for (auto &[id, orders] : m_dataCentres)
        orders.reconciler.forget(endpointId);
    if (endpoint == nullptr || !endpoint->managed())
        return;
    const auto silence = endpoint->scaled_down() ? silence_meaning::unknown : silence_meaning::gone;
    m_drains.watch(endpointId, silence, m_clock.now());
}

auto order_duty::setDesired(const v1::Endpoint &endpoint, bool running) -> void
{
    const auto orders = m_dataCentres.find(endpoint.data_centre());
    if (orders == m_dataCentres.end())
        return;
    orders->second.reconciler.desire(
        {.endpoint = endpoint.id(), .model = endpoint.serves(0), .running = running});
}

auto order_duty::tickDataCentre(const std::string &id, data_centre_orders &orders) -> void
{
    const auto now = m_clock.now();
    auto actions = orders.reconciler.tick(
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
                   orders.reconciler.answered(orderId, accepted);
               });
    if (!actions.list)
        return;
    m_client.list(
        id, [&orders, list = *actions.list](const result<std::vector<listed_endpoint>> &found) {
            if (const auto *endpoints = std::get_if<std::vector<listed_endpoint>>(&found))
                orders.reconciler.listed(list, *endpoints);
        });
}

auto order_duty::holdsLease(std::string_view dataCentre) const -> bool
{
    const auto orders = m_dataCentres.find(dataCentre);
    return orders != m_dataCentres.end() && orders->second.lease.holds(m_clock.now());
}

auto order_duty::observation(const v1::Endpoint &endpoint) const -> endpoint_observation
{
    if (!holdsLease(endpoint.data_centre()))
        return {};
    const auto &reconciler = m_dataCentres.find(endpoint.data_centre())->second.reconciler;
    return {.holdsOrderLease = true,
            .isUp = reconciler.isListedAsUp(endpoint.id()),
            .load = m_drains.load(endpoint.id())};
}

auto order_duty::pollLeaving() -> void
{
    const auto now = m_clock.now();
    for (const auto &id : m_drains.takeDrained(now)) {
        m_agents.erase(id);
        if (const auto *endpoint = m_config.endpoint(id))
            setDesired(*endpoint, false);
    }
    const auto due = m_drains.duePolls(now, [this](const std::string &id) {
        const auto *endpoint = m_config.endpoint(id);
        return endpoint != nullptr && holdsLease(endpoint->data_centre());
    });
    for (const auto &id : due)
        pollAgent(*m_config.endpoint(id));
}

auto order_duty::pollAgent(const v1::Endpoint &endpoint) -> void
{
    auto &agent = m_agents[endpoint.id()];
    if (agent == nullptr)
        agent = std::make_unique<control_client>(m_loop, parseAddress(endpoint.control_address()),
                                                 control_client_options());
    if (agent->isBusy())
        return;
    v1::ControlRequest request;
    request.set_sender(m_options.entryName);
    request.set_configuration_offset(m_config.offset());
    request.mutable_load();
    agent->send(request.SerializeAsString(),
                [this, name = endpoint.id()](const result<std::string> &reply) {
                    onLoadReply(name, reply);
                });
}

auto order_duty::onLoadReply(const std::string &endpointId, const result<std::string> &reply)
    -> void
{
    v1::ControlReply message;
    const auto *bytes = std::get_if<std::string>(&reply);
    if (bytes == nullptr || !message.ParseFromString(*bytes) || !message.has_load())
        return;
    const auto load = message.load().running() + message.load().queued();
    m_drains.recordLoad(endpointId, load, m_clock.now());
}

} // namespace mustardline
