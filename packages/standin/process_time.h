#pragma once

// CPU time of a process, read from /proc/PID/stat.
//
//     const auto before = processTime(pid);
//     ...
//     const auto used = processTime(pid) - before;

#include <sys/types.h>

#include "base/clock.h"

namespace mustardline::standin {

// User plus system CPU time since the process started; zero if there is no such process.
[[nodiscard]] auto processTime(pid_t pid) -> duration;

} // namespace mustardline::standin
