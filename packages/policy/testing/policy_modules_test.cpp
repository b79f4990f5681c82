// Unit tests of the modules that the dispatcher is built from, and of the scaler.

#include <algorithm>
#include <array>
#include <cmath>

#include <gtest/gtest.h>

#include "policy/account_limits.h"
#include "policy/class_queue.h"
#include "policy/concurrency_window.h"
#include "policy/drain_estimate.h"
#include "policy/placement.h"
#include "policy/prefix_index.h"
#include "policy/retry_budget.h"
#include "policy/scaler.h"
#include "policy/size_estimator.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

TEST(IndexedHeapTest, topIsAlwaysTheSmallestKey)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random(seed);
        std::vector<std::uint32_t> keys(30);
        const auto before = [&](std::uint32_t a, std::uint32_t b) { return keys[a] < keys[b]; };
        indexed_heap heap;
        for (int step = 0; step < 500; ++step) {
            const auto item = random.below(30);
            const bool isIn = heap.contains(item);
            if (isIn && random.below(3) == 0) {
                heap.remove(item, before);
            } else {
                keys[item] = random.below(1000);
                isIn ? heap.update(item, before) : heap.push(item, before);
            }
            auto least = UINT32_MAX;
            for (std::uint32_t other = 0; other < keys.size(); ++other)
                least = heap.contains(other) ? std::min(least, keys[other]) : least;
            ASSERT_EQ(heap.empty(), least == UINT32_MAX);
            if (!heap.empty()) {
                ASSERT_EQ(keys[heap.top()], least);
            }
        }
    }
}

// Tries every order of six arrivals and ends of two accounts with two places: while both accounts
// have queued requests, none is placed for the account with more requests in flight.
TEST(ClassQueueTest, accountsSharePlacesFairlyInEveryOrder)
{
    for (std::uint32_t sequence = 0; sequence < 729; ++sequence) {
        request_table requests;
        class_queue queue({});
        std::vector<std::uint32_t> running;
        std::array<std::uint32_t, 2> inFlight{};
        std::array<std::uint32_t, 2> waiting{};
        auto remaining = sequence;
        for (std::uint64_t step = 0; step < 6; ++step, remaining /= 3) {
            if (remaining % 3 < 2) {
                const auto slot = requests.add(step);
                requests.at(slot).account = remaining % 3;
                queue.push(requests, slot);
                ++waiting[remaining % 3];
            } else if (!running.empty()) {
                const auto account = requests.at(running.front()).account;
                queue.finish(account, 10, 10);
                --inFlight[account];
                running.erase(running.begin());
            }
            while (!queue.empty() && running.size() < 2) {
                const auto slot = queue.front();
                const auto account = requests.at(slot).account;
                if (waiting[1 - account] > 0) {
                    ASSERT_LE(inFlight[account], inFlight[1 - account]) << "order " << sequence;
                }
                queue.start(requests, slot, 10);
                --waiting[account];
                ++inFlight[account];
                running.push_back(slot);
            }
        }
    }
}

TEST(ClassQueueTest, idleAccountGetsItsShareAtOnce)
{
    request_table requests;
    class_queue queue({});
    const auto add = [&](std::uint64_t number, std::uint32_t account) {
        const auto slot = requests.add(number);
        requests.at(slot).account = account;
        queue.push(requests, slot);
    };
    for (std::uint64_t number = 0; number < 100; ++number)
        add(number, 0);
    for (int count = 0; count < 50; ++count)
        queue.start(requests, queue.front(), 100);
    add(1000, 1);
    EXPECT_EQ(queue.countAhead(2), 0U);
    EXPECT_EQ(requests.at(queue.front()).account, 1U);
    EXPECT_EQ(requests.at(queue.newestOfLargestAccount()).account, 0U);
}

TEST(ClassQueueTest, turnPlacesARequestThatWasNeverPlaced)
{
    request_table requests;
    class_queue queue({});
    const auto add = [&](std::uint32_t account) {
        const auto slot = requests.add(account);
        requests.at(slot).account = account;
        queue.push(requests, slot);
        return slot;
    };
    const auto returned = add(0);
    const auto unplaced = add(0);
    queue.start(requests, returned, 10);
    queue.finish(0, 10, 0);
    queue.pushFront(requests, returned);
    EXPECT_EQ(queue.front(), returned);
    EXPECT_EQ(queue.frontForTurn(), unplaced);

    // The next account has no request that was never placed, so one of another account is used.
    queue.remove(requests, unplaced);
    EXPECT_EQ(queue.frontForTurn(), returned);
    queue.start(requests, add(1), 100);
    const auto other = add(1);
    EXPECT_EQ(queue.front(), returned);
    EXPECT_EQ(queue.frontForTurn(), other);
}

TEST(AccountLimitsTest, concurrencyLimitHoldsOverAllEntryProcesses)
{
    struct limit_case
    {
        std::uint32_t entries;
        std::uint32_t concurrent;
    };
    for (const auto &item : {limit_case{1, 7}, limit_case{3, 30}, limit_case{8, 5}}) {
        std::uint32_t admitted = 0;
        for (std::uint32_t entry = 0; entry < item.entries; ++entry) {
            account_limits limits;
            limits.setEntryCount(item.entries);
            for (int count = 0; count < 100; ++count) {
                const auto code = limits.admit(0, {.concurrentRequests = item.concurrent}, {}).code;
                admitted += code == result_code::ok ? 1 : 0;
            }
        }
        EXPECT_GE(admitted, item.concurrent);
        // The allowance for an uneven distribution adds at most one request and the square root of
        // its share for each entry process.
        const auto share = static_cast<double>(item.concurrent) / item.entries;
        const auto slack = item.entries == 1 ? 0 : item.entries * (1 + std::sqrt(share));
        EXPECT_LE(admitted, item.concurrent + slack);
    }
}

TEST(AccountLimitsTest, rateLimitAdmitsItsShareAndGivesARetryDelay)
{
    account_limits limits;
    limits.setEntryCount(2);
    time_point now{};
    std::uint32_t admitted = 0;
    for (int step = 0; step < 1000; ++step, now = now + 10ms) {
        const auto verdict = limits.admit(0, {.requestsPerSecond = 20}, now);
        admitted += verdict.code == result_code::ok ? 1 : 0;
        if (verdict.code != result_code::ok) {
            EXPECT_EQ(verdict.code, result_code::rate_limited);
            EXPECT_LE(verdict.retryAfter, 100ms);
        }
    }
    EXPECT_NEAR(admitted, 100 + 10, 1);
}

TEST(SizeEstimatorTest, estimatesPerAccountAndForAnswersInProgress)
{
    size_estimator sizes;
    EXPECT_EQ(sizes.quantile(0, 0, 0.9), 0U);
    for (int count = 0; count < 100; ++count) {
        sizes.record(0, 0, 40);
        sizes.record(0, 1, 1000);
    }
    EXPECT_GE(sizes.quantile(0, 0, 0.9), 40U);
    EXPECT_LE(sizes.quantile(0, 0, 0.9), 64U);
    EXPECT_GE(sizes.quantile(0, 1, 0.5), 1000U);
    // An account without answers uses the distribution of the class.
    EXPECT_GE(sizes.quantile(0, 2, 0.9), 1000U);
    EXPECT_LE(sizes.quantile(0, 2, 0.4), 64U);
    EXPECT_GE(sizes.quantile(0, 2, 0.4, 100), 1000U);
}

TEST(ConcurrencyWindowTest, growsWhileFastAndCollapsesWhenCold)
{
    concurrency_window window({.initial = 2, .highest = 16});
    time_point now{};
    for (int count = 0; count < 40; ++count, now = now + 10ms)
        window.succeeded({.latency = 100ms, .target = 700ms}, window.size(), now);
    EXPECT_EQ(window.size(), 16U);
    // The window collapses once a first token is outstanding for more than four times the baseline
    // and half the target.
    window.outstanding({.latency = 380ms, .target = 700ms}, now);
    EXPECT_EQ(window.size(), 16U);
    window.outstanding({.latency = 450ms, .target = 700ms}, now);
    EXPECT_EQ(window.size(), 1U);
    // The window stays small while the endpoint is slow.
    for (int count = 0; count < 100; ++count, now = now + 1s)
        window.succeeded({.latency = 600ms, .target = 700ms}, 1, now);
    EXPECT_LE(window.size(), 2U);
}

TEST(ConcurrencyWindowTest, growsAfterHoldTimeUnlessSlowerThanOtherEndpoints)
{
    concurrency_window window({.initial = 4, .highest = 32, .holdTime = 10s});
    time_point now{};
    const auto answer = [&](duration expected) {
        now = now + 1s;
        window.succeeded({.latency = 300ms, .target = 20s, .expected = expected}, 32, now);
    };
    for (int count = 0; count < 10; ++count)
        answer(0s);
    EXPECT_EQ(window.size(), 4U);
    answer(0s);
    EXPECT_EQ(window.size(), 5U);
    answer(200ms);
    EXPECT_EQ(window.size(), 5U);
    answer(250ms);
    EXPECT_EQ(window.size(), 6U);
}

TEST(ConcurrencyWindowTest, judgesCompleteAnswersByTimePerToken)
{
    concurrency_window window({.highest = 32});
    time_point now{};
    const auto answer = [&](std::uint32_t tokens, duration perToken) {
        now = now + 1s;
        window.answeredWhole({.latency = perToken * tokens, .target = 700ms, .promptTokens = 100},
                             tokens, window.size(), now);
    };
    // Complete answers of various lengths that take far longer than the first-token target.
    for (const auto tokens : {40U, 100U, 1000U, 250U, 600U, 30U})
        answer(tokens, 15ms);
    EXPECT_EQ(window.size(), 8U);
    EXPECT_EQ(window.typicalLatency(), 0s);
    answer(40, 25ms);
    EXPECT_EQ(window.size(), 9U);
    answer(40, 40ms);
    EXPECT_EQ(window.size(), 7U);
    // The endpoint became cold.
    answer(40, 70ms);
    EXPECT_EQ(window.size(), 1U);
}

TEST(ReturnScheduleTest, spreadsRetriesOverTheDrainTime)
{
    retry_after_schedule schedule;
    random_source random(1);
    std::vector<duration> delays;
    delays.reserve(200);
    for (int count = 0; count < 200; ++count)
        delays.push_back(schedule.retryAfter(1s, 10, random, {}));
    std::ranges::sort(delays);
    EXPECT_GE(delays.front(), 750ms);
    // 200 callers at 10 places a second: no more than 25 are told to retry in the same second.
    for (duration from{}; from < 20s; from += 1s) {
        const auto count = std::ranges::count_if(
            delays, [&](duration value) { return value >= from && value < from + 1s; });
        EXPECT_LE(count, 25) << from.count();
    }
}

TEST(RetryBudgetTest, limitsRetriesWhenAllRequestsFail)
{
    retry_budget budget;
    std::uint32_t retries = 0;
    for (int count = 0; count < 1000; ++count) {
        budget.recordRequest();
        retries += budget.take() ? 1 : 0;
    }
    EXPECT_LE(retries, 211U);
}

TEST(RetryBudgetTest, backoffDoublesWithJitter)
{
    random_source random(1);
    for (std::uint32_t attempt = 1; attempt < 10; ++attempt) {
        const auto delay = retryBackoff(attempt, random);
        const auto maxDelay = 10ms * (1 << std::min(attempt, 6U));
        EXPECT_GE(delay, maxDelay / 2);
        EXPECT_LE(delay, maxDelay);
    }
}

TEST(EndpointTableTest, failedEndpointIsAvoidedThenProbed)
{
    endpoint_table endpoints(1);
    const auto index = endpoints.set({.id = "e", .maxConcurrency = 8}, {0}, {});
    time_point now{};
    endpoints.reportLoad(index, {.window = 8}, now);
    EXPECT_TRUE(endpoints.isUsable(index, now));
    endpoints.failed(index, now);
    EXPECT_FALSE(endpoints.isUsable(index, now + 300ms));
    now = now + 700ms;
    EXPECT_TRUE(endpoints.isUsable(index, now));
    // One request at a time until one is answered.
    endpoints.placed(index, 1, now);
    EXPECT_FALSE(endpoints.isUsable(index, now));
    endpoints.firstToken(index, 100ms, now + 100ms);
    EXPECT_TRUE(endpoints.isUsable(index, now + 100ms));
    // An endpoint without a first token for a long time is stalled.
    endpoints.placed(index, 1, now + 200ms);
    EXPECT_FALSE(endpoints.isUsable(index, now + 2s));
}

TEST(EndpointSubsetTest, membershipIsDeterministicAndPrefersTheOwnDataCentre)
{
    endpoint_table endpoints(1);
    endpoint_subset subset({.size = 8, .dataCentre = "a", .seed = 3});
    const auto set = [&](std::uint32_t number, bool available) {
        const auto index = endpoints.set({.id = "e" + std::to_string(number),
                                          .dataCentre = number % 2 == 0 ? "a" : "b",
                                          .available = available},
                                         {0}, {});
        endpoints.reportLoad(index, {}, {});
        return index;
    };
    for (std::uint32_t number = 0; number < 100; ++number)
        subset.add(endpoints, set(number, true));
    EXPECT_EQ(subset.size(), 8U);
    endpoint_subset again({.size = 8, .dataCentre = "a", .seed = 3});
    again.rebuild(endpoints, 0);
    random_source random(1);
    for (std::uint32_t index = 0; index < 100; ++index)
        EXPECT_EQ(subset.contains(index), again.contains(index));
    EXPECT_EQ(subset.choose(endpoints, {}, random, {}).reason, "own_data_centre");
    for (std::uint32_t number = 0; number < 100; number += 2)
        set(number, false);
    subset.rebuild(endpoints, 0);
    EXPECT_EQ(subset.size(), 8U);
    EXPECT_EQ(subset.choose(endpoints, {}, random, {}).reason, "other_data_centre");
}

TEST(PrefixIndexTest, capacityIsBoundedAndRemovalNeedsTheStoredEndpoint)
{
    prefix_index prefixes(8);
    prefixes.stored(5, 1);
    EXPECT_EQ(prefixes.find(5), 1U);
    prefixes.removed(5, 2);
    EXPECT_EQ(prefixes.find(5), 1U);
    prefixes.stored(13, 2);
    EXPECT_EQ(prefixes.find(5), noIndex);
    EXPECT_EQ(prefixes.find(0), noIndex);
}

TEST(ScalerTest, limitsConcurrentStartsAndDrainsBeforeStopping)
{
    scaler core({.placesPerEndpoint = 10,
                 .targetUtilization = 1,
                 .maxConcurrentStarts = 2,
                 .surplusTime = 30s});
    core.setDataCentre("a", true);
    core.setDataCentre("b", true);
    std::vector<scaled_endpoint> endpoints{{.id = "e1", .dataCentre = "a", .load = 10}};
    std::vector<scale_action> actions;
    core.observe({.inFlight = 10, .waiting = 40}, {});
    core.decide(endpoints, {}, actions);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<start_endpoint_action>(actions[0]).dataCentre, "b");
    EXPECT_EQ(std::get<start_endpoint_action>(actions[1]).dataCentre, "a");

    actions.clear();
    endpoints.push_back({.id = "e2", .dataCentre = "b", .load = 1});
    core.setDataCentre("b", false);
    core.decide(endpoints, {}, actions);
    EXPECT_EQ(std::get<drain_endpoint_action>(actions[0]).id, "e2");
    endpoints[1].phase = endpoint_phase::draining;
    actions.clear();
    core.decide(endpoints, {}, actions);
    EXPECT_TRUE(std::ranges::none_of(actions, [](const scale_action &action) {
        return std::holds_alternative<stop_endpoint_action>(action);
    }));
    endpoints[1].load = 0;
    actions.clear();
    core.decide(endpoints, {}, actions);
    EXPECT_EQ(std::get<stop_endpoint_action>(actions[0]).id, "e2");
}

TEST(ScalerTest, startsInAnotherDataCentreWhenOneIsFull)
{
    scaler core({.placesPerEndpoint = 10, .targetUtilization = 1, .maxConcurrentStarts = 3});
    core.setDataCentre("a", true, 1);
    core.setDataCentre("b", true, 2);
    std::vector<scale_action> actions;
    core.observe({.inFlight = 90}, {});
    core.decide({}, {}, actions);
    ASSERT_EQ(actions.size(), 3U);
    EXPECT_EQ(std::get<start_endpoint_action>(actions[0]).dataCentre, "a");
    EXPECT_EQ(std::get<start_endpoint_action>(actions[1]).dataCentre, "b");
    EXPECT_EQ(std::get<start_endpoint_action>(actions[2]).dataCentre, "b");
    const std::vector<scaled_endpoint> all{{.id = "e1", .dataCentre = "a"},
                                           {.id = "e2", .dataCentre = "b"},
                                           {.id = "e3", .dataCentre = "b"}};
    actions.clear();
    core.decide(all, {}, actions);
    EXPECT_TRUE(actions.empty());
}

} // namespace

} // namespace mustardline
