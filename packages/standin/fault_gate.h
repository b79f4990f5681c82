#pragma once

// Injects the faults of one platform interface between its effects and its answers.
//
//     fault_gate gate(loop);
//     gate.serve(exchange, call_kind::write, [&] { return apply(); });
//
// In an outage a call has no effect and is refused with 503 or never answered. A lost answer comes
// after the effect: the connection closes without one. A slow interface applies the effect at once
// and answers later.

#include <cstdint>
#include <functional>
#include <string>

#include "standin/json_exchange.h"
#include "standin/timer_set.h"

namespace mustardline::standin {

enum class outage_mode : std::uint8_t { none, down, stall };

enum class call_kind : std::uint8_t { read, write };

struct gate_answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

// A JSON answer.
[[nodiscard]] auto jsonAnswer(int status, const nlohmann::json &body) -> gate_answer;

class fault_gate
{
public:
    explicit fault_gate(event_loop &loop) : m_timers(loop) {}

    auto setOutage(outage_mode mode) -> void { m_outage = mode; }
    // The next `count` writes take effect and are not answered.
    auto loseAnswers(std::uint64_t count) -> void { m_loseAnswers = count; }
    auto setDelay(duration delay) -> void { m_delay = delay; }

    // Whether the call may take effect; if not, it has been dealt with.
    [[nodiscard]] auto admit(const exchange_ptr &exchange) -> bool;

    // Sends the answer of a call that was admitted, as the faults allow.
    auto answer(const exchange_ptr &exchange, call_kind kind, gate_answer answer) -> void;

    // Admits a call, applies its effect and answers it.
    auto serve(const exchange_ptr &exchange, call_kind kind,
               const std::function<auto()->gate_answer> &effect) -> void
    {
        if (admit(exchange))
            answer(exchange, kind, effect());
    }

private:
    timer_set m_timers;
    outage_mode m_outage = outage_mode::none;
    std::uint64_t m_loseAnswers = 0;
    duration m_delay{};
};

} // namespace mustardline::standin
