#include "policy/reading_pace.h"

#include <gtest/gtest.h>

#include "policy/random.h"

namespace mustardline {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration rest = milliseconds(30);

// What an endpoint that reads a token in `perToken` takes to the first token.
auto latencyOf(duration perToken, std::uint32_t tokens) -> duration
{
    return rest + perToken * static_cast<std::int64_t>(tokens);
}

// Load pattern: the first answers of a day, of endpoints faster and slower than assumed.
TEST(ReadingPaceTest, isLearnedFromTheFirstAnswers)
{
    for (const auto perToken : {microseconds(3), microseconds(9), microseconds(25)}) {
        reading_pace pace;
        constexpr std::uint32_t few = 12;
        for (std::uint32_t at = 0; at < few; ++at) {
            pace.firstToken(latencyOf(perToken, 800), 800);
            pace.firstToken(latencyOf(perToken, 9000), 9000);
        }
        const auto ratio = toSeconds(pace.timeFor(1000)) / toSeconds(perToken * 1000);
        EXPECT_GT(ratio, 0.6) << perToken.count();
        EXPECT_LT(ratio, 1.7) << perToken.count();
    }
}

// Load pattern: other entries send prompts to the same endpoints, so that many answers are late by
// seconds and some are early because the endpoint had read the prompt before.
TEST(ReadingPaceTest, holdsWhileManyAnswersAreLateByOthersPrompts)
{
    constexpr auto perToken = microseconds(10);
    random_source random(7);
    reading_pace pace;
    for (int at = 0; at < 2000; ++at) {
        const std::uint32_t tokens = 600 + random.below(9000);
        auto latency = latencyOf(perToken, tokens);
        const auto fate = random.below(10);
        if (fate < 5)
            latency += milliseconds(random.below(3000));
        else if (fate == 9)
            latency = rest;
        pace.firstToken(latency, tokens);
    }
    const auto ratio = toSeconds(pace.timeFor(1000)) / toSeconds(perToken * 1000);
    EXPECT_GT(ratio, 0.5);
    EXPECT_LT(ratio, 1.6);
}

TEST(ReadingPaceTest, assumesOneBeforeTheFirstAnswer)
{
    const reading_pace pace;
    EXPECT_GT(pace.timeFor(1000), duration(0));
    EXPECT_LT(pace.timeFor(1000), seconds(1));
}

} // namespace

} // namespace mustardline
