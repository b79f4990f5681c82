#pragma once

// Processor time of a piece of code, for tests that compare two costs of one run.
//
//     EXPECT_LT(leastCost([&] { handle(large); }), leastCost([&] { handle(small); }) * 20);

#include <ctime>

#include <algorithm>
#include <limits>

namespace mustardline {

// Processor time that this thread has used, in seconds.
[[nodiscard]] inline auto threadSeconds() -> double
{
    constexpr double nanosecondsPerSecond = 1e9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec)
           + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

// The least cost of several calls, in seconds: other work on the machine only adds to a cost.
template<class Function>
[[nodiscard]] auto leastCost(const Function &function) -> double
{
    constexpr int tries = 7;
    auto least = std::numeric_limits<double>::max();
    for (int round = 0; round < tries; ++round) {
        const auto begin = threadSeconds();
        function();
        least = std::min(least, threadSeconds() - begin);
    }
    return least;
}

} // namespace mustardline
