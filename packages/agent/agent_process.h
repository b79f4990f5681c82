#pragma once

// The agent process: its sockets, signal handlers, startup and shutdown.
//
//     agent_process agent(settings);
//     return agent.run();     // until SIGTERM; returns an exit status of docs/settings-agent.md
//
// On SIGTERM or SIGINT it reports itself as not ready, refuses new runs as not run, finishes all
// accepted runs, waits until its usage is durable and stops.

#include <cstdint>
#include <memory>
#include <string>

#include "agent/agent_settings.h"
#include "agent/control_link.h"
#include "agent/fencing_gate.h"
#include "agent/run_service.h"
#include "agent/usage_meter.h"
#include "base/counters.h"
#include "base/log.h"
#include "coordination/configuration.h"
#include "net/control_socket.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

// Exit statuses of the binary.
enum class agent_exit : std::uint8_t {
    ok = 0,
    bad_command_line = 2,
    bad_settings = 3,
    cannot_listen = 4,
    usage_not_flushed = 5,
};

class agent_process
{
public:
    explicit agent_process(const agent_settings &settings, log_options log = {});

    // Opens the sockets and serves until a requested shutdown is complete.
    [[nodiscard]] auto run() -> agent_exit;

    // Starts the shutdown.
    auto drain() -> void;

private:
    auto listen() -> status;
    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;
    auto replyReady(http_exchange &exchange) -> void;
    auto handleOrder(const std::shared_ptr<http_exchange> &exchange) -> void;
    auto forwardOrder(const std::shared_ptr<http_exchange> &exchange) -> void;
    auto loadReply() const -> v1::LoadReply;
    auto checkUsageBound() -> void;
    auto stopWhenDone() -> void;

    agent_settings m_settings;
    system_runtime_clock m_clock;
    std::uint64_t m_boot;
    logger m_log;
    counters m_metrics;
    event_loop m_loop;
    configuration m_config;
    usage_meter m_usage;
    http_client m_http;
    run_service m_runs;
    control_link m_link;
    fencing_gate m_orderGate;
    http_server m_server;
    control_server m_control;
    event_handle m_watchTimer;
    time_point m_idleSince{};
    bool m_usageWasNearBound = false;
    bool m_wasIdle = false;
    agent_exit m_exit = agent_exit::ok;
};

} // namespace mustardline
