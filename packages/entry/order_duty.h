#pragma once

// Orders the managed endpoints of each data centre to start and stop while this entry process holds
// the order lease of that data centre.
//
//     order_duty orders(loop, http, log, leases, config, {.ordersAddress = address});
//     orders.configurationChanged(kind, id);
//     orders.tick();                                  // several times a second
//
// A managed endpoint should run unless it is leaving, either because operators marked it or because
// scaling does not need it (scaling_duty.h). A leaving endpoint is stopped only once it has no work
// left (drain_watch.h).

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/log.h"
#include "coordination/configuration.h"
#include "coordination/endpoint_reconciler.h"
#include "coordination/order_ledger.h"
#include "coordination/orders_client.h"
#include "entry/drain_watch.h"
#include "entry/duty_leases.h"
#include "entry/scaling_duty.h"
#include "net/control_socket.h"

namespace mustardline {

struct order_duty_options
{
    std::string entryName;
    socket_address ordersAddress;
    drain_watch_options drains = {};
};

class order_duty
{
public:
    order_duty(event_loop &loop, http_client &http, logger &log, duty_leases &leases,
               const configuration &config, order_duty_options options);

    auto configurationChanged(v1::EntityKind kind, const std::string &id) -> void;

    // Applies a record of the lease stream.
    auto applyRecord(std::uint64_t offset, const v1::LogRecord &record) -> void
    {
        m_ledger.apply(offset, record, m_leases.table());
    }

    // Polls leaving endpoints and sends the orders that are due.
    auto tick() -> void;

    // The state of an endpoint that scaling needs to choose among those of a data centre.
    [[nodiscard]] auto observation(const v1::Endpoint &endpoint) const -> endpoint_observation;

private:
    struct data_centre_orders
    {
        endpoint_reconciler reconciler;
        const lease_holder &lease;
    };

    auto addDataCentre(const std::string &id) -> void;
    auto updateDesired(const std::string &endpointId) -> void;
    auto setDesired(const v1::Endpoint &endpoint, bool running) -> void;
    auto tickDataCentre(const std::string &id, data_centre_orders &orders) -> void;
    [[nodiscard]] auto holdsLease(std::string_view dataCentre) const -> bool;
    auto pollLeaving() -> void;
    auto pollAgent(const v1::Endpoint &endpoint) -> void;
    auto onLoadReply(const std::string &endpointId, const result<std::string> &reply) -> void;

    event_loop &m_loop;
    logger &m_log;
    duty_leases &m_leases;
    const configuration &m_config;
    order_duty_options m_options;
    system_runtime_clock m_clock;
    orders_client m_client;
    order_ledger m_ledger;
    std::map<std::string, data_centre_orders, std::less<>> m_dataCentres;
    drain_watch m_drains;
    // Agents of the leaving endpoints that have been polled.
    std::map<std::string, std::unique_ptr<control_client>> m_agents;
};

} // namespace mustardline
