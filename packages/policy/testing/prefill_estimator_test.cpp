#include "policy/prefill_estimator.h"

#include <gtest/gtest.h>

#include "policy/random.h"

namespace mustardline {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration fixedLatency = milliseconds(30);

// Time to the first token at an endpoint that prefills a token in `perToken`.
auto latencyOf(duration perToken, std::uint32_t tokens) -> duration
{
    return fixedLatency + perToken * static_cast<std::int64_t>(tokens);
}

// The first responses come from endpoints faster or slower than the initial estimate.
TEST(PrefillEstimatorTest, convergesWithinTheFirstSamples)
{
    for (const auto perToken : {microseconds(3), microseconds(9), microseconds(25)}) {
        prefill_estimator estimator;
        constexpr std::uint32_t sampleCount = 12;
        for (std::uint32_t at = 0; at < sampleCount; ++at) {
            estimator.firstToken(latencyOf(perToken, 800), 800);
            estimator.firstToken(latencyOf(perToken, 9000), 9000);
        }
        const auto ratio = toSeconds(estimator.timeFor(1000)) / toSeconds(perToken * 1000);
        EXPECT_GT(ratio, 0.6) << perToken.count();
        EXPECT_LT(ratio, 1.7) << perToken.count();
    }
}

// Other entry processes send prompts to the same endpoints, so that many responses are late by
// seconds, and some are early because the prompt was cached.
TEST(PrefillEstimatorTest, isRobustToSamplesDelayedByOtherProcesses)
{
    constexpr auto perToken = microseconds(10);
    random_source random(7);
    prefill_estimator estimator;
    for (int at = 0; at < 2000; ++at) {
        const std::uint32_t tokens = 600 + random.below(9000);
        auto latency = latencyOf(perToken, tokens);
        const auto kind = random.below(10);
        if (kind < 5)
            latency += milliseconds(random.below(3000));
        else if (kind == 9)
            latency = fixedLatency;
        estimator.firstToken(latency, tokens);
    }
    const auto ratio = toSeconds(estimator.timeFor(1000)) / toSeconds(perToken * 1000);
    EXPECT_GT(ratio, 0.5);
    EXPECT_LT(ratio, 1.6);
}

TEST(PrefillEstimatorTest, hasADefaultBeforeTheFirstSample)
{
    const prefill_estimator estimator;
    EXPECT_GT(estimator.timeFor(1000), duration(0));
    EXPECT_LT(estimator.timeFor(1000), seconds(1));
}

} // namespace

} // namespace mustardline
