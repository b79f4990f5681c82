#pragma once

// The stand-in plain service: runs any request outside /control/ and records each execution.
//
//     service_server service(program, {.port = 0});
//     return program.run(service.server());
//
// A request counts as run when it arrives, also if its caller leaves before the answer. Each run is
// written to the log as well, so that it can be counted after the process has died.

#include <cstdint>

#include "standin/json_exchange.h"
#include "standin/program.h"
#include "standin/recorder.h"
#include "standin/timer_set.h"

namespace mustardline::standin {

struct service_options
{
    std::uint16_t port = 0;
    // Time from the run to its answer.
    duration delay = duration::zero();
};

class service_server
{
public:
    service_server(program &program, const service_options &options);

    [[nodiscard]] auto server() -> http_server & { return m_server; }

private:
    auto execute(const exchange_ptr &exchange) -> void;
    auto answer(const exchange_ptr &exchange, std::uint64_t order) -> void;
    auto changeBehaviour(const exchange_ptr &exchange) -> void;

    program &m_program;
    duration m_delay;
    int m_status = 200;
    bool m_dieAfterRun = false;
    timer_set m_timers;
    route_table m_routes;
    recorder m_executions;
    http_server m_server;
};

} // namespace mustardline::standin
