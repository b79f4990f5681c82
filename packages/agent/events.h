#pragma once

// Log events of the agent. docs/EVENTS.md lists them; a test compares that page with `agentEvents`.
//
//     log.write(event::runRefused, field("request", id), field("code", number(code)));
//
// Every decision about a run is logged as one line with the request, the client account, the tier,
// the reason and the load of the endpoint.

#include <array>

#include "base/log.h"

namespace mustardline::event {

inline constexpr log_event listening{3000, "listening", log_level::info,
                                     "The agent is listening; the fields give the ports."};
inline constexpr log_event drainBegun{3001, "drain_begun", log_level::info,
                                      "Shutdown was requested; new runs are refused."};
inline constexpr log_event stopped{3002, "stopped", log_level::info,
                                   "Every run has ended and the usage is durable."};
inline constexpr log_event startFailed{3003, "start_failed", log_level::error,
                                       "The agent could not start."};
inline constexpr log_event configurationLoaded{
    3004, "configuration_loaded", log_level::info,
    "The first configuration arrived; runs are accepted from now on."};
inline constexpr log_event configurationPeerFailed{
    3005, "configuration_peer_failed", log_level::warning,
    "An entry process did not return the configuration; the next one is asked."};
inline constexpr log_event runAdmitted{3010, "run_admitted", log_level::info,
                                       "A run passed the checks and went to the scheduler."};
inline constexpr log_event runQueued{3011, "run_queued", log_level::info,
                                     "A run waits for a place at the endpoint."};
inline constexpr log_event runStarted{3012, "run_started", log_level::info,
                                      "A run was sent to the endpoint."};
inline constexpr log_event runRefused{3013, "run_refused", log_level::info,
                                      "A run was refused; the fields give the reason."};
inline constexpr log_event runPreempted{3014, "run_preempted", log_level::info,
                                        "A run was stopped in favour of a higher tier."};
inline constexpr log_event runCancelled{3015, "run_cancelled", log_level::info,
                                        "A run was stopped before its end."};
inline constexpr log_event runFinished{
    3016, "run_finished", log_level::info,
    "A run ended; the fields give its fate and the metered tokens."};
inline constexpr log_event runRepeated{
    3017, "run_repeated", log_level::info,
    "A run was answered with the stored outcome of an earlier one."};
inline constexpr log_event runTableFull{
    3018, "run_table_full", log_level::error,
    "The run table is full; new runs are refused until old ones expire."};
inline constexpr log_event usagePushed{
    3020, "usage_pushed", log_level::debug,
    "An entry process reported the sequence up to which usage is durable."};
inline constexpr log_event usagePeerFailed{
    3021, "usage_peer_failed", log_level::warning,
    "An entry process did not accept the usage; the next one is tried."};
inline constexpr log_event usageNearBound{
    3022, "usage_near_bound", log_level::error,
    "Usage that is not yet durable is close to its memory bound; check entry processes and log."};
inline constexpr log_event usageNotFlushed{3023, "usage_not_flushed", log_level::error,
                                           "The agent stopped with usage that is not durable."};
inline constexpr log_event orderPassed{3030, "order_passed", log_level::info,
                                       "An endpoint order was forwarded to the endpoint."};
inline constexpr log_event orderRefused{3031, "order_refused", log_level::warning,
                                        "An endpoint order was refused."};

// Every event of this package in ascending order of its number.
inline constexpr auto agentEvents
    = std::to_array<log_event>({listening,       drainBegun,          stopped,
                                startFailed,     configurationLoaded, configurationPeerFailed,
                                runAdmitted,     runQueued,           runStarted,
                                runRefused,      runPreempted,        runCancelled,
                                runFinished,     runRepeated,         runTableFull,
                                usagePushed,     usagePeerFailed,     usageNearBound,
                                usageNotFlushed, orderPassed,         orderRefused});

} // namespace mustardline::event
