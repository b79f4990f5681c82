#pragma once

// The entry process: connects its components to one event loop, starts them and shuts them down.
//
//     entry_process process(settings);
//     return process.run();

#include <memory>

#include "base/counters.h"
#include "base/log.h"
#include "coordination/configuration_history.h"
#include "entry/claim_keeper.h"
#include "entry/configuration_follower.h"
#include "entry/demand_meter.h"
#include "entry/duty_leases.h"
#include "entry/operator_service.h"
#include "entry/order_duty.h"
#include "entry/request_router.h"
#include "entry/scaling_duty.h"
#include "entry/settings.h"
#include "entry/usage_collector.h"
#include "entry/usage_duty.h"
#include "entry/vm_duty.h"
#include "net/control_socket.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

class entry_process
{
public:
    explicit entry_process(entry_settings settings);

    // Serves until SIGTERM or SIGINT, or until the VM list marks this VM as leaving, and returns
    // the exit status of the process.
    auto run() -> int;

private:
    auto listen() -> status;
    auto serveCaller(const std::shared_ptr<http_exchange> &exchange) -> void;
    auto serveControl(std::string_view message) -> std::string;
    auto tick() -> void;
    auto tickDuties() -> void;
    auto tickScaling() -> void;
    auto measureDemand() -> void;
    auto drain() -> void;
    auto finishIfIdle() -> void;
    auto fillStatus(v1::StatusResponse &response) -> void;
    [[nodiscard]] auto isReady() const -> bool;

    entry_settings m_settings;
    event_loop m_loop;
    logger m_log;
    counters m_metrics;
    configuration m_config;
    configuration_history m_history;
    http_client m_http;
    duty_leases m_leases;
    configuration_follower m_follower;
    usage_duty m_usageDuty;
    usage_collector m_usage;
    order_duty m_orders;
    scaling_duty m_scaling;
    demand_meter m_demand;
    claim_keeper m_claims;
    request_router m_router;
    vm_duty m_vms;
    operator_service m_operators;
    http_server m_callerServer;
    http_server m_operatorServer;
    control_server m_controlServer;
    event_handle m_tickTimer;
    event_handle m_sweepTimer;
    event_handle m_dutyTimer;
    event_handle m_demandTimer;
    event_handle m_drainTimer;
    bool m_ready = false;
    bool m_draining = false;
    int m_exitStatus = 0;
};

} // namespace mustardline
