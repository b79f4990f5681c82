#include "policy/endpoint_scheduler.h"

#include <gtest/gtest.h>

namespace mustardline {

namespace {

using namespace std::chrono_literals;

TEST(EndpointSchedulerTest, startsWithinTheWindowAndQueuesByTier)
{
    manual_clock clock;
    endpoint_scheduler core({.maxConcurrency = 8, .initialWindow = 1});
    std::vector<schedule_action> actions;
    core.arrive({.request = 1, .tier = 3}, clock.now(), actions);
    core.arrive({.request = 2, .tier = 5}, clock.now(), actions);
    core.arrive({.request = 3, .tier = 4}, clock.now(), actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<start_action>(actions[0]).request, 1U);
    EXPECT_EQ(core.queuedCount(), 2U);
    actions.clear();
    core.finished(1, false, clock.now(), actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<start_action>(actions[0]).request, 3U);
}

TEST(EndpointSchedulerTest, rejectsARequestThatWaitsTooLong)
{
    manual_clock clock;
    endpoint_scheduler core({.maxConcurrency = 1});
    std::vector<schedule_action> actions;
    core.arrive({.request = 1}, clock.now(), actions);
    core.arrive({.request = 2}, clock.now(), actions);
    actions.clear();
    clock.advance(500ms);
    core.tick(clock.now(), actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<reject_action>(actions[0]).request, 2U);
}

TEST(EndpointSchedulerTest, preemptsOnlyALowerTier)
{
    manual_clock clock;
    endpoint_scheduler core({.maxConcurrency = 1});
    std::vector<schedule_action> actions;
    core.arrive({.request = 1, .tier = 4, .preemptible = true}, clock.now(), actions);
    core.arrive({.request = 2, .tier = 4}, clock.now(), actions);
    ASSERT_EQ(actions.size(), 1U);
    core.arrive({.request = 3, .tier = 2, .firstTokenTarget = 700ms}, clock.now(), actions);
    // It waits for a place to come free as long as its target allows.
    EXPECT_EQ(actions.size(), 1U);
    clock.advance(449ms);
    core.tick(clock.now(), actions);
    EXPECT_EQ(actions.size(), 1U);
    clock.advance(1ms);
    core.tick(clock.now(), actions);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<preempt_action>(actions[1]).request, 1U);
    EXPECT_EQ(std::get<preempt_action>(actions[1]).inFavourOf, 3U);
    core.finished(1, true, clock.now(), actions);
    ASSERT_EQ(actions.size(), 3U);
    EXPECT_EQ(std::get<start_action>(actions[2]).request, 3U);
}

// The time of a response that is not streamed must not be used as a first-token time, neither while
// it is outstanding nor when it arrives: the window would shrink at each long response.
TEST(EndpointSchedulerTest, aResponseNotStreamedGivesNoFirstTokenSample)
{
    for (const bool streamed : {true, false}) {
        manual_clock clock;
        endpoint_scheduler core({.maxConcurrency = 8});
        std::vector<schedule_action> actions;
        for (std::uint64_t request = 1; request <= 2; ++request)
            core.arrive({.request = request, .firstTokenTarget = 700ms, .streamed = streamed},
                        clock.now(), actions);
        clock.advance(5s);
        core.tick(clock.now(), actions);
        core.firstToken(2, clock.now());
        core.answeredWhole(2, 300, clock.now());
        core.finished(2, false, clock.now(), actions);
        EXPECT_EQ(core.window(), streamed ? 1U : 3U);
        EXPECT_EQ(core.firstTokenLatency(), streamed ? 5s : 0s);
    }
}

} // namespace

} // namespace mustardline
