#pragma once

// Log events of the stand-ins, numbered from 9000; listed in docs/EVENTS.md.

#include <array>

#include "base/log.h"

namespace mustardline::standin {

inline constexpr log_event listening{9000, "listening", log_level::info,
                                     "The stand-in accepts connections on `port`."};
inline constexpr log_event listenFailed{9001, "listen_failed", log_level::error,
                                        "The stand-in could not listen on its port and exits."};
inline constexpr log_event stopped{9002, "stopped", log_level::info,
                                   "The stand-in received SIGTERM or SIGINT and exits."};
inline constexpr log_event controlled{9003, "controlled", log_level::info,
                                      "A control call changed the stand-in's behaviour."};
inline constexpr log_event executed{9010, "executed", log_level::info,
                                    "The plain service executed a request."};
inline constexpr log_event diedOnPurpose{9011, "died_on_purpose", log_level::warning,
                                         "The stand-in exits as requested by its controls."};

inline constexpr std::array events{listening,  listenFailed, stopped,
                                   controlled, executed,     diedOnPurpose};

} // namespace mustardline::standin
