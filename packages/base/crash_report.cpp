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
    // A whole line, because a signal handler must not format.
    std::string_view line;
    // What the signal did before; a sanitizer has handlers of its own.
    struct sigaction previous
    {};
};

auto crashSignals = std::to_array<crash_signal>({
    {SIGSEGV, "level=error name=process_crashed signal=SIGSEGV"},
    {SIGBUS, "level=error name=process_crashed signal=SIGBUS"},
    {SIGILL, "level=error name=process_crashed signal=SIGILL"},
    {SIGFPE, "level=error name=process_crashed signal=SIGFPE"},
    {SIGABRT, "level=error name=process_crashed signal=SIGABRT"},
});

std::atomic<log_output *> reported = nullptr;

// The stack of the handler: the process's own may be used up.
constexpr std::size_t handlerStackBytes = 64U << 10U;
alignas(16) std::array<char, handlerStackBytes> handlerStack;

// Of a signal that is in the table, as all are that are handled.
auto lineOf(int signal) -> std::string_view
{
    return std::ranges::find(crashSignals, signal, &crash_signal::number)->line;
}

auto restoreActions() -> void
{
    for (const auto &each : crashSignals)
        sigaction(each.number, &each.previous, nullptr);
}

auto handle(int signal, siginfo_t *info, void *) -> void
{
    if (auto *output = reported.exchange(nullptr))
        output->writeLast(lineOf(signal));
    restoreActions();
    // A fault happens again as soon as its instruction does; a signal that was sent does not.
    const bool wasSent = info->si_code <= 0;
    if (wasSent)
        static_cast<void>(std::raise(signal));
}

auto installHandlers() -> void
{
    const stack_t stack{
        .ss_sp = handlerStack.data(), .ss_flags = 0, .ss_size = handlerStack.size()};
    sigaltstack(&stack, nullptr);
    struct sigaction action
    {};
    action.sa_sigaction = handle;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    for (auto &each : crashSignals)
        sigaction(each.number, &action, &each.previous);
}

} // namespace

crash_report::crash_report(log_output &output)
{
    if (reported.exchange(&output) == nullptr)
        installHandlers();
}

crash_report::~crash_report()
{
    if (reported.exchange(nullptr) != nullptr)
        restoreActions();
}

} // namespace mustardline
