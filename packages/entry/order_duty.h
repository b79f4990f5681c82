#pragma once

// Orders the managed endpoints of the data centres to start and stop, while this entry holds the
// lease of a data centre's orders.
//
//     order_duty orders(loop, http, log, leases, config, {.ordersAddress = address});
//     orders.configurationChanged(kind, id);
//     orders.tick();                                  // some times a second
//
// A managed endpoint should run unless it is leaving. A leaving one is stopped only once its agent
// says that it has no work, at two looks that are further apart than a change of configuration
// takes to reach every entry; so no entry can still send it any. An agent that does not answer for
// long is taken for gone.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/log.h"
#include "entry/duty_leases.h"
#include "net/control_socket.h"
#include "platform/configuration.h"
#include "platform/order_book.h"
#include "platform/order_ledger.h"
#include "platform/orders_client.h"

namespace mustardline {

struct order_duty_options
{
    std::string entryName;
    socket_address ordersAddress;
    // Least time between the two looks that find a leaving endpoint empty.
    duration settleTime = std::chrono::seconds(5);
    // An agent silent for so long is taken for gone.
    duration silenceLimit = std::chrono::seconds(60);
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

private:
    struct data_centre_orders
    {
        order_book book;
        const lease_holder &lease;
    };

    // A leaving endpoint that is not known to be empty yet.
    struct drained_endpoint
    {
        std::string dataCentre;
        std::unique_ptr<control_client> agent;
        time_point heardAt;
        time_point nextLookAt;
        std::optional<time_point> emptySince;
    };

    auto addDataCentre(const std::string &id) -> void;
    auto wish(const std::string &endpointId) -> void;
    auto desire(const v1::Endpoint &endpoint, bool running) -> void;
    auto tickDataCentre(const std::string &id, data_centre_orders &orders) -> void;
    auto lookAtDrained(time_point now) -> void;
    auto loadTold(const std::string &endpointId, const result<std::string> &reply) -> void;

    event_loop &m_loop;
    logger &m_log;
    duty_leases &m_leases;
    const configuration &m_config;
    order_duty_options m_options;
    system_runtime_clock m_clock;
    orders_client m_client;
    order_ledger m_ledger;
    std::map<std::string, data_centre_orders> m_dataCentres;
    std::map<std::string, drained_endpoint> m_drained;
};

} // namespace mustardline
