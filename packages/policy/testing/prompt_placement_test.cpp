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

// Endpoints that read prompts, as one entry knows them.
// Time to read one token of a prompt.
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
            m_placement.arrived({.promptTokens = prompt, .reading = perToken * prompt}, m_now);
    }

    auto choose(const prompt_wish &wish) -> std::uint32_t
    {
        return m_placement.choose(m_endpoints, wish, m_now).endpoint;
    }

    time_point m_now{.nanoseconds = 1'000'000'000};
    endpoint_table m_endpoints{1};
    prompt_placement m_placement;
};

constexpr prompt_wish shortWish{.promptTokens = 800, .firstTokenTarget = milliseconds(500)};
constexpr prompt_wish longWish{.promptTokens = 12000, .firstTokenTarget = milliseconds(1200)};

// Of one of many subjects, numbered from 1.
auto shortWishOn(std::uint64_t subject) -> prompt_wish
{
    auto wish = shortWish;
    wish.prefixHash = subject * 0x9e3779b97f4a7c15ULL;
    return wish;
}

// Load pattern: catalogue questions and quick replies side by side.
TEST_F(PromptPlacementTest, longAndShortPromptsShareNoEndpoint)
{
    arrive(12000, 20);
    arrive(800, 30);
    ASSERT_GT(m_placement.longLaneSize(), 0U);
    ASSERT_LT(m_placement.longLaneSize(), endpointCount);
    std::set<std::uint32_t> forLong;
    std::set<std::uint32_t> forShort;
    for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
        auto wish = longWish;
        wish.prefixHash = prefix;
        forLong.insert(choose(wish));
        wish = shortWish;
        wish.prefixHash = prefix;
        forShort.insert(choose(wish));
    }
    for (const auto index : forLong)
        EXPECT_FALSE(forShort.contains(index));
    EXPECT_EQ(forLong.size() + forShort.size(), endpointCount);
}

TEST_F(PromptPlacementTest, lanesAreAsLargeAsTheirPartOfTheWork)
{
    arrive(12000, 10);
    EXPECT_EQ(m_placement.longLaneSize(), endpointCount - 1) << "one is always left";
    arrive(1000, 120);
    EXPECT_NEAR(static_cast<double>(m_placement.longLaneSize()), endpointCount / 2.0, 1);
    m_now = m_now + seconds(200);
    arrive(1000, 100);
    EXPECT_EQ(m_placement.longLaneSize(), 1U) << "old work is forgotten";
}

// Load pattern: short prompts with long answers hold places, long prompts with short answers are
// read for long.
TEST_F(PromptPlacementTest, lanesFollowWhatBindsEach)
{
    // One place of ten for a second each: a tenth of an endpoint.
    m_placement.ended(1000, seconds(1), 10);
    arrive(1000, 100);
    const auto readForSeconds = static_cast<std::uint32_t>(seconds(10) / (perToken * 10'000));
    arrive(10'000, readForSeconds);
    EXPECT_NEAR(static_cast<double>(m_placement.longLaneSize()), endpointCount / 2.0, 1);
}

// Load pattern: a burst of long prompts beside streams that may pause only briefly.
TEST_F(PromptPlacementTest, aLongPromptWaitsRatherThanHoldUpStreamsOfTheOtherLane)
{
    m_placement.arrived(
        {.promptTokens = 800, .reading = perToken * 800, .betweenTokensTarget = milliseconds(200)},
        m_now);
    arrive(12000, 20);
    arrive(800, 30);
    constexpr std::uint32_t farBehind = 1'000'000;
    for (auto at = m_placement.longLaneSize(); at > 0; --at)
        m_endpoints.promptSent(choose(longWish), farBehind);
    EXPECT_NE(choose(shortWish), noIndex);
    auto wish = longWish;
    wish.promptTokens = 30'000;
    EXPECT_EQ(choose(wish), noIndex) << "it is read for longer than a stream may pause";
    wish.promptTokens = 5000;
    EXPECT_NE(choose(wish), noIndex);
}

// Load pattern: one subject after the other, each asked for by many callers at all entries.
TEST_F(PromptPlacementTest, theSamePartsGoToTheSameEndpointAtEveryEntry)
{
    // Another entry knows the same endpoints in another order.
    endpoint_table others(77);
    prompt_placement elsewhere;
    for (std::uint32_t at = endpointCount; at-- > 0;) {
        const auto index = others.set({.id = "endpoint-" + std::to_string(at),
                                       .maxConcurrency = 128,
                                       .coldConcurrency = 128,
                                       .hasChunkedPrefill = true},
                                      {target}, m_now);
        elsewhere.add(others, index);
    }
    std::map<std::uint32_t, int> used;
    for (std::uint64_t prefix = 1; prefix <= 300; ++prefix) {
        const auto wish = shortWishOn(prefix);
        const auto here = choose(wish);
        const auto there = elsewhere.choose(others, wish, m_now).endpoint;
        ASSERT_EQ(m_endpoints.at(here).id, others.at(there).id);
        ++used[here];
    }
    for (const auto &[index, count] : used)
        EXPECT_LT(count, 300 / 2) << "no endpoint draws most subjects";
}

// Load pattern: one subject draws much of the traffic.
TEST_F(PromptPlacementTest, aHotSubjectMovesOnOnceItsEndpointIsBehind)
{
    auto wish = shortWish;
    wish.prefixHash = 42;
    const auto first = choose(wish);
    constexpr std::uint32_t farBehind = 100'000;
    m_endpoints.promptSent(first, farBehind);
    const auto second = choose(wish);
    EXPECT_NE(second, first);
    EXPECT_NE(second, noIndex);
    m_endpoints.promptDone(first, farBehind);
    EXPECT_EQ(choose(wish), first);
}

// Load pattern: a burst on one subject. Reading its parts again elsewhere costs the others there
// more than this request gains, as long as it is in time where they are.
TEST_F(PromptPlacementTest, aSubjectStaysWhileItsRequestsAreInTime)
{
    auto wish = longWish;
    wish.prefixHash = 42;
    const auto first = choose(wish);
    m_endpoints.promptSent(first, 1000);
    const auto perThousand = m_endpoints.promptWait(first);
    m_endpoints.promptDone(first, 1000);
    const auto thousands = [&](double part) {
        return static_cast<std::uint32_t>(scaled(wish.firstTokenTarget, part) / perThousand);
    };
    m_endpoints.promptSent(first, thousands(0.6) * 1000);
    EXPECT_EQ(choose(wish), first);
    m_endpoints.promptSent(first, thousands(0.2) * 1000);
    EXPECT_NE(choose(wish), first);
}

TEST_F(PromptPlacementTest, aRequestLeavesItsLaneOnlyIfAllThereAreBehind)
{
    arrive(12000, 20);
    arrive(800, 30);
    constexpr std::uint32_t farBehind = 1'000'000;
    std::set<std::uint32_t> lane;
    for (auto at = m_placement.longLaneSize(); at > 0; --at) {
        const auto chosen = choose(longWish);
        lane.insert(chosen);
        m_endpoints.promptSent(chosen, farBehind);
    }
    EXPECT_EQ(lane.size(), m_placement.longLaneSize());
    EXPECT_FALSE(lane.contains(choose(longWish)));
}

TEST_F(PromptPlacementTest, aFailedEndpointIsAvoidedAndLeft)
{
    auto wish = shortWish;
    wish.prefixHash = 42;
    const auto first = choose(wish);
    wish.avoid = first;
    EXPECT_NE(choose(wish), first);
    wish.avoid = noIndex;
    m_endpoints.failed(first, m_now);
    EXPECT_NE(choose(wish), first);
}

// Load pattern: many subjects and plain requests in a fleet larger than one choice can look at.
TEST_F(PromptPlacementTest, aLargeFleetIsUsedWholeAndAlikeByAllEntries)
{
    constexpr std::uint32_t fleet = 1000;
    constexpr std::uint64_t subjects = 20'000;
    growTo(fleet);
    prompt_placement other;
    for (std::uint32_t index = fleet; index > 0; --index)
        other.add(m_endpoints, index - 1);
    arrive(800, 1);
    other.arrived({.promptTokens = 800, .reading = perToken * 800}, m_now);
    std::map<std::uint32_t, std::uint32_t> warm;
    std::set<std::uint32_t> plain;
    for (std::uint64_t prefix = 1; prefix <= subjects; ++prefix) {
        const auto wish = shortWishOn(prefix);
        const auto chosen = choose(wish);
        ++warm[chosen];
        ASSERT_EQ(other.choose(m_endpoints, wish, m_now).endpoint, chosen);
    }
    // Not one for the long lane of each of the 16 groups.
    constexpr std::uint32_t shortLanes = fleet - 16;
    EXPECT_GE(warm.size(), shortLanes - 16);
    const auto most
        = std::ranges::max_element(warm, {}, [](const auto &item) { return item.second; });
    EXPECT_LT(most->second, 4 * subjects / fleet);
    for (std::uint32_t at = 0; at < 2 * fleet; ++at) {
        const auto chosen = choose(shortWish);
        m_endpoints.placed(chosen, lowestTier, m_now);
        plain.insert(chosen);
    }
    EXPECT_GE(plain.size(), shortLanes - 16);
}

TEST_F(PromptPlacementTest, aFullGroupPassesRequestsOn)
{
    constexpr std::uint32_t fleet = 200;
    growTo(fleet);
    auto wish = shortWish;
    wish.prefixHash = 7;
    std::set<std::uint32_t> used;
    // Three of the four groups take all that they can.
    for (std::uint32_t at = 0; at < fleet * 128; ++at) {
        const auto chosen = choose(wish);
        if (chosen == noIndex)
            break;
        m_endpoints.placed(chosen, lowestTier, m_now);
        used.insert(chosen);
    }
    EXPECT_GT(used.size(), fleet / 2);
}

TEST_F(PromptPlacementTest, anEndpointThatLeavesMovesOnlyItsOwnSubjects)
{
    constexpr std::uint32_t fleet = 300;
    constexpr std::uint64_t subjects = 2000;
    growTo(fleet);
    arrive(800, 1); // the lanes are settled
    const auto placesOf = [&] {
        std::vector<std::uint32_t> places;
        for (std::uint64_t prefix = 1; prefix <= subjects; ++prefix) {
            places.push_back(choose(shortWishOn(prefix)));
        }
        return places;
    };
    const auto before = placesOf();
    m_placement.remove(before.front());
    const auto after = placesOf();
    std::uint32_t moved = 0;
    for (std::size_t at = 0; at < before.size(); ++at)
        moved += before[at] != before.front() && before[at] != after[at] ? 1 : 0;
    EXPECT_EQ(moved, 0U);
}

// Load pattern: a cold endpoint joins under full load.
TEST(ColdEndpointTest, aColdEndpointGetsNoMoreThanItsRate)
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

// A repeat goes to another endpoint if there is one, though the first is the only one at hand.
TEST(PlacementTest, aRepeatAvoidsTheEndpointThatFailed)
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
