#pragma once

// Log events of the forwarding path, numbered from 5000 and listed in docs/EVENTS.md.

#include <array>

#include "base/log.h"

namespace mustardline {

inline constexpr log_event edgeStarted{5000, "edge_started", log_level::info,
                                       "The edge process listens for callers."};
inline constexpr log_event edgeReady{5001, "edge_ready", log_level::info,
                                     "The edge's readiness for new connections changed."};
inline constexpr log_event edgeStopping{5002, "edge_stopping", log_level::info,
                                        "The edge process is draining and will exit."};
inline constexpr log_event edgeStopped{5003, "edge_stopped", log_level::info,
                                       "The edge process exits."};
inline constexpr log_event edgeFailed{5004, "edge_failed", log_level::error,
                                      "The edge process cannot start."};
inline constexpr log_event settingsReloaded{5005, "settings_reloaded", log_level::info,
                                            "The settings file was read again."};
inline constexpr log_event limitsInForce{
    5006, "limits_in_force", log_level::info,
    "The memory and the descriptors that the process may use, and what each follows from."};

inline constexpr log_event libraryMessage{
    5007, "library_message", log_level::warning,
    "A library reports an error; the line says how many of its messages were left out before."};
inline constexpr log_event acceptPaused{
    5008, "accept_paused", log_level::warning,
    "New connections cannot be accepted for a moment; it is tried again."};
inline constexpr log_event acceptResumed{5009, "accept_resumed", log_level::info,
                                         "New connections are accepted again."};

inline constexpr log_event forwardPlaced{5010, "forward_placed", log_level::info,
                                         "A request was sent to an endpoint."};
inline constexpr log_event forwardEnded{5011, "forward_ended", log_level::info,
                                        "A request got its final response."};
inline constexpr log_event forwardRetried{5012, "forward_retried", log_level::info,
                                          "An attempt at an endpoint failed and may be retried."};

inline constexpr log_event forwardNotSent{
    5013, "forward_not_sent", log_level::error,
    "A placement was rejected: it would have violated the request's execution guarantee."};

inline constexpr log_event forwardStalled{
    5014, "forward_stalled", log_level::info,
    "An endpoint has sent nothing for long, and the request stays there."};

inline constexpr log_event responseGivenUp{
    5015, "response_given_up", log_level::warning,
    "The responses held exceed their limit; the largest one is given up."};

inline constexpr log_event forwardResumed{
    5016, "forward_resumed", log_level::info,
    "No other endpoint took over a stream, and it goes on where it paused."};
inline constexpr log_event streamResumeRequested{
    5017, "stream_resume_requested", log_level::info,
    "A caller resumes a stream; the version that began it was looked up."};
inline constexpr log_event streamVersionDoubted{
    5018, "stream_version_doubted", log_level::warning,
    "An endpoint restarted with another version; which one began its last streams is not known."};
inline constexpr log_event portHeld{
    5019, "port_held", log_level::warning,
    "A port cannot be opened yet; it is tried again for the time that the line says."};
inline constexpr log_event configurationInForce{5020, "configuration_in_force", log_level::info,
                                                "A new configuration version is in force."};
inline constexpr log_event recordMalformed{5021, "record_malformed", log_level::warning,
                                           "A record of the log cannot be decoded and is ignored."};
inline constexpr log_event endpointChanged{5022, "endpoint_changed", log_level::info,
                                           "The state of an endpoint in the directory changed."};
inline constexpr log_event evacuationChanged{
    5023, "evacuation_changed", log_level::info,
    "The set of evacuated data centres, which get no new work."};
inline constexpr log_event logServiceLost{5024, "log_service_lost", log_level::warning,
                                          "The log service does not answer."};
inline constexpr log_event logServiceBack{5025, "log_service_back", log_level::info,
                                          "The log service answers again."};
inline constexpr log_event logHistoryLost{
    5026, "log_history_lost", log_level::warning,
    "Records expired before they were read; the newest are read."};

inline constexpr log_event knowledgeAsked{
    5027, "knowledge_asked", log_level::info,
    "Another edge was asked for a snapshot of the log's contents."};

inline constexpr log_event endpointLeaves{5028, "endpoint_leaves", log_level::info,
                                          "An endpoint's response says that it is shutting down."};
inline constexpr log_event endpointPauses{5029, "endpoint_pauses", log_level::info,
                                          "An endpoint asked for a pause in requests."};

inline constexpr log_event dutyClaimed{5030, "duty_claimed", log_level::info,
                                       "The outcome of an append that claims a duty."};
inline constexpr log_event usageWindowReported{5031, "usage_window_reported", log_level::info,
                                               "A usage window was reported to the platform."};

inline constexpr log_event lanesChanged{
    5032, "lanes_changed", log_level::info,
    "The division of a service's endpoints between short and long prompts changed."};

inline constexpr log_event promptPartBlocked{
    5033, "prompt_part_blocked", log_level::warning,
    "Endpoints crashed under a part of prompts; requests with it are refused."};

inline constexpr log_event rolloutOrdered{5034, "rollout_ordered", log_level::info,
                                          "A service is to move to another version."};
inline constexpr log_event rolloutMoves{
    5035, "rollout_moves", log_level::info,
    "All traffic of a service begins or ceases to go to the new version."};
inline constexpr log_event rolloutJudged{5036, "rollout_judged", log_level::info,
                                         "The verdict of this process on a new version changed."};
inline constexpr log_event rolloutRecorded{
    5037, "rollout_recorded", log_level::info,
    "The outcome of an append that records the state of a roll-out."};
inline constexpr log_event rolloutAdopted{5038, "rollout_adopted", log_level::info,
                                          "The recorded verdict on a new version holds."};
inline constexpr log_event rolloutWithdrawn{5039, "rollout_withdrawn", log_level::info,
                                            "The order of a roll-out was deleted."};
inline constexpr log_event endpointSpeedChanged{
    5040, "endpoint_speed_changed", log_level::info,
    "An endpoint is taken to be slower or faster than the mean of its service."};
inline constexpr log_event logEraEnded{
    5041, "log_era_ended", log_level::warning,
    "The log came back from an older copy; the newest records are read again."};
inline constexpr log_event logEraBegan{5042, "log_era_began", log_level::info,
                                       "The log answers in a later era than before."};

inline constexpr log_event settingsValueIgnored{
    5043, "settings_value_ignored", log_level::warning,
    "A value of the settings file cannot be used; the line says what is used instead."};

inline constexpr log_event logLoadBegan{
    5044, "log_load_began", log_level::info,
    "The newest values of a topic are read; the line says what made that necessary."};
inline constexpr log_event logLoadContinues{
    5045, "log_load_continues", log_level::warning,
    "The newest values of a topic have not been read yet; written once a second."};
inline constexpr log_event logLoadEnded{
    5046, "log_load_ended", log_level::info,
    "The newest values of a topic were read, or received from another edge."};

inline constexpr auto forwardingEvents
    = std::to_array<log_event>({edgeStarted,          edgeReady,
                                edgeStopping,         edgeStopped,
                                edgeFailed,           settingsReloaded,
                                limitsInForce,        libraryMessage,
                                acceptPaused,         acceptResumed,
                                forwardPlaced,        forwardEnded,
                                forwardRetried,       forwardNotSent,
                                forwardStalled,       responseGivenUp,
                                forwardResumed,       streamResumeRequested,
                                streamVersionDoubted, portHeld,
                                configurationInForce, recordMalformed,
                                endpointChanged,      evacuationChanged,
                                logServiceLost,       logServiceBack,
                                logHistoryLost,       knowledgeAsked,
                                endpointLeaves,       endpointPauses,
                                dutyClaimed,          usageWindowReported,
                                lanesChanged,         promptPartBlocked,
                                rolloutOrdered,       rolloutMoves,
                                rolloutJudged,        rolloutRecorded,
                                rolloutAdopted,       rolloutWithdrawn,
                                endpointSpeedChanged, logEraEnded,
                                logEraBegan,          settingsValueIgnored,
                                logLoadBegan,         logLoadContinues,
                                logLoadEnded});

} // namespace mustardline
