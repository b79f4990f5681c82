#include "policy/dispatcher.h"

#include <gtest/gtest.h>

namespace mustardline {

namespace {

using namespace std::chrono_literals;

class DispatcherTest : public testing::Test
{
protected:
    auto addEndpoint(const std::string &id, std::uint32_t window, std::int64_t start = 0) -> void
    {
        m_core.setEndpoint({.id = id,
                            .start = start,
                            .dataCentre = "tuzla",
                            .serves = {"model"},
                            .maxConcurrency = window},
                           m_clock.now());
        m_core.reportLoad(id, {.window = window}, m_clock.now());
    }

    auto arrive(std::uint64_t request, std::uint32_t tier = 3, duration deadline = 10s) -> void
    {
        m_actions.clear();
        m_core.arrive({.request = request,
                       .clientAccount = "large",
                       .requestClass = "quick",
                       .target = "model",
                       .tier = tier,
                       .deadline = deadline},
                      m_clock.now(), m_actions);
    }

    auto tick() -> void
    {
        m_actions.clear();
        m_core.tick(m_clock.now(), m_actions);
    }

    template<class Action>
    auto only() -> const Action *
    {
        return m_actions.size() == 1 ? std::get_if<Action>(&m_actions.front()) : nullptr;
    }

    manual_clock m_clock;
    dispatcher m_core{{.dataCentre = "tuzla"}};
    std::vector<dispatch_action> m_actions;
};

TEST_F(DispatcherTest, placesWhatArrives)
{
    addEndpoint("a", 1);
    arrive(1);
    ASSERT_NE(only<place_action>(), nullptr);
    EXPECT_EQ(only<place_action>()->endpoint, "a");
    EXPECT_EQ(m_core.inFlightCount(), 1U);
}

TEST_F(DispatcherTest, aNewStartIsNotBlamedOrFilledByTheOneBeforeIt)
{
    addEndpoint("a", 1, 1);
    arrive(1);
    m_core.reportFailure("a", m_clock.now());
    addEndpoint("a", 1, 2);
    arrive(2);
    ASSERT_NE(only<place_action>(), nullptr) << "the earlier start failed and was full";
    EXPECT_EQ(m_core.inFlightAt("a"), 1U);
    m_core.finished(1, result_code::endpoint_failed, 0, m_clock.now());
    m_core.finished(2, result_code::ok, 1, m_clock.now());
    EXPECT_EQ(m_core.inFlightAt("a"), 0U);
    arrive(3);
    EXPECT_NE(only<place_action>(), nullptr) << "the earlier start's loss counts here";
}

// Load pattern: many entries share an endpoint with many places and few connections for each.
TEST_F(DispatcherTest, aBoundOnItsOwnRequestsIsNoBoundOnThoseOfOthers)
{
    constexpr std::uint32_t places = 10;
    m_core.setEndpoint({.id = "a",
                        .serves = {"model"},
                        .maxConcurrency = places,
                        .coldConcurrency = places,
                        .mostOwn = 2},
                       m_clock.now());
    m_core.reportLoad("a", {.running = 5, .window = places}, m_clock.now());
    arrive(1);
    arrive(2);
    EXPECT_EQ(m_core.inFlightCount(), 2U) << "others hold more than this one may";
    arrive(3);
    EXPECT_EQ(m_core.inFlightCount(), 2U);
}

// Load pattern: long prompts fill their lane while short ones come.
TEST_F(DispatcherTest, aFullLaneHoldsUpOnlyItsOwnPrompts)
{
    for (const auto *id : {"a", "b", "c", "d"}) {
        m_core.setEndpoint({.id = id,
                            .serves = {"model"},
                            .maxConcurrency = 2,
                            .coldConcurrency = 2,
                            .readsPrompts = true},
                           m_clock.now());
    }
    const auto arriveOf = [this](std::uint64_t request, std::uint32_t tier, std::uint32_t tokens) {
        m_actions.clear();
        m_core.arrive({.request = request,
                       .requestClass = tokens > 1000 ? "long" : "short",
                       .target = "model",
                       .tier = tier,
                       .firstTokenTarget = 1s,
                       .betweenTokensTarget = 100ms,
                       .deadline = 60s,
                       .wantedLate = true,
                       .promptTokens = tokens},
                      m_clock.now(), m_actions);
    };
    constexpr std::uint32_t longPrompt = 50'000;
    std::uint64_t request = 0;
    while (m_core.queuedCount() == 0 && request < 20)
        arriveOf(++request, 1, longPrompt);
    ASSERT_EQ(m_core.queuedCount(), 1U) << "the lane of long prompts is full";
    arriveOf(++request, 6, 100);
    EXPECT_NE(only<place_action>(), nullptr) << "no other prompt makes the higher tier wait";
}

TEST_F(DispatcherTest, refusesAtOnceWithoutAnEndpoint)
{
    arrive(1);
    ASSERT_NE(only<refuse_action>(), nullptr);
    EXPECT_EQ(only<refuse_action>()->code, result_code::no_endpoint);
    EXPECT_GT(only<refuse_action>()->retryAfter, 0s);
}

TEST_F(DispatcherTest, queuesUntilAPlaceIsFree)
{
    addEndpoint("a", 1);
    arrive(1);
    arrive(2);
    EXPECT_TRUE(m_actions.empty());
    EXPECT_EQ(m_core.queuedCount(), 1U);
    m_core.finished(1, result_code::ok, 10, m_clock.now());
    tick();
    ASSERT_NE(only<place_action>(), nullptr);
    EXPECT_EQ(only<place_action>()->request, 2U);
}

TEST_F(DispatcherTest, triesAnotherEndpointAfterNotRun)
{
    addEndpoint("a", 1);
    addEndpoint("b", 1);
    arrive(1);
    ASSERT_NE(only<place_action>(), nullptr);
    const auto first = only<place_action>()->endpoint;
    m_actions.clear();
    m_core.notRun(1, result_code::not_run, m_clock.now(), m_actions);
    ASSERT_NE(only<place_action>(), nullptr);
    EXPECT_NE(only<place_action>()->endpoint, first);
    EXPECT_EQ(only<place_action>()->attempt, 2U);
}

// One that is only full is asked again soon; one whose agent cannot reach it is left alone.
TEST_F(DispatcherTest, leavesAnEndpointThatItsAgentCannotReach)
{
    addEndpoint("a", 8);
    for (const auto code : {result_code::not_run, result_code::endpoint_unreachable}) {
        std::uint32_t triesOfTheDead = 0;
        constexpr std::uint64_t requests = 20;
        const auto first = m_clock.now().nanoseconds;
        for (std::uint64_t number = 1; number <= requests; ++number) {
            const auto request = static_cast<std::uint64_t>(first) + number;
            arrive(request);
            for (int turn = 0; turn < 20; ++turn) {
                if (const auto *placed = only<place_action>()) {
                    m_actions.clear();
                    m_core.notRun(placed->request, code, m_clock.now(), m_actions);
                    ++triesOfTheDead;
                }
                m_clock.advance(10ms);
                m_core.reportLoad("a", {.window = 8}, m_clock.now());
                tick();
            }
            m_core.callerGone(request);
        }
        if (code == result_code::not_run)
            EXPECT_GT(triesOfTheDead, requests);
        else
            EXPECT_LE(triesOfTheDead, requests / 2);
    }
}

TEST_F(DispatcherTest, refusesWhatWaitsPastItsDeadline)
{
    addEndpoint("a", 1);
    arrive(1);
    arrive(2, 3, 2s);
    m_clock.advance(2s);
    tick();
    ASSERT_NE(only<refuse_action>(), nullptr);
    EXPECT_EQ(only<refuse_action>()->request, 2U);
    EXPECT_EQ(only<refuse_action>()->code, result_code::deadline_unmeetable);
}

} // namespace

} // namespace mustardline
