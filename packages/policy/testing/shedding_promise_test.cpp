// Promise 1 where nothing of a lower tier waits, but the lower tier holds the places.

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
        core.arrive(requestOf(number, isLow(number) ? lowestTier : 1, 60s), clock.now(), actions);
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

// As above, but the places are held for another entry: this one knows of them by reports alone.
TEST(PromiseTest, p1NothingIsShedWhileAnotherEntryHoldsThePlacesForALowerTier)
{
    constexpr std::uint32_t places = 4;
    constexpr std::uint64_t highCalls = 12;
    constexpr auto highHold = 60s; // far longer than the first token may take
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
    clock.advance(highHold);
    core.finished(1, result_code::ok, 10, clock.now());
    actions.clear();
    endpoint_load load{.running = 2 * places, .window = places};
    load.stoppable[lowestTier] = 2 * places;
    core.reportLoad("e", load, clock.now());
    core.tick(clock.now(), actions);
    for (std::uint64_t number = 2; number < 2 + highCalls; ++number)
        arrive(number);
    // Eight of them can take a place; only the other four would wait for long.
    constexpr std::ptrdiff_t others = highCalls - std::uint64_t{2} * places;
    EXPECT_LE(countOf<refuse_action>(actions), others);
    EXPECT_EQ(core.queuedCount(), std::size_t{2} * places);
    // Once they are urgent, they are sent for the agent to make room.
    actions.clear();
    clock.advance(2s);
    core.reportLoad("e", load, clock.now());
    core.tick(clock.now(), actions);
    EXPECT_GT(countOf<place_action>(actions), 0);
}

// How many of eight requests are refused at once by an entry that holds none of the four places
// just now. An earlier request of theirs was answered in `answered` after it had waited at the
// endpoint for `queued` of that.
auto refusedWithNothingInFlight(duration answered, duration queued) -> std::ptrdiff_t
{
    constexpr std::uint32_t places = 4;
    constexpr std::uint64_t calls = 8;
    manual_clock clock;
    dispatcher core({.dataCentre = "a", .entryCount = 2});
    core.setEndpoint({.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
                     clock.now());
    std::vector<dispatch_action> actions;
    const auto arrive = [&](std::uint64_t number, std::uint32_t tier = 1) {
        core.arrive(requestOf(number, tier, 60s), clock.now(), actions);
    };
    core.reportLoad("e", {.window = places}, clock.now());
    constexpr std::uint64_t bulk = 100; // there is a lower tier
    arrive(bulk, lowestTier);
    core.finished(bulk, result_code::cancelled, 0, clock.now());
    arrive(1);
    clock.advance(answered);
    core.queuedThere(1, queued);
    core.finished(1, result_code::ok, 10, clock.now());
    for (int second = 0; second < 60; ++second) {
        clock.advance(1s);
        core.tick(clock.now(), actions);
    }
    actions.clear();
    core.reportLoad("e", {.running = places, .window = places}, clock.now());
    core.tick(clock.now(), actions);
    for (std::uint64_t number = 2; number < 2 + calls; ++number)
        arrive(number);
    return countOf<refuse_action>(actions);
}

TEST(PromiseTest, p1PlacesThatOtherEntriesHoldComeFreeForThisOneToo)
{
    EXPECT_EQ(refusedWithNothingInFlight(500ms, {}), 0);
}

TEST(PromiseTest, p1WaitingAtAnEndpointIsNotTakenForHoldingAPlace)
{
    EXPECT_GT(refusedWithNothingInFlight(3s, {}), 0);
    EXPECT_EQ(refusedWithNothingInFlight(3s, 2500ms), 0);
}

} // namespace

} // namespace mustardline
