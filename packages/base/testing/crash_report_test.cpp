#include "base/crash_report.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <string>

#include <unistd.h>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

// Ends the process as a fault would, with two lines that were gathered and not written.
auto crashWithLines(int signal) -> void
{
    log_output output({.descriptor = STDERR_FILENO});
    const crash_report report(output);
    output.add("first line");
    output.add("second line");
    static_cast<void>(std::raise(signal));
}

// Guards against a crash that takes the log lines before it along: those that tell its cause.
TEST(CrashReportTest, theLinesBeforeAFaultAreWrittenAndThenItsSignal)
{
    struct fault_case
    {
        int signal;
        std::string name;
    };
    const std::array<fault_case, 5> cases{{{SIGSEGV, "SIGSEGV"},
                                           {SIGBUS, "SIGBUS"},
                                           {SIGILL, "SIGILL"},
                                           {SIGFPE, "SIGFPE"},
                                           {SIGABRT, "SIGABRT"}}};
    for (const auto &each : cases) {
        EXPECT_EXIT(crashWithLines(each.signal), testing::KilledBySignal(each.signal),
                    "first line\nsecond line\nlevel=error name=process_crashed signal=" + each.name)
            << each.name;
    }
}

TEST(CrashReportTest, anEndedReportChangesNothing)
{
    const auto crash = [] {
        {
            log_output output({.descriptor = STDERR_FILENO});
            const crash_report report(output);
            output.add("a line of an output that is gone");
        }
        static_cast<void>(std::raise(SIGABRT));
    };
    EXPECT_EXIT(crash(), testing::KilledBySignal(SIGABRT), "^$");
}

} // namespace
} // namespace mustardline
