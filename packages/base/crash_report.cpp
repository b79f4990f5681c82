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

// Runs once: the signal's usual action is back by then, and raising it again ends the process.
auto handle(int signal) -> void
{
    if (auto *output = reported.exchange(nullptr))
        output->writeLast(lineOf(signal));
    static_cast<void>(std::raise(signal));
}

auto setHandlers(void (*handler)(int)) -> void
{
    struct sigaction action
    {};
    action.sa_handler = handler;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    for (const auto &line : crashLines)
        sigaction(line.signal, &action, nullptr);
}

} // namespace

crash_report::crash_report(log_output &output)
{
    reported = &output;
    const stack_t stack{
        .ss_sp = handlerStack.data(), .ss_flags = 0, .ss_size = handlerStack.size()};
    sigaltstack(&stack, nullptr);
    setHandlers(handle);
}

crash_report::~crash_report()
{
    reported = nullptr;
    setHandlers(SIG_DFL);
}

} // namespace mustardline
