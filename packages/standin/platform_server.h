#pragma once

// The stand-in platform: log service, endpoint orders, usage interface, VM list and weight limits
// as described in docs/PLATFORM.md, with controls that inject outages, lost responses and delays.
//
//     platform_server platform(loop, log, {.port = 0});
//     platform.server().listen();

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"
#include "standin/fault_gate.h"
#include "standin/platform_log.h"

namespace mustardline::standin {

struct platform_options
{
    std::uint16_t port = 0;
    // Time from a start order until the endpoint is `running`, and from a stop order until it is
    // removed.
    duration startDelay = std::chrono::milliseconds(200);
    duration stopDelay = std::chrono::milliseconds(200);
    // Limit on concurrent loads, as reported by the weight store.
    std::uint32_t loadsAtOnce = 2;
};

class platform_server
{
public:
    platform_server(event_loop &loop, logger &log, const platform_options &options);

    [[nodiscard]] auto server() -> http_server & { return m_server; }

private:
    struct ordered_endpoint
    {
        std::string id;
        std::string dataCentre;
        std::string model;
        std::string state;
        std::string orderId;
    };

    auto addInterfaceRoutes() -> void;
    auto addControlRoutes() -> void;
    auto addControl(const std::string &name,
                    std::function<auto(const exchange_ptr &, const nlohmann::json &)->void> handler)
        -> void;
    // The gates selected by the name of an interface or by "all".
    auto gatesFor(const std::string &interface) -> std::vector<fault_gate *>;

    auto handleOrder(const exchange_ptr &exchange) -> void;
    auto execute(const nlohmann::json &order) -> gate_response;
    auto start(const nlohmann::json &order, const std::string &id) -> void;
    auto stop(const std::string &id) -> bool;
    [[nodiscard]] auto listEndpoints(const std::string &dataCentre) const -> gate_response;
    auto handleReport(const exchange_ptr &exchange) -> void;

    auto controlOutage(const exchange_ptr &exchange, const nlohmann::json &body) -> void;
    auto controlLostResponses(const exchange_ptr &exchange, const nlohmann::json &body) -> void;
    auto controlRetention(const exchange_ptr &exchange, const nlohmann::json &body) -> void;
    auto controlDelay(const exchange_ptr &exchange, const nlohmann::json &body) -> void;
    auto controlVms(const exchange_ptr &exchange, const nlohmann::json &body) -> void;
    auto controlEndpoints(const exchange_ptr &exchange, const nlohmann::json &body) -> void;

    logger &m_log;
    platform_options m_options;
    timer_set m_timers;
    std::map<std::string, fault_gate> m_gates;
    platform_log m_streams;
    route_table m_routes;

    std::map<std::string, ordered_endpoint> m_endpoints;
    // Endpoint of each executed order, by order id; a repeated order gets the same response.
    std::map<std::string, std::string> m_executedOrders;
    nlohmann::json m_receivedOrders = nlohmann::json::array();
    nlohmann::json m_reports = nlohmann::json::array();
    nlohmann::json m_vms = nlohmann::json::array();

    http_server m_server;
};

} // namespace mustardline::standin
