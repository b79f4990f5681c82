// Promise 1 where nothing of a lower tier waits, but the lower tier holds the places.

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include "base/clock.h"
#include "policy/dispatcher.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

// The lowest tier holds every place with long answers that may be stopped, and nothing lower waits
// when the highest arrives. Returns how many of the highest tier are refused before their own time
// is up.
auto refusedBehindLongAnswers() -> std::uint32_t
{
    constexpr std::uint32_t places = 4;
    constexpr std::uint64_t highCalls = 12;
    constexpr auto highHold = 120ms;
    manual_clock clock;
    dispatcher core({.dataCentre = "a"});
    core.setEndpoint({.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
                     clock.now());
    std::vector<dispatch_action> actions;
    // By the time of their end; the lowest tier has none.
    std::map<std::uint64_t, time_point> running;
    std::uint32_t refused = 0;
    const auto report = [&] {
        const auto count = static_cast<std::uint32_t>(running.size());
        core.reportLoad("e", {.running = count, .window = places}, clock.now());
    };
    const auto isLow = [](std::uint64_t number) { return number > highCalls + 1; };
    const auto carryOut = [&] {
        for (const auto &action : std::exchange(actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action)) {
                // As the agent does: a place is made by stopping an answer of the lowest tier.
                if (running.size() >= places && isLow(running.rbegin()->first)) {
                    const auto stopped = running.rbegin()->first;
                    core.finished(stopped, result_code::preempted, 0, clock.now());
                    running.erase(stopped);
                }
                running[placed->request] = clock.now() + highHold;
            } else if (const auto *lost = std::get_if<refuse_action>(&action)) {
                refused += isLow(lost->request) ? 0 : 1;
            }
        }
    };
    const auto arrive = [&](std::uint64_t number) {
        const auto low = isLow(number);
        core.arrive({.request = number,
                     .clientAccount = low ? "bulk" : "shop",
                     .requestClass = low ? "bulk" : "quick",
                     .target = "model",
                     .tier = low ? 6U : 1U,
                     .firstTokenTarget = 5s,
                     .deadline = 60s,
                     .idempotent = true},
                    clock.now(), actions);
        carryOut();
    };
    const auto step = [&](duration length) {
        for (const auto until = clock.now() + length; clock.now() < until; clock.advance(10ms)) {
            const auto ended = std::ranges::find_if(running, [&](const auto &item) {
                return !isLow(item.first) && item.second <= clock.now();
            });
            if (ended != running.end()) {
                core.firstToken(ended->first, clock.now());
                core.finished(ended->first, result_code::ok, 10, clock.now());
                running.erase(ended);
            }
            report();
            core.tick(clock.now(), actions);
            carryOut();
        }
    };
    report();
    // One request of the highest tier has shown how long such a one holds its place.
    arrive(highCalls + 1);
    step(10s);
    for (std::uint64_t i = 0; i < places; ++i) {
        arrive(highCalls + 2 + i);
        core.firstToken(highCalls + 2 + i, clock.now());
    }
    step(1s);
    for (std::uint64_t number = 1; number <= highCalls; ++number)
        arrive(number);
    step(4s);
    return refused;
}

TEST(PromiseTest, p1NothingIsShedWhileALowerTierHoldsThePlaces)
{
    EXPECT_EQ(refusedBehindLongAnswers(), 0U);
}

} // namespace

} // namespace mustardline
