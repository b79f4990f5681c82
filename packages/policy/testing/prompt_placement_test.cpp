#include "policy/prompt_placement.h"

#include <map>
#include <set>

#include <gtest/gtest.h>

#include "policy/dispatcher.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t endpointCount = 9;
constexpr std::uint32_t target = 0;

// Prefill time of one prompt token.
constexpr duration perToken = std::chrono::microseconds(5);

class PromptPlacementTest : public testing::Test
{
protected:
    PromptPlacementTest()
    {
        for (std::uint32_t at = 0; at < endpointCount; ++at)
            add(at);
    }

    auto add(std::uint32_t at) -> void
    {
        const auto index = m_endpoints.set({.id = "endpoint-" + std::to_string(at),
                                            .maxConcurrency = 128,
                                            .coldConcurrency = 128,
                                            .hasChunkedPrefill = true},
                                           {target}, m_now);
        m_placement.add(m_endpoints, index);
    }

    auto growTo(std::uint32_t count) -> void
    {
        for (std::uint32_t at = endpointCount; at < count; ++at)
            add(at);
    }

    auto arrive(std::uint32_t prompt, std::uint32_t count) -> void
    {
        for (std::uint32_t at = 0; at < count; ++at)
            m_placement.arrived({.promptTokens = prompt, .prefill = perToken * prompt}, m_now);
    }

    auto choose(const prompt_criteria &criteria) -> std::uint32_t
    {
        return m_placement.choose(m_endpoints, criteria, m_now).endpoint;
    }

    time_point m_now{.nanoseconds = 1'000'000'000};
    endpoint_table m_endpoints{1};
    prompt_placement m_placement;
};

constexpr prompt_criteria shortPrompt{.promptTokens = 800, .firstTokenTarget = milliseconds(500)};
constexpr prompt_criteria longPrompt{.promptTokens = 12000, .firstTokenTarget = milliseconds(1200)};

// Criteria of a short prompt with one of many shared prefixes, numbered from 1.
auto shortPromptWithPrefix(std::uint64_t prefix) -> prompt_criteria
{
    auto criteria = shortPrompt;
    criteria.prefixHash = prefix * 0x9e3779b97f4a7c15ULL;
    return criteria;
}

// Long and short prompts arrive together, each with many prefixes.
TEST_F(PromptPlacementTest, longAndShortPromptsShareNoEndpoint)
{
    arrive(12000, 20);
    arrive(800, 30);
    ASSERT_GT(m_placement.longLaneSize(), 0U);
    ASSERT_LT(m_placement.longLaneSize(), endpointCount);
    std::set<std::uint32_t> forLong;
    std::set<std::uint32_t> forShort;
    for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
        auto criteria = longPrompt;
        criteria.prefixHash = prefix;
        forLong.insert(choose(criteria));
        criteria = shortPrompt;
        criteria.prefixHash = prefix;
        forShort.insert(choose(criteria));
    }
    for (const auto index : forLong)
        EXPECT_FALSE(forShort.contains(index));
    EXPECT_EQ(forLong.size() + forShort.size(), endpointCount);
}

TEST_F(PromptPlacementTest, laneSizesAreProportionalToDemand)
{
    arrive(12000, 10);
    EXPECT_EQ(m_placement.longLaneSize(), endpointCount - 1) << "the short lane keeps one endpoint";
    arrive(1000, 120);
    EXPECT_NEAR(static_cast<double>(m_placement.longLaneSize()), endpointCount / 2.0, 1);
    m_now = m_now + seconds(200);
    arrive(1000, 100);
    EXPECT_EQ(m_placement.longLaneSize(), 1U) << "old demand has decayed";
}

// Short prompts with long responses need places, long prompts with short responses need prefill
// time. Each lane must be sized by the resource that limits it.
TEST_F(PromptPlacementTest, laneSizesFollowTheLimitingResource)
{
    // Each request takes one place of ten for a second: a tenth of an endpoint-second.
    m_placement.ended(1000, seconds(1), 10);
    arrive(1000, 100);
    const auto readForSeconds = static_cast<std::uint32_t>(seconds(10) / (perToken * 10'000));
    arrive(10'000, readForSeconds);
    EXPECT_NEAR(static_cast<double>(m_placement.longLaneSize()), endpointCount / 2.0, 1);
}

// A burst of long prompts arrives beside streams with a small allowed token gap. Prefill of a long
// prompt at an endpoint of the other lane would exceed the gap of the streams there.
TEST_F(PromptPlacementTest, aLongPromptWaitsIfItWouldDelayStreamsOfTheOtherLane)
{
    m_placement.arrived(
        {.promptTokens = 800, .prefill = perToken * 800, .betweenTokensTarget = milliseconds(200)},
        m_now);
    arrive(12000, 20);
    arrive(800, 30);
    constexpr std::uint32_t largeBacklog = 1'000'000;
    for (auto at = m_placement.longLaneSize(); at > 0; --at)
        m_endpoints.promptSent(choose(longPrompt), largeBacklog);
    EXPECT_NE(choose(shortPrompt), noIndex);
    auto criteria = longPrompt;
    criteria.promptTokens = 30'000;
    EXPECT_EQ(choose(criteria), noIndex) << "its prefill exceeds the allowed token gap";
    criteria.promptTokens = 5000;
    EXPECT_NE(choose(criteria), noIndex);
}

// Requests for many prefixes arrive at all entry processes. Different choices for the same prefix
// would have it prefilled at several endpoints.
TEST_F(PromptPlacementTest, aPrefixGoesToTheSameEndpointFromEveryProcess)
{
    // Another entry process has the same endpoints under different indexes.
    endpoint_table others(77);
    prompt_placement otherPlacement;
    for (std::uint32_t at = endpointCount; at-- > 0;) {
        const auto index = others.set({.id = "endpoint-" + std::to_string(at),
                                       .maxConcurrency = 128,
                                       .coldConcurrency = 128,
                                       .hasChunkedPrefill = true},
                                      {target}, m_now);
        otherPlacement.add(others, index);
    }
    std::map<std::uint32_t, int> used;
    for (std::uint64_t prefix = 1; prefix <= 300; ++prefix) {
        const auto criteria = shortPromptWithPrefix(prefix);
        const auto here = choose(criteria);
        const auto there = otherPlacement.choose(others, criteria, m_now).endpoint;
        ASSERT_EQ(m_endpoints.at(here).id, others.at(there).id);
        ++used[here];
    }
    for (const auto &[index, count] : used)
        EXPECT_LT(count, 300 / 2) << "no endpoint is chosen for most prefixes";
}

// One prefix has much of the traffic, so that the backlog of its endpoint grows.
TEST_F(PromptPlacementTest, aPopularPrefixMovesWhenItsEndpointHasABacklog)
{
    auto criteria = shortPrompt;
    criteria.prefixHash = 42;
    const auto first = choose(criteria);
    constexpr std::uint32_t largeBacklog = 100'000;
    m_endpoints.promptSent(first, largeBacklog);
    const auto second = choose(criteria);
    EXPECT_NE(second, first);
    EXPECT_NE(second, noIndex);
    m_endpoints.promptDone(first, largeBacklog);
    EXPECT_EQ(choose(criteria), first);
}

// A burst of requests with one prefix. As long as they are in time at the endpoint that has the
// prefix, another prefill of it elsewhere would delay the requests there for no gain.
TEST_F(PromptPlacementTest, aPrefixStaysWhileItsRequestsAreInTime)
{
    auto criteria = longPrompt;
    criteria.prefixHash = 42;
    const auto first = choose(criteria);
    m_endpoints.promptSent(first, 1000);
    const auto perThousand = m_endpoints.prefillBacklog(first);
    m_endpoints.promptDone(first, 1000);
    const auto thousands = [&](double part) {
        return static_cast<std::uint32_t>(scaled(criteria.firstTokenTarget, part) / perThousand);
    };
    m_endpoints.promptSent(first, thousands(0.6) * 1000);
    EXPECT_EQ(choose(criteria), first);
    m_endpoints.promptSent(first, thousands(0.2) * 1000);
    EXPECT_NE(choose(criteria), first);
}

TEST_F(PromptPlacementTest, aRequestLeavesItsLaneIfAllEndpointsThereHaveABacklog)
{
    arrive(12000, 20);
    arrive(800, 30);
    constexpr std::uint32_t largeBacklog = 1'000'000;
    std::set<std::uint32_t> lane;
    for (auto at = m_placement.longLaneSize(); at > 0; --at) {
        const auto chosen = choose(longPrompt);
        lane.insert(chosen);
        m_endpoints.promptSent(chosen, largeBacklog);
    }
    EXPECT_EQ(lane.size(), m_placement.longLaneSize());
    EXPECT_FALSE(lane.contains(choose(longPrompt)));
}

TEST_F(PromptPlacementTest, anAvoidedOrFailedEndpointIsNotChosen)
{
    auto criteria = shortPrompt;
    criteria.prefixHash = 42;
    const auto first = choose(criteria);
    criteria.avoid = first;
    EXPECT_NE(choose(criteria), first);
    criteria.avoid = noIndex;
    m_endpoints.failed(first, m_now);
    EXPECT_NE(choose(criteria), first);
}

// Many prefixes, and requests without a prefix, in a fleet of several groups. No group may be left
// unused, and all entry processes must choose alike.
TEST_F(PromptPlacementTest, aLargeFleetIsFullyUsedAndProcessesChooseAlike)
{
    constexpr std::uint32_t fleet = 1000;
    constexpr std::uint64_t prefixCount = 20'000;
    growTo(fleet);
    prompt_placement other;
    for (std::uint32_t index = fleet; index > 0; --index)
        other.add(m_endpoints, index - 1);
    arrive(800, 1);
    other.arrived({.promptTokens = 800, .prefill = perToken * 800}, m_now);
    std::map<std::uint32_t, std::uint32_t> prefixed;
    std::set<std::uint32_t> plain;
    for (std::uint64_t prefix = 1; prefix <= prefixCount; ++prefix) {
        const auto criteria = shortPromptWithPrefix(prefix);
        const auto chosen = choose(criteria);
        ++prefixed[chosen];
        ASSERT_EQ(other.choose(m_endpoints, criteria, m_now).endpoint, chosen);
    }
    // Each of the 16 groups has one endpoint in its long lane.
    constexpr std::uint32_t shortLanes = fleet - 16;
    EXPECT_GE(prefixed.size(), shortLanes - 16);
    const auto most
        = std::ranges::max_element(prefixed, {}, [](const auto &item) { return item.second; });
    EXPECT_LT(most->second, 4 * prefixCount / fleet);
    for (std::uint32_t at = 0; at < 2 * fleet; ++at) {
        const auto chosen = choose(shortPrompt);
        m_endpoints.placed(chosen, lowestTier, m_now);
        plain.insert(chosen);
    }
    EXPECT_GE(plain.size(), shortLanes - 16);
}

TEST_F(PromptPlacementTest, requestsOfAFullGroupGoToTheNextGroups)
{
    constexpr std::uint32_t fleet = 200;
    growTo(fleet);
    auto criteria = shortPrompt;
    criteria.prefixHash = 7;
    std::set<std::uint32_t> used;
    // A request tries three of the four groups.
    for (std::uint32_t at = 0; at < fleet * 128; ++at) {
        const auto chosen = choose(criteria);
        if (chosen == noIndex)
            break;
        m_endpoints.placed(chosen, lowestTier, m_now);
        used.insert(chosen);
    }
    EXPECT_GT(used.size(), fleet / 2);
}

TEST_F(PromptPlacementTest, aRemovedEndpointMovesOnlyItsOwnPrefixes)
{
    constexpr std::uint32_t fleet = 300;
    constexpr std::uint64_t prefixCount = 2000;
    growTo(fleet);
    arrive(800, 1); // sets the lane sizes
    const auto choices = [&] {
        std::vector<std::uint32_t> endpoints;
        for (std::uint64_t prefix = 1; prefix <= prefixCount; ++prefix) {
            endpoints.push_back(choose(shortPromptWithPrefix(prefix)));
        }
        return endpoints;
    };
    const auto before = choices();
    m_placement.remove(before.front());
    const auto after = choices();
    std::uint32_t moved = 0;
    for (std::size_t at = 0; at < before.size(); ++at)
        moved += before[at] != before.front() && before[at] != after[at] ? 1 : 0;
    EXPECT_EQ(moved, 0U);
}

// A cold endpoint joins under full load.
TEST(ColdEndpointTest, aColdEndpointGetsNoMoreThanItsColdRate)
{
    constexpr double perSecond = 4;
    const time_point start{.nanoseconds = 1'000'000'000};
    dispatcher core({.dataCentre = "tuzla"});
    core.setEndpoint({.id = "cold",
                      .dataCentre = "tuzla",
                      .serves = {"model"},
                      .maxConcurrency = 128,
                      .coldConcurrency = 128,
                      .hasChunkedPrefill = true,
                      .coldUntil = start + seconds(3),
                      .coldPerSecond = perSecond},
                     start);
    std::vector<dispatch_action> actions;
    std::map<std::int64_t, int> placed;
    std::uint64_t number = 0;
    for (auto now = start; now < start + seconds(5); now = now + milliseconds(10)) {
        core.arrive({.request = ++number,
                     .target = "model",
                     .tier = 1,
                     .firstTokenTarget = seconds(60),
                     .deadline = seconds(60),
                     .promptTokens = 100},
                    now, actions);
        core.tick(now, actions);
        for (const auto &action : actions) {
            const auto *place = std::get_if<place_action>(&action);
            if (place == nullptr)
                continue;
            ++placed[(now - start).count() / 1'000'000'000];
            core.firstToken(place->request, now);
            core.finished(place->request, result_code::ok, 1, now);
        }
        actions.clear();
    }
    for (const auto second : {0, 1, 2})
        EXPECT_LE(placed[second], perSecond + 1) << "second " << second;
    EXPECT_GT(placed[4], perSecond * 2);
}

// A retry goes to an endpoint in another data centre if the only local one failed the request.
TEST(PlacementTest, aRetryAvoidsTheEndpointThatFailed)
{
    const time_point now{.nanoseconds = 1'000'000'000};
    dispatcher core({.dataCentre = "tuzla"});
    for (const auto *place : {"tuzla", "gebze"}) {
        core.setEndpoint({.id = place,
                          .dataCentre = place,
                          .serves = {"orders"},
                          .maxConcurrency = 6,
                          .coldConcurrency = 6},
                         now);
    }
    std::vector<dispatch_action> actions;
    core.arrive({.request = 1, .target = "orders", .deadline = seconds(4), .idempotent = true}, now,
                actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<place_action>(actions.front()).endpoint, "tuzla");
    actions.clear();
    core.notRun(1, result_code::endpoint_error, now, actions);
    core.tick(now + milliseconds(100), actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<place_action>(actions.front()).endpoint, "gebze");
}

} // namespace
} // namespace mustardline
