#pragma once

// Log events of the entry, numbered from 2000. docs/EVENTS.md lists them.

#include <array>

#include "base/log.h"

namespace mustardline {

inline constexpr log_event entryListening{2000, "listening", log_level::info,
                                          "The entry accepts connections."};
inline constexpr log_event entryReady{2001, "ready", log_level::info,
                                      "The entry has a configuration and serves callers."};
inline constexpr log_event entryDraining{2002, "draining", log_level::info,
                                         "The entry accepts nothing new and finishes what it has."};
inline constexpr log_event entryStopped{2003, "stopped", log_level::info,
                                        "The entry has finished everything and ends."};
inline constexpr log_event entryFailed{2004, "start_failed", log_level::error,
                                       "The entry cannot start."};

inline constexpr log_event requestPlaced{2010, "request_placed", log_level::info,
                                         "A request was sent to an endpoint's agent."};
inline constexpr log_event requestRefused{2011, "request_refused", log_level::info,
                                          "A request got its final answer without being run."};
inline constexpr log_event requestFinished{2012, "request_finished", log_level::info,
                                           "A request ended with an answer."};
inline constexpr log_event requestNotRun{2013, "request_not_run", log_level::info,
                                         "An agent did not run a request that was sent to it."};
inline constexpr log_event requestLost{2014, "request_lost", log_level::warning,
                                       "The connection to an agent ended before the whole answer."};
inline constexpr log_event requestCancelled{2015, "request_cancelled", log_level::info,
                                            "A request was stopped before its end."};
inline constexpr log_event requestRejected{2016, "request_rejected", log_level::info,
                                           "A request was at fault and not considered."};

inline constexpr log_event claimDecided{
    2017, "claim_decided", log_level::info,
    "The log decided whether an attempt may run under its idempotency key."};
inline constexpr log_event claimGivenUp{
    2018, "claim_given_up", log_level::warning,
    "The log did not decide a claim in time; the request is refused."};
inline constexpr log_event ownerResolved{
    2019, "owner_resolved", log_level::info,
    "The agents told what became of a request whose entry was lost."};

inline constexpr log_event entityChanged{2020, "entity_changed", log_level::info,
                                         "A change of configuration is in force here."};
inline constexpr log_event changeDecided{2021, "change_decided", log_level::info,
                                         "An operator's change was accepted or rejected."};
inline constexpr log_event operatorRefused{2023, "operator_refused", log_level::warning,
                                           "An operator's call carried no accepted token."};

inline constexpr log_event decisionIgnored{
    2024, "decision_ignored", log_level::error,
    "The dispatcher placed or refused a request that it had lost track of; nothing was done."};

inline constexpr log_event usageAppended{2030, "usage_appended", log_level::debug,
                                         "Metered usage of agents is durable in the log."};
inline constexpr log_event usageDelayed{2031, "usage_delayed", log_level::warning,
                                        "Metered usage could not be appended to the log."};

inline constexpr log_event usageReported{2032, "usage_reported", log_level::info,
                                         "The platform took the figures of a usage window."};
inline constexpr log_event usageReportFailed{
    2033, "usage_report_failed", log_level::warning,
    "The platform did not take a usage report; it is sent again under its id."};
inline constexpr log_event leaseTaken{2040, "lease_taken", log_level::info,
                                      "This entry holds the lease of a duty."};
inline constexpr log_event leaseLost{2041, "lease_lost", log_level::warning,
                                     "This entry no longer holds the lease of a duty."};
inline constexpr log_event streamTruncated{
    2042, "stream_truncated", log_level::warning,
    "The log no longer keeps the next record of a stream; reading begins anew."};
inline constexpr log_event snapshotWritten{2043, "snapshot_written", log_level::info,
                                           "A snapshot was appended to its stream."};
inline constexpr log_event orderSent{2050, "order_sent", log_level::info,
                                     "An endpoint order was sent to the platform."};
inline constexpr log_event orderAnswered{2051, "order_answered", log_level::info,
                                         "The platform answered an endpoint order."};

inline constexpr log_event scalingDecided{
    2052, "scaling_decided", log_level::info,
    "Demand wants an endpoint to run, or not to run any more."};

inline constexpr log_event vmStateChanged{
    2060, "vm_state_changed", log_level::info,
    "A VM leaves by the platform's list, or was replaced by a live one."};

inline constexpr auto entryEvents = std::to_array<log_event>(
    {entryListening,   entryReady,      entryDraining,     entryStopped,    entryFailed,
     requestPlaced,    requestRefused,  requestFinished,   requestNotRun,   requestLost,
     requestCancelled, requestRejected, claimDecided,      claimGivenUp,    ownerResolved,
     entityChanged,    changeDecided,   operatorRefused,   decisionIgnored, usageAppended,
     usageDelayed,     usageReported,   usageReportFailed, leaseTaken,      leaseLost,
     streamTruncated,  snapshotWritten, orderSent,         orderAnswered,   scalingDecided,
     vmStateChanged});

} // namespace mustardline
