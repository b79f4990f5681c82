#pragma once

// Orders the managed endpoints of the data centres to start and stop, while this entry holds the
// lease of a data centre's orders.
//
//     order_duty orders(loop, http, log, leases, config, {.ordersAddress = address});
//     orders.configurationChanged(kind, id);
//     orders.tick();                                  // some times a second
//
// A managed endpoint should run unless it is leaving, be it by its operators' word or because
// scaling does not want it (scaling_duty.h). A leaving one is stopped only once it has no work any
// more (drain_watch.h).

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

    // Takes a record of the lease stream.
    auto fold(std::uint64_t offset, const v1::LogRecord &record) -> void
    {
        m_ledger.apply(offset, record, m_leases.table());
    }

    // Orders what is due.
    auto tick() -> void;

    // What scaling needs to know to choose among the endpoints of a data centre.
    [[nodiscard]] auto sight(const v1::Endpoint &endpoint) const -> endpoint_sight;

private:
    struct data_centre_orders
    {
        endpoint_reconciler book;
        const lease_holder &lease;
    };

    auto addDataCentre(const std::string &id) -> void;
    auto wish(const std::string &endpointId) -> void;
    auto desire(const v1::Endpoint &endpoint, bool running) -> void;
    auto tickDataCentre(const std::string &id, data_centre_orders &orders) -> void;
    [[nodiscard]] auto isMine(std::string_view dataCentre) const -> bool;
    auto lookAtDrained() -> void;
    auto look(const v1::Endpoint &endpoint) -> void;
    auto loadTold(const std::string &endpointId, const result<std::string> &reply) -> void;

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
    // Of the leaving endpoints that were looked at.
    std::map<std::string, std::unique_ptr<control_client>> m_agents;
};

} // namespace mustardline
