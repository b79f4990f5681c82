// Loads of prompts on a simulated fleet.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "policy/testing/prompt_fleet.h"

namespace mustardline {
namespace {

using namespace std::chrono_literals;

// Minimum fraction of streams in time that users accept for any kind under this load.
constexpr double minFractionInTime = 0.35;

enum kind_number : std::uint32_t { note, tag, review };

auto kinds() -> std::vector<stream_kind>
{
    return {{.name = "note",
             .tier = 1,
             .promptTokens = 820,
             .sharedTokens = 200,
             .responseTokens = 290,
             .firstTokenTarget = 800ms,
             .tokenGapTarget = 300ms,
             .perSecond = 96,
             .bursts = {{.from = 11s, .until = 16s, .factor = 2.3}}},
            {.name = "tag",
             .tier = 2,
             .promptTokens = 2400,
             .sharedTokens = 600,
             .responseTokens = 20,
             .firstTokenTarget = 1500ms,
             .tokenGapTarget = 500ms,
             .perSecond = 120},
            {.name = "review",
             .tier = 3,
             .promptTokens = 12000,
             .sharedTokens = 5400,
             .responseTokens = 380,
             .firstTokenTarget = 2s,
             .tokenGapTarget = 1200ms,
             .perSecond = 84,
             .bursts = {{.from = 1s, .until = 10s, .factor = 2.4},
                        {.from = 17s, .until = 21s, .factor = 2.4}}}};
}

// Bursts of long prompts of the lowest tier, loss of a quarter of the endpoints, and a burst of
// short streams of the highest tier with a small token gap target. If endpoints are wrongly taken
// for full or slow, or if the dispatchers disagree on the border between the lanes, one of the
// kinds is hardly served at all.
TEST(PromptFleetTest, everyKindIsServedDuringBurstsOfLongPrompts)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        prompt_fleet fleet(kinds(), seed);
        fleet.crashQuarter(9500ms, 11500ms);
        fleet.run(30s);
        for (const auto kind : {note, tag, review})
            EXPECT_GE(fleet.fractionInTime(kind), minFractionInTime)
                << "seed " << seed << ": " << fleet.text();
    }
}

// Classes of one tier: quick answers come first, then tags, then digests of long prompts.
auto classesOfOneTier() -> std::vector<stream_kind>
{
    return {{.name = "quick",
             .tier = 2,
             .priority = 0,
             .promptTokens = 820,
             .sharedTokens = 200,
             .responseTokens = 290,
             .firstTokenTarget = 500ms,
             .tokenGapTarget = 200ms,
             .perSecond = 80,
             .bursts = {{.from = 8s, .until = 16s, .factor = 5}}},
            {.name = "tag",
             .tier = 2,
             .priority = 1,
             .promptTokens = 2400,
             .sharedTokens = 600,
             .responseTokens = 20,
             .firstTokenTarget = 1s,
             .tokenGapTarget = 300ms,
             .deadline = 3s,
             .perSecond = 90},
            {.name = "digest",
             .tier = 2,
             .priority = 2,
             .promptTokens = 12000,
             .sharedTokens = 5400,
             .responseTokens = 380,
             .firstTokenTarget = 1200ms,
             .tokenGapTarget = 800ms,
             .deadline = 15s,
             .perSecond = 53,
             .bursts = {{.from = 2s, .until = 16s, .factor = 6}}}};
}

// Guards against short requests of the first class that are refused or wait in vain, because a
// burst of long prompts of the last class holds most endpoints and goes on getting them.
TEST(PromptFleetTest, shortUrgentPromptsAreNotPassedOverDuringBurstsOfLongPrompts)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        prompt_fleet fleet(classesOfOneTier(), seed);
        fleet.run(30s);
        EXPECT_THAT(fleet.passedOver(), testing::IsEmpty())
            << "seed " << seed << ": " << fleet.text();
    }
}

} // namespace
} // namespace mustardline
