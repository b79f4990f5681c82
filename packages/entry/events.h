#pragma once

// Log events of the entry process, numbered from 2000; docs/EVENTS.md lists them.

#include <array>

#include "base/log.h"

namespace mustardline {

inline constexpr log_event entryListening{2000, "listening", log_level::info,
                                          "The entry process accepts connections."};
inline constexpr log_event entryReady{2001, "ready", log_level::info,
                                      "The entry process has a configuration and serves callers."};
inline constexpr log_event entryDraining{
    2002, "draining", log_level::info,
    "The entry process refuses new requests and finishes the live ones."};
inline constexpr log_event entryStopped{2003, "stopped", log_level::info,
                                        "The entry process exits."};
inline constexpr log_event entryFailed{2004, "start_failed", log_level::error,
                                       "The entry process cannot start."};

inline constexpr log_event requestPlaced{2010, "request_placed", log_level::info,
                                         "A request was sent to an endpoint's agent."};
inline constexpr log_event requestRefused{2011, "request_refused", log_level::info,
                                          "A request got its final answer without being run."};
inline constexpr log_event requestFinished{2012, "request_finished", log_level::info,
                                           "A request ended with an answer."};
inline constexpr log_event requestNotRun{2013, "request_not_run", log_level::info,
                                         "An agent did not run a request that was sent to it."};
inline constexpr log_event requestLost{2014, "request_lost", log_level::warning,
                                       "An attempt ended without a complete answer."};
inline constexpr log_event requestCancelled{2015, "request_cancelled", log_level::info,
                                            "A request was cancelled before its end."};
inline constexpr log_event requestRejected{
    2016, "request_rejected", log_level::info,
    "A caller's request was rejected before it reached the dispatcher."};

inline constexpr log_event claimDecided{
    2017, "claim_decided", log_level::info,
    "The log decided whether a request may run under its idempotency key."};
inline constexpr log_event claimGivenUp{
    2018, "claim_given_up", log_level::warning,
    "The log did not decide a claim in time; the request is refused."};
inline constexpr log_event ownerResolved{
    2019, "owner_resolved", log_level::info,
    "The agents reported the fate of a request whose entry process was lost."};

inline constexpr log_event entityChanged{2020, "entity_changed", log_level::info,
                                         "A configuration change is in effect in this process."};
inline constexpr log_event changeDecided{2021, "change_decided", log_level::info,
                                         "An operator's change was accepted or rejected."};
inline constexpr log_event operatorRefused{2023, "operator_refused", log_level::warning,
                                           "An operator's call had no valid token."};

inline constexpr log_event decisionIgnored{2024, "decision_ignored", log_level::error,
                                           "The dispatcher placed or refused a request whose state "
                                           "rules that out; the action was ignored."};

inline constexpr log_event usageAppended{2030, "usage_appended", log_level::debug,
                                         "Usage metered by agents is durable in the log."};
inline constexpr log_event usageDelayed{
    2031, "usage_delayed", log_level::warning,
    "Usage metered by agents could not be appended to the log."};

inline constexpr log_event usageReported{2032, "usage_reported", log_level::info,
                                         "The platform accepted the report of a usage window."};
inline constexpr log_event usageReportFailed{
    2033, "usage_report_failed", log_level::warning,
    "The platform did not accept a usage report; it is sent again under the same id."};
inline constexpr log_event leaseTaken{2040, "lease_taken", log_level::info,
                                      "This entry process holds the lease of a duty."};
inline constexpr log_event leaseLost{2041, "lease_lost", log_level::warning,
                                     "This entry process no longer holds the lease of a duty."};
inline constexpr log_event streamTruncated{
    2042, "stream_truncated", log_level::warning,
    "The log no longer retains the next record of a stream; reading restarts at the oldest one."};
inline constexpr log_event snapshotWritten{2043, "snapshot_written", log_level::info,
                                           "A snapshot was appended to its stream."};
inline constexpr log_event orderSent{2050, "order_sent", log_level::info,
                                     "An endpoint order was sent to the platform."};
inline constexpr log_event orderAnswered{2051, "order_answered", log_level::info,
                                         "The platform answered an endpoint order."};

inline constexpr log_event scalingDecided{
    2052, "scaling_decided", log_level::info,
    "Scaling decided that an endpoint should run, or should no longer run."};

inline constexpr log_event vmStateChanged{
    2060, "vm_state_changed", log_level::info,
    "The platform's VM list marked a VM as leaving, or a live VM replaced one."};

inline constexpr auto entryEvents = std::to_array<log_event>(
    {entryListening,   entryReady,      entryDraining,     entryStopped,    entryFailed,
     requestPlaced,    requestRefused,  requestFinished,   requestNotRun,   requestLost,
     requestCancelled, requestRejected, claimDecided,      claimGivenUp,    ownerResolved,
     entityChanged,    changeDecided,   operatorRefused,   decisionIgnored, usageAppended,
     usageDelayed,     usageReported,   usageReportFailed, leaseTaken,      leaseLost,
     streamTruncated,  snapshotWritten, orderSent,         orderAnswered,   scalingDecided,
     vmStateChanged});

} // namespace mustardline
