// Endpoints of one service that differ in speed.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>

#include <gtest/gtest.h>

#include "policy/endpoint_pace.h"
#include "policy/testing/prompt_fleet.h"

namespace mustardline {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{.nanoseconds = 1'000'000'000};

// A moderate load of short and long prompts that all endpoints together bear easily.
auto moderateLoad() -> std::vector<stream_kind>
{
    return {{.name = "chat",
             .promptTokens = 820,
             .sharedTokens = 200,
             .responseTokens = 290,
             .firstTokenTarget = 800ms,
             .tokenGapTarget = 400ms,
             .perSecond = 60},
            {.name = "memo",
             .tier = 2,
             .promptTokens = 12000,
             .sharedTokens = 5400,
             .responseTokens = 380,
             .firstTokenTarget = 2500ms,
             .tokenGapTarget = 1500ms,
             .perSecond = 40}};
}

// Speeds of 0.7 and 1.7 of the nominal one, by turns of three.
auto makeUneven(prompt_fleet &fleet) -> void
{
    constexpr double slow = 1 / 0.7;
    constexpr double fast = 1 / 1.7;
    for (std::uint32_t at = 0; at < fleet.size(); ++at)
        fleet.setSlowness(at, at % 3 == 2 ? fast : slow);
}

// The work of the busiest endpoint since the last call, relative to the mean.
auto takeBusiestToMean(prompt_fleet &fleet) -> double
{
    const auto work = fleet.takeWork();
    const auto sum = std::accumulate(work.begin(), work.end(), duration());
    const auto mean = std::chrono::duration<double>(sum) / static_cast<double>(work.size());
    return std::ranges::max(work) / mean;
}

// Guards against slow endpoints that get as much as fast ones and are late, and against entries
// that see too little of an endpoint because they learn nothing from each other.
TEST(UnevenEndpointsTest, callersAreServedWellWhereEndpointsDifferMoreThanTwofold)
{
    constexpr double minInTime = 0.99;
    constexpr double maxBusiestToMean = 1.3;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        prompt_fleet alone(moderateLoad(), seed);
        alone.setExchangesPaces(false);
        prompt_fleet together(moderateLoad(), seed);
        for (auto *fleet : {&alone, &together}) {
            makeUneven(*fleet);
            fleet->run(30s);
        }
        for (const auto kind : {0U, 1U})
            EXPECT_GE(together.fractionInTime(kind), minInTime) << together.text() << alone.text();
        EXPECT_GT(together.fractionInTime(1), alone.fractionInTime(1));
        EXPECT_LT(takeBusiestToMean(together), maxBusiestToMean);
    }
}

// Guards against a learned order of speeds that is not the true one, and against entries whose
// speeds differ, so that prefixes would be read at several endpoints.
TEST(UnevenEndpointsTest, allEntriesLearnAlikeWhichEndpointsAreSlow)
{
    prompt_fleet fleet(moderateLoad(), 1);
    makeUneven(fleet);
    fleet.run(20s);
    const auto first = fleet.speedsAt(0);
    const auto second = fleet.speedsAt(7);
    std::uint32_t right = 0;
    std::uint32_t alike = 0;
    for (std::uint32_t at = 0; at < fleet.size(); ++at) {
        const auto id = "endpoint-" + std::to_string(at);
        const auto here = first.contains(id) ? first.at(id) : 1;
        const auto there = second.contains(id) ? second.at(id) : 1;
        right += at % 3 == 2 ? here > 1 : here < 1;
        alike += std::abs(std::log(here / there)) < 0.15;
    }
    EXPECT_GE(right, fleet.size() * 9 / 10);
    EXPECT_GE(alike, fleet.size() * 9 / 10);
}

// Guards against prefixes that move where no endpoint differs.
TEST(UnevenEndpointsTest, equalEndpointsStayEqual)
{
    prompt_fleet fleet(moderateLoad(), 1);
    fleet.run(30s);
    EXPECT_LE(fleet.speedsAt(0).size(), fleet.size() / 10);
}

// Guards against one late response that makes an endpoint count as slow.
TEST(EndpointPaceTest, aSingleLateResponseChangesNothing)
{
    endpoint_pace pace;
    auto now = start;
    for (int at = 0; at < 20; ++at)
        pace.add(0, now = now + 100ms);
    pace.add(8, now = now + 1s);
    EXPECT_EQ(pace.slowness(), 1);
}

// An endpoint turns slow and is fast again later.
TEST(EndpointPaceTest, followsInSmallStepsAndRecovers)
{
    endpoint_pace pace;
    auto now = start;
    const auto feed = [&](double deviation, duration length) {
        for (const auto end = now + length; now < end; now = now + 200ms) {
            const auto before = pace.slowness();
            pace.add(deviation, now);
            EXPECT_LT(std::abs(std::log(pace.slowness() / before)), 0.11);
        }
    };
    feed(0.6, 20s);
    EXPECT_GT(pace.slowness(), 1.4);
    feed(0, 120s);
    EXPECT_LT(pace.slowness(), 1.1);
}

// Another process sends what no endpoint can be, or nothing that can be used.
TEST(EndpointPaceTest, ignoresMalformedReports)
{
    endpoint_pace pace;
    for (const auto speed : {0.0, -1.0, std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN()})
        pace.addReported({.speed = speed, .samples = 1000}, start);
    pace.addReported({.speed = 0.1, .samples = -5}, start);
    EXPECT_EQ(pace.slowness(), 1);
}

} // namespace
} // namespace mustardline
