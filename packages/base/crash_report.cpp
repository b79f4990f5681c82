#include "base/crash_report.h"

#include <array>
#include <atomic>
#include <csignal>
#include <string_view>

namespace mustardline {

namespace {

struct crash_line
{
    int signal;
    std::string_view text;
};

// Whole lines, because a signal handler must not format.
constexpr auto crashLines = std::to_array<crash_line>({
    {SIGSEGV, "level=error name=process_crashed signal=SIGSEGV"},
    {SIGBUS, "level=error name=process_crashed signal=SIGBUS"},
    {SIGILL, "level=error name=process_crashed signal=SIGILL"},
    {SIGFPE, "level=error name=process_crashed signal=SIGFPE"},
    {SIGABRT, "level=error name=process_crashed signal=SIGABRT"},
});

std::atomic<log_output *> reported = nullptr;
// What each of these signals did before; a sanitizer has handlers of its own.
std::array<struct sigaction, crashLines.size()> previousActions{};

// The stack of the handler: the process's own may be used up.
constexpr std::size_t handlerStackBytes = 64U << 10U;
alignas(16) std::array<char, handlerStackBytes> handlerStack;

auto lineOf(int signal) -> std::string_view
{
    for (const auto &line : crashLines) {
        if (line.signal == signal)
            return line.text;
    }
    return {};
}

auto restoreActions() -> void
{
    for (std::size_t at = 0; at < crashLines.size(); ++at)
        sigaction(crashLines[at].signal, &previousActions[at], nullptr);
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
    for (std::size_t at = 0; at < crashLines.size(); ++at)
        sigaction(crashLines[at].signal, &action, &previousActions[at]);
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
