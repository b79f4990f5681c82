#pragma once

// Injects faults into one platform interface: outages, lost responses and delays.
//
//     fault_gate gate(loop);
//     gate.serve(exchange, call_kind::write, [&] { return apply(); });
//
// During an outage a call has no effect; it gets status 503 (`down`) or no response (`stall`). A
// lost response is lost after the effect: the connection is closed instead. With a delay, the
// effect is applied at once and the response sent later.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "standin/json_exchange.h"
#include "standin/timer_set.h"

namespace mustardline::standin {

enum class outage_mode : std::uint8_t { none, down, stall };

enum class call_kind : std::uint8_t { read, write };

struct gate_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<http_header> headers;
};

// A response with a JSON body.
[[nodiscard]] auto jsonResponse(int status, const nlohmann::json &body) -> gate_response;

class fault_gate
{
public:
    explicit fault_gate(event_loop &loop) : m_timers(loop) {}

    auto setOutage(outage_mode mode) -> void { m_outage = mode; }
    // The next `count` writes take effect, but their connections are closed without a response.
    auto loseResponses(std::uint64_t count) -> void { m_responsesToLose = count; }
    auto setDelay(duration delay) -> void { m_delay = delay; }
    // Headers of all responses from now on, also of those in an outage.
    auto setHeaders(std::vector<http_header> headers) -> void { m_headers = std::move(headers); }

    // True if the call may take effect. False in an outage; the caller must then leave the exchange
    // alone.
    [[nodiscard]] auto admit(const exchange_ptr &exchange) -> bool;

    // Sends, delays or loses the response to an admitted call.
    auto respond(const exchange_ptr &exchange, call_kind kind, gate_response response) -> void;

    // Applies the effect of the call and responds, unless an outage prevents it.
    auto serve(const exchange_ptr &exchange, call_kind kind,
               const std::function<auto()->gate_response> &effect) -> void
    {
        if (!admit(exchange))
            return;
        auto response = effect();
        response.headers = m_headers;
        respond(exchange, kind, std::move(response));
    }

private:
    timer_set m_timers;
    outage_mode m_outage = outage_mode::none;
    std::uint64_t m_responsesToLose = 0;
    duration m_delay{};
    std::vector<http_header> m_headers;
};

} // namespace mustardline::standin
