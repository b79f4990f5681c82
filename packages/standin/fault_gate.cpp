#include "standin/fault_gate.h"

#include <utility>

namespace mustardline::standin {

namespace {

constexpr int unavailableStatus = 503;

auto send(const exchange_ptr &exchange, const gate_response &response) -> void
{
    auto headers = response.headers;
    headers.push_back({.name = "content-type", .value = response.contentType});
    exchange->reply(response.status, headers, response.body);
}

} // namespace

auto jsonResponse(int status, const nlohmann::json &body) -> gate_response
{
    return {.status = status,
            .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

auto fault_gate::admit(const exchange_ptr &exchange) -> bool
{
    // In a stall no response is sent: the connection keeps the exchange until the caller closes it.
    if (m_outage == outage_mode::down) {
        auto response
            = jsonResponse(unavailableStatus, {{"error", {{"message", "the interface is down"}}}});
        response.headers = m_headers;
        send(exchange, response);
    }
    return m_outage == outage_mode::none;
}

auto fault_gate::respond(const exchange_ptr &exchange, call_kind kind, gate_response response)
    -> void
{
    if (kind == call_kind::write && m_responsesToLose > 0) {
        --m_responsesToLose;
        exchange->abort();
        return;
    }
    if (m_delay == duration::zero()) {
        send(exchange, response);
        return;
    }
    m_timers.after(m_delay,
                   [exchange, response = std::move(response)] { send(exchange, response); });
}

} // namespace mustardline::standin
