#pragma once

// Processor time of a process, from /proc/PID/stat.
//
//     const auto before = processTime(pid);
//     ...
//     const auto used = processTime(pid) - before;

#include <sys/types.h>

#include "base/clock.h"

namespace mustardline::standin {

// User and system time since the start of the process; zero if there is no such process.
[[nodiscard]] auto processTime(pid_t pid) -> duration;

} // namespace mustardline::standin
