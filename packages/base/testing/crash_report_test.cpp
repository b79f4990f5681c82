#include "base/crash_report.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <string>

#include <unistd.h>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

// Ends the process by `fault`, with two lines that were gathered and not written. `signal` is what
// the fault raises; a handler that a sanitizer has for it is taken away first.
template<class Fault>
auto crashWithLines(int signal, const Fault &fault) -> void
{
    static_cast<void>(std::signal(signal, SIG_DFL));
    log_output output({.descriptor = STDERR_FILENO});
    const crash_report report(output);
    output.add("first line");
    output.add("second line");
    fault();
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
        const auto raise = [&each] { static_cast<void>(std::raise(each.signal)); };
        EXPECT_EXIT(crashWithLines(each.signal, raise), testing::KilledBySignal(each.signal),
                    "first line\nsecond line\nlevel=error name=process_crashed signal=" + each.name)
            << each.name;
    }
}

TEST(CrashReportTest, soItIsForAnInstructionThatFaultsAndForAnAbort)
{
    EXPECT_EXIT(crashWithLines(SIGILL, [] { __builtin_trap(); }), testing::KilledBySignal(SIGILL),
                "second line\nlevel=error name=process_crashed signal=SIGILL");
    EXPECT_EXIT(crashWithLines(SIGABRT, [] { std::abort(); }), testing::KilledBySignal(SIGABRT),
                "second line\nlevel=error name=process_crashed signal=SIGABRT");
}

TEST(CrashReportTest, anEndedReportChangesNothing)
{
    const auto crash = [] {
        static_cast<void>(std::signal(SIGABRT, SIG_DFL));
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
