// Tests of guarantee 1 (no higher tier is refused in favour of a lower one) when no request of a
// lower tier is queued but the lower tier holds the places.

#include <algorithm>
#include <map>
#include <span>

#include <gtest/gtest.h>

#include "base/clock.h"
#include "base/tiers.h"
#include "policy/dispatcher.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

auto requestOf(std::uint64_t number, std::uint32_t tier, duration deadline) -> request_arrival
{
    const auto isLow = tier == lowestTier;
    return {.request = number,
            .clientAccount = isLow ? "bulk" : "shop",
            .requestClass = isLow ? "bulk" : "quick",
            .target = "model",
            .tier = tier,
            .firstTokenTarget = 5s,
            .deadline = deadline,
            .idempotent = true};
}

template<class Action>
auto countOf(std::span<const dispatch_action> actions) -> std::ptrdiff_t
{
    return std::ranges::count_if(
        actions, [](const auto &action) { return std::holds_alternative<Action>(action); });
}

// The lowest tier holds every place with long preemptible answers and has no queued requests when
// requests of the highest tier arrive. Returns how many of the highest tier are refused.
auto refusedBehindLongAnswers() -> std::uint32_t
{
    constexpr std::uint32_t places = 4;
    constexpr std::uint64_t highRequests = 12;
    constexpr auto highHoldingTime = 120ms;
    manual_clock clock;
    dispatcher core({.dataCentre = "a"});
    core.setEndpoint({.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
                     clock.now());
    std::vector<dispatch_action> actions;
    // Running requests with the time of their end, which is ignored for the lowest tier.
    std::map<std::uint64_t, time_point> running;
    std::uint32_t refused = 0;
    const auto report = [&] {
        const auto count = static_cast<std::uint32_t>(running.size());
        core.reportLoad("e", {.running = count, .window = places}, clock.now());
    };
    const auto isLow = [](std::uint64_t number) { return number > highRequests + 1; };
    const auto applyActions = [&] {
        for (const auto &action : std::exchange(actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action)) {
                // Preempts a request of the lowest tier, as the agent would.
                if (running.size() >= places && isLow(running.rbegin()->first)) {
                    const auto stopped = running.rbegin()->first;
                    core.finished(stopped, result_code::preempted, 0, clock.now());
                    running.erase(stopped);
                }
                running[placed->request] = clock.now() + highHoldingTime;
            } else if (const auto *refusal = std::get_if<refuse_action>(&action)) {
                refused += isLow(refusal->request) ? 0 : 1;
            }
        }
    };
    const auto arrive = [&](std::uint64_t number) {
        core.arrive(requestOf(number, isLow(number) ? lowestTier : 1, 60s), clock.now(), actions);
        applyActions();
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
            applyActions();
        }
    };
    report();
    // One answered request of the highest tier, so that its holding time is known.
    arrive(highRequests + 1);
    step(10s);
    for (std::uint64_t i = 0; i < places; ++i) {
        arrive(highRequests + 2 + i);
        core.firstToken(highRequests + 2 + i, clock.now());
    }
    step(1s);
    for (std::uint64_t number = 1; number <= highRequests; ++number)
        arrive(number);
    step(4s);
    return refused;
}

TEST(PromiseTest, p1NothingIsShedWhileALowerTierHoldsThePlaces)
{
    EXPECT_EQ(refusedBehindLongAnswers(), 0U);
}

// As above, but the requests that hold the places were sent by another entry process and are known
// only from load reports.
TEST(PromiseTest, p1NothingIsShedWhileLowerTiersOfOtherEntryProcessesHoldThePlaces)
{
    constexpr std::uint32_t places = 4;
    constexpr std::uint64_t highRequests = 12;
    constexpr auto highHoldingTime = 60s; // far longer than the first-token target
    manual_clock clock;
    dispatcher core({.dataCentre = "a"});
    core.setEndpoint({.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
                     clock.now());
    std::vector<dispatch_action> actions;
    const auto arrive = [&](std::uint64_t number) {
        core.arrive(requestOf(number, 1, 600s), clock.now(), actions);
    };
    core.reportLoad("e", {.window = places}, clock.now());
    arrive(1);
    core.firstToken(1, clock.now());
    clock.advance(highHoldingTime);
    core.finished(1, result_code::ok, 10, clock.now());
    actions.clear();
    endpoint_load load{.running = 2 * places, .window = places};
    load.preemptible[lowestTier] = 2 * places;
    core.reportLoad("e", load, clock.now());
    core.tick(clock.now(), actions);
    for (std::uint64_t number = 2; number < 2 + highRequests; ++number)
        arrive(number);
    // Eight of them can take a preemptible place; only the other four would wait for long.
    constexpr std::ptrdiff_t maxRefused = highRequests - std::uint64_t{2} * places;
    EXPECT_LE(countOf<refuse_action>(actions), maxRefused);
    EXPECT_EQ(core.queuedCount(), std::size_t{2} * places);
    // Once they are urgent, they are placed, and the agent preempts requests of lower tiers.
    actions.clear();
    clock.advance(2s);
    core.reportLoad("e", load, clock.now());
    core.tick(clock.now(), actions);
    EXPECT_GT(countOf<place_action>(actions), 0);
}

// Returns how many of eight requests are refused on arrival by an entry process that currently
// holds none of the four places. An earlier request of the class was answered `answered` after its
// placement, having been queued at the endpoint for `queued` of that time.
auto refusedWithNothingInFlight(duration answered, duration queued) -> std::ptrdiff_t
{
    constexpr std::uint32_t places = 4;
    constexpr std::uint64_t requests = 8;
    manual_clock clock;
    dispatcher core({.dataCentre = "a", .entryCount = 2});
    core.setEndpoint({.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
                     clock.now());
    std::vector<dispatch_action> actions;
    const auto arrive = [&](std::uint64_t number, std::uint32_t tier = 1) {
        core.arrive(requestOf(number, tier, 60s), clock.now(), actions);
    };
    core.reportLoad("e", {.window = places}, clock.now());
    constexpr std::uint64_t bulk = 100; // makes the dispatcher know a lower tier
    arrive(bulk, lowestTier);
    core.finished(bulk, result_code::cancelled, 0, clock.now());
    arrive(1);
    clock.advance(answered);
    core.queuedAtEndpoint(1, queued);
    core.finished(1, result_code::ok, 10, clock.now());
    for (int second = 0; second < 60; ++second) {
        clock.advance(1s);
        core.tick(clock.now(), actions);
    }
    actions.clear();
    core.reportLoad("e", {.running = places, .window = places}, clock.now());
    core.tick(clock.now(), actions);
    for (std::uint64_t number = 2; number < 2 + requests; ++number)
        arrive(number);
    return countOf<refuse_action>(actions);
}

TEST(PromiseTest, p1PlacesOfOtherEntryProcessesCountAsSupply)
{
    EXPECT_EQ(refusedWithNothingInFlight(500ms, {}), 0);
}

TEST(PromiseTest, p1QueueTimeAtAnEndpointIsNotHoldingTime)
{
    EXPECT_GT(refusedWithNothingInFlight(3s, {}), 0);
    EXPECT_EQ(refusedWithNothingInFlight(3s, 2500ms), 0);
}

} // namespace

} // namespace mustardline
