#pragma once

// The stand-in plain HTTP service: executes any request outside /control/ and records each
// execution.
//
//     service_server service(program, {.port = 0});
//     return program.run(service.server());
//
// A request counts as executed on arrival, even if its caller disconnects before the response. Each
// execution is logged as well, so that executions can be counted after the process has exited.

#include <cstdint>

#include "standin/json_exchange.h"
#include "standin/program.h"
#include "standin/recorder.h"
#include "standin/timer_set.h"

namespace mustardline::standin {

struct service_options
{
    std::uint16_t port = 0;
    // Time from the execution to the response.
    duration delay = duration::zero();
};

class service_server
{
public:
    service_server(program &program, const service_options &options);

    [[nodiscard]] auto server() -> http_server & { return m_server; }

private:
    auto execute(const exchange_ptr &exchange) -> void;
    auto respond(const exchange_ptr &exchange, std::uint64_t order) -> void;
    auto changeBehaviour(const exchange_ptr &exchange) -> void;

    program &m_program;
    duration m_delay;
    int m_status = 200;
    bool m_dieAfterExecution = false;
    timer_set m_timers;
    route_table m_routes;
    recorder m_executions;
    http_server m_server;
};

} // namespace mustardline::standin
