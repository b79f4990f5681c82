#include "net/held_signals.h"

#include <csignal>

namespace mustardline {

auto holdSignals(std::initializer_list<int> numbers) -> void
{
    sigset_t held;
    sigemptyset(&held);
    for (const auto number : numbers)
        sigaddset(&held, number);
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

auto hasArrived(int number) -> bool
{
    sigset_t arrived;
    sigemptyset(&arrived);
    return sigpending(&arrived) == 0 && sigismember(&arrived, number) == 1;
}

} // namespace mustardline
