#pragma once

// Flushes the buffered log lines when the process crashes.
//
//     const crash_report report(output); // must not outlive `output`
//
// On a fatal signal (a fault or abort()), the handler writes the lines buffered in `output`,
// followed by a line that names the signal; the default or previous action of the signal then
// takes effect. Without this, the lines that explain the crash would be lost with the buffer.
// At most one instance may exist at a time.

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
