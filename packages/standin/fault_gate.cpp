#include "standin/fault_gate.h"

#include <utility>

namespace mustardline::standin {

namespace {

constexpr int unavailableStatus = 503;

auto send(const exchange_ptr &exchange, const gate_answer &answer) -> void
{
    const auto headers
        = std::to_array<http_header>({{.name = "content-type", .value = answer.contentType}});
    exchange->reply(answer.status, headers, answer.body);
}

} // namespace

auto jsonAnswer(int status, const nlohmann::json &body) -> gate_answer
{
    return {.status = status,
            .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

auto fault_gate::admit(const exchange_ptr &exchange) -> bool
{
    // A stalled exchange stays with its connection until the caller gives up.
    if (m_outage == outage_mode::down)
        replyError(exchange, unavailableStatus, "the interface is down");
    return m_outage == outage_mode::none;
}

auto fault_gate::answer(const exchange_ptr &exchange, call_kind kind, gate_answer answer) -> void
{
    if (kind == call_kind::write && m_loseAnswers > 0) {
        --m_loseAnswers;
        exchange->abort();
        return;
    }
    if (m_delay == duration::zero()) {
        send(exchange, answer);
        return;
    }
    m_timers.after(m_delay, [exchange, answer = std::move(answer)] { send(exchange, answer); });
}

} // namespace mustardline::standin
