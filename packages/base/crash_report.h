#pragma once

// Saves the log of a process that ends by a fault of its own.
//
//     const crash_report report(output); // as long as `output` lives
//
// When the process faults or aborts, the lines that `output` has gathered are written, and after
// them one that names the signal; the process then ends by that signal as it would have otherwise.
// The lines before a fault are those that tell its cause, and without this they would be lost.
// There may be one report at a time.

#include "base/log_output.h"

namespace mustardline {

class crash_report
{
public:
    explicit crash_report(log_output &output);
    ~crash_report();
    crash_report(const crash_report &) = delete;
    auto operator=(const crash_report &) -> crash_report & = delete;
};

} // namespace mustardline
