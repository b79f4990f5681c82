#include "base/crash_report.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <string>

#include <unistd.h>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

// Crashes the process by `fault` while two log lines are buffered. `signal` is the signal that the
// fault raises; its default action replaces a sanitizer's handler first.
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

// Guards against the loss of buffered log lines in a crash: they are the ones that explain it.
TEST(CrashReportTest, writesBufferedLinesAndThenTheSignal)
{
    struct fault_case
    {
        int signal;
        std::string name;
    };
    const std::array<fault_case, 6> cases{{{SIGSEGV, "SIGSEGV"},
                                           {SIGBUS, "SIGBUS"},
                                           {SIGILL, "SIGILL"},
                                           {SIGFPE, "SIGFPE"},
                                           {SIGABRT, "SIGABRT"},
                                           {SIGTRAP, "SIGTRAP"}}};
    for (const auto &each : cases) {
        const auto raise = [&each] { static_cast<void>(std::raise(each.signal)); };
        EXPECT_EXIT(crashWithLines(each.signal, raise), testing::KilledBySignal(each.signal),
                    "first line\nsecond line\nlevel=error name=process_crashed signal=" + each.name)
            << each.name;
    }
}

TEST(CrashReportTest, soItIsForAnInstructionThatFaultsAndForAnAbort)
{
#if defined(__aarch64__)
    constexpr auto trapSignal = SIGTRAP;
    constexpr auto trapLine = "second line\nlevel=error name=process_crashed signal=SIGTRAP";
#else
    constexpr auto trapSignal = SIGILL;
    constexpr auto trapLine = "second line\nlevel=error name=process_crashed signal=SIGILL";
#endif
    EXPECT_EXIT(crashWithLines(trapSignal, [] { __builtin_trap(); }),
                testing::KilledBySignal(trapSignal), trapLine);
    EXPECT_EXIT(crashWithLines(SIGABRT, [] { std::abort(); }), testing::KilledBySignal(SIGABRT),
                "second line\nlevel=error name=process_crashed signal=SIGABRT");
}

TEST(CrashReportTest, writesNothingAfterDestruction)
{
    const auto crash = [] {
        static_cast<void>(std::signal(SIGABRT, SIG_DFL));
        {
            log_output output({.descriptor = STDERR_FILENO});
            const crash_report report(output);
            output.add("a line of a destroyed output");
        }
        static_cast<void>(std::raise(SIGABRT));
    };
    EXPECT_EXIT(crash(), testing::KilledBySignal(SIGABRT), "^$");
}

} // namespace
} // namespace mustardline
