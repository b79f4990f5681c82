#include "base/crash_report.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <string_view>

namespace mustardline {

namespace {

struct crash_signal
{
    int number = 0;
    // The complete log line: formatting is not async-signal-safe.
    std::string_view line;
    // The action to restore; sanitizers install handlers of their own.
    struct sigaction previous
    {};
};

auto crashSignals = std::to_array<crash_signal>({
    {SIGSEGV, "level=error name=process_crashed signal=SIGSEGV"},
    {SIGBUS, "level=error name=process_crashed signal=SIGBUS"},
    {SIGILL, "level=error name=process_crashed signal=SIGILL"},
    {SIGFPE, "level=error name=process_crashed signal=SIGFPE"},
    {SIGABRT, "level=error name=process_crashed signal=SIGABRT"},
    // A trap instruction raises it on AArch64.
    {SIGTRAP, "level=error name=process_crashed signal=SIGTRAP"},
});

std::atomic<log_output *> activeOutput = nullptr;

// Alternate signal stack: the crash may be an overflow of the normal stack.
constexpr std::size_t handlerStackBytes = 64U << 10U;
alignas(16) std::array<char, handlerStackBytes> handlerStack;

// `signal` must be in the table, as every handled signal is.
auto logLineOf(int signal) -> std::string_view
{
    return std::ranges::find(crashSignals, signal, &crash_signal::number)->line;
}

auto restorePreviousActions() -> void
{
    for (const auto &each : crashSignals)
        sigaction(each.number, &each.previous, nullptr);
}

auto handleSignal(int signal, siginfo_t *info, void *) -> void
{
    if (auto *output = activeOutput.exchange(nullptr))
        output->writeOnCrash(logLineOf(signal));
    restorePreviousActions();
    // A hardware fault recurs when the handler returns to its instruction, but for some traps; a
    // signal that was sent (by kill or raise) has to be raised again.
    const bool wasSent = info->si_code <= 0;
    if (wasSent || signal == SIGTRAP)
        static_cast<void>(std::raise(signal));
}

auto installHandlers() -> void
{
    const stack_t stack{
        .ss_sp = handlerStack.data(), .ss_flags = 0, .ss_size = handlerStack.size()};
    sigaltstack(&stack, nullptr);
    struct sigaction action
    {};
    action.sa_sigaction = handleSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    for (auto &each : crashSignals)
        sigaction(each.number, &action, &each.previous);
}

} // namespace

crash_report::crash_report(log_output &output)
{
    if (activeOutput.exchange(&output) == nullptr)
        installHandlers();
}

crash_report::~crash_report()
{
    if (activeOutput.exchange(nullptr) != nullptr)
        restorePreviousActions();
}

} // namespace mustardline
