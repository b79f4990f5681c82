// P1 and P2 with real processes under more load than the engines can take, checked by the decisions
// that entry processes and agents log and by what callers get.

#include "proofs/testing/promise_checks.h"
#include "proofs/testing/promise_fixture.h"
#include "standin/testing/log_line.h"

namespace mustardline::proofs {

namespace {

constexpr std::uint32_t lowestTier = 6;
constexpr std::uint32_t highestTier = 1;

// The decisions of a process in order of time. If a request is placed again, only its first
// placement counts.
auto decisionsOf(standin::fleet_member &member) -> traffic_decisions
{
    traffic_decisions decisions;
    for (const auto &text : member.instance().lines()) {
        const standin::log_line line(text);
        const auto name = line.field("name");
        const auto isFirst = name == "request_placed" && line.field("attempt") == "1";
        const auto isLoss = name == "request_refused" || name == "run_preempted";
        if (!isFirst && !isLoss)
            continue;
        const auto kind = isFirst                     ? decision_kind::placed
                          : name == "request_refused" ? decision_kind::refused
                                                      : decision_kind::stopped;
        decisions.push_back(
            {.kind = kind, .tier = static_cast<std::uint32_t>(std::stoul(line.field("tier")))});
    }
    return decisions;
}

auto countOf(const traffic_decisions &decisions, const traffic_decision &wanted) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(decisions, [&](const auto &decision) {
        return decision.kind == wanted.kind && decision.tier == wanted.tier;
    }));
}

class LoadPromiseTest : public PromiseTest
{
protected:
    // Creates a client account of a tier whose first tokens are due within `firstTokenMs`. Returns
    // its key.
    static auto createCallerOfTier(fleet &fleet, std::uint32_t tier, std::uint32_t firstTokenMs)
        -> std::string
    {
        const auto name = fmt::format("tier-{}", tier);
        fleet.accepted({"class", "create", name, "--first-token-ms", std::to_string(firstTokenMs),
                        "--deadline-ms", "600000"});
        fleet.accepted(
            {"account", "create", name, "--tier", std::to_string(tier), "--classes", name});
        return fleet.createKey(name);
    }

    static auto startCalls(fleet &fleet, std::size_t count, const http_request &request)
        -> std::vector<pending>
    {
        std::vector<pending> calls;
        for (std::size_t i = 0; i < count; ++i)
            calls.push_back(startCall(fleet, fleet.entry(i % 2).address, request));
        return calls;
    }

    static auto endedOf(const std::vector<pending> &calls) -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(calls, [](const auto &call) { return call->ended; }));
    }

    // A response to the lowest tier is complete, or an error, or says that it was cut off.
    static auto expectCompleteOrReportedCut(const pending &call, const http_request &request)
        -> void
    {
        if (call->answer.body.find("[DONE]") != std::string::npos) {
            expectCompleteAnswer(call, request, true);
            return;
        }
        const auto said
            = !call->answer.whole || call->answer.body.find("error") != std::string::npos;
        tally().cut += said ? 0 : 1;
        EXPECT_TRUE(said) << call->answer.status << " " << call->answer.body;
    }
};

class OverloadPromiseTest : public LoadPromiseTest, public testing::WithParamInterface<bool>
{};

// When the highest tier arrives, the lowest occupies all places with long answers and offers far
// more than twice what the engines can take. In one variant an engine dies in between.
TEST_P(OverloadPromiseTest, p1NoHigherTierIsShedOrStoppedForALower)
{
    constexpr std::uint32_t places = 4; // of each engine
    constexpr std::size_t highCalls = 24;
    fleet fleet({.services = 0, .maxConcurrency = places});
    fleet.accepted({"route", "remove", "/v1/chat/completions"});
    fleet.accepted({"route", "create", "/v1/chat/completions", "--idempotent"});
    const auto lowRequest = fleet.chat(createCallerOfTier(fleet, lowestTier, 1000), "low",
                                       {.tokens = 2000, .stream = true});
    const auto highRequest = fleet.chat(fleet.key(), "high", {.tokens = 10, .stream = true});
    setTokenTime(fleet, 0, 10);
    setTokenTime(fleet, 1, 10);
    const auto low = startCalls(fleet, std::size_t{2} * 2 * 2 * places, lowRequest);
    for (std::size_t engine = 0; engine < 2; ++engine) {
        fleet.probe().runUntil([&] { return receivedCount(fleet, engine) > 1; },
                               "the lowest tier runs");
    }
    auto high = startCalls(fleet, highCalls / 2, highRequest);
    if (GetParam()) {
        fleet.engine(0).instance().kill();
        ++tally().faults;
    }
    const auto more = startCalls(fleet, highCalls / 2, highRequest);
    high.insert(high.end(), more.begin(), more.end());
    waitForCalls(fleet, high);
    for (const auto &made : high)
        expectCompleteAnswer(made, highRequest, true);
    setTokenTime(fleet, 1, 1);
    if (!GetParam())
        setTokenTime(fleet, 0, 1);
    waitForCalls(fleet, low);
    for (const auto &made : low)
        expectCompleteOrReportedCut(made, lowRequest);
    traffic_decisions all;
    for (std::size_t i = 0; i < 2; ++i) {
        for (auto *member : {&fleet.entry(i), &fleet.agent(i)}) {
            const auto decisions = decisionsOf(*member);
            all.insert(all.end(), decisions.begin(), decisions.end());
        }
    }
    EXPECT_EQ(lossesAboveLowestTier(all, lowestTier), 0U);
    EXPECT_EQ(countOf(all, {.kind = decision_kind::placed, .tier = highestTier}), highCalls);
    // It was an overload: requests of the lowest tier were refused and preempted.
    EXPECT_GT(countOf(all, {.kind = decision_kind::refused, .tier = lowestTier}), 0U);
    EXPECT_GT(countOf(all, {.kind = decision_kind::stopped, .tier = lowestTier}), 0U);
}

INSTANTIATE_TEST_SUITE_P(Engines, OverloadPromiseTest, testing::Bool(),
                         [](const auto &info) { return info.param ? "one_dies" : "all_live"; });

// The highest tier alone always has more requests than the fleet has places, and has time to spare.
// Each answer takes so long that 16 placements take more than one second, after which a waiting
// tier gets a turn as well.
TEST_F(LoadPromiseTest, p2TheLowestTierHasItsTurns)
{
    constexpr std::size_t highCalls = 80;
    constexpr std::size_t atOnce = 12;
    constexpr std::size_t lowCalls = 16;
    fleet fleet({.services = 0, .maxConcurrency = 1});
    const auto lowRequest = fleet.chat(createCallerOfTier(fleet, lowestTier, 600'000), "low",
                                       {.tokens = 10, .stream = true});
    const auto highRequest = fleet.chat(createCallerOfTier(fleet, highestTier, 60'000), "high",
                                        {.tokens = 10, .stream = true});
    setTokenTime(fleet, 0, 15);
    setTokenTime(fleet, 1, 15);
    const auto low = startCalls(fleet, lowCalls, lowRequest);
    auto high = startCalls(fleet, atOnce, highRequest);
    while (high.size() < highCalls) {
        fleet.probe().runUntil([&] { return high.size() - endedOf(high) < atOnce; },
                               "a call of the highest tier ends");
        high.push_back(startCall(fleet, fleet.entry(high.size() % 2).address, highRequest));
    }
    waitForCalls(fleet, high);
    const auto lowServed = endedOf(low);
    for (const auto &made : high)
        expectCompleteAnswer(made, highRequest, true);
    std::size_t mostPassed = 0;
    for (std::size_t entry = 0; entry < 2; ++entry) {
        traffic_decisions decisions(lowCalls / 2,
                                    {.kind = decision_kind::arrived, .tier = lowestTier});
        const auto taken = decisionsOf(fleet.entry(entry));
        decisions.insert(decisions.end(), taken.begin(), taken.end());
        EXPECT_EQ(countOf(taken, {.kind = decision_kind::refused, .tier = lowestTier}), 0U);
        mostPassed = std::max(mostPassed, mostPassedOver(decisions, lowestTier));
    }
    std::cout << "passed over " << mostPassed << " times at most, " << lowServed
              << " of the lowest tier served" << std::endl;
    EXPECT_LE(mostPassed, turnPlacements);
    // Each entry process gives the lowest tier a turn after at most 16 of its own placements.
    EXPECT_GE(lowServed, highCalls / (turnPlacements + 1) - 2);
    waitForCalls(fleet, low);
    for (const auto &made : low)
        expectCompleteAnswer(made, lowRequest, true);
}

} // namespace

} // namespace mustardline::proofs
