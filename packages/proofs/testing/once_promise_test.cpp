// P11 and P12 with real processes: a request reported as not run has not run, and a non-idempotent
// request runs at most once, whatever process dies or message is lost between caller and service.

#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {

namespace {

TEST_F(PromiseTest, p12EntryKilledWhileItsOrderRuns)
{
    fleet fleet({.engines = 0});
    const auto request = orderRequest(createCaller(fleet), "killed-entry");
    fleet.control(fleet.service(0), "behaviour", {{"delay_ms", 1000}});
    const auto first = startCall(fleet, fleet.entry(0).address, request);
    waitForLine(fleet, fleet.service(0), {.name = "executed"});
    // The caller retries through the other entry process at once, and again after the crash.
    const auto atOnce = call(fleet, 1, request);
    EXPECT_TRUE(codeOf(atOnce) == result_code::idempotency_in_progress || atOnce.status == 200)
        << atOnce.body;
    fleet.entry(0).instance().kill();
    ++tally().faults;
    waitForCalls(fleet, {first});
    const auto after = callUntilDecided(fleet, 1, request);
    EXPECT_EQ(after.status, 200) << after.body;
    EXPECT_EQ(after.json()["echo"], request.body);
    expectExecutions(fleet, 1);
    EXPECT_EQ(fleet.stop(), "");
}

TEST_F(PromiseTest, p12CallersRaceThroughBothEntries)
{
    fleet fleet({.engines = 0});
    const auto key = createCaller(fleet);
    constexpr auto orders = 5;
    std::vector<pending> calls;
    for (auto i = 0; i < orders; ++i) {
        for (const std::size_t entry : {0U, 1U, 0U, 1U}) {
            calls.push_back(startCall(fleet, fleet.entry(entry).address,
                                      orderRequest(key, fmt::format("race-{}", i))));
        }
    }
    waitForCalls(fleet, calls);
    for (const auto &made : calls) {
        EXPECT_TRUE(made->answer.status == 200
                    || codeOf(made->answer) == result_code::idempotency_in_progress)
            << made->answer.body;
    }
    for (auto i = 0; i < orders; ++i)
        EXPECT_EQ(
            callUntilDecided(fleet, i % 2, orderRequest(key, fmt::format("race-{}", i))).status,
            200);
    expectExecutions(fleet, orders);
}

TEST_F(PromiseTest, p12AgentKilledAfterTheServiceRan)
{
    fleet fleet({.engines = 0});
    const auto request = orderRequest(createCaller(fleet), "killed-agent");
    fleet.control(fleet.service(0), "behaviour", {{"delay_ms", 1000}});
    const auto first = startCall(fleet, fleet.entry(0).address, request);
    waitForLine(fleet, fleet.service(0), {.name = "executed"});
    fleet.agent(0).instance().kill();
    ++tally().faults;
    waitForCalls(fleet, {first});
    EXPECT_EQ(codeOf(first->answer), result_code::outcome_unknown) << first->answer.body;
    fleet.restart(fleet.agent(0));
    for (const std::size_t entry : {1U, 0U}) {
        const auto again = callUntilDecided(fleet, entry, request);
        EXPECT_EQ(codeOf(again), result_code::outcome_unknown) << again.body;
    }
    expectExecutions(fleet, 1);
    EXPECT_EQ(fleet.stop(), "");
}

TEST_F(PromiseTest, p12ServiceDiesAfterItRan)
{
    fleet fleet({.engines = 0});
    const auto request = orderRequest(createCaller(fleet), "dead-service");
    fleet.control(fleet.service(0), "behaviour", {{"die_after_run", true}});
    const auto first = call(fleet, 0, request);
    ++tally().faults;
    EXPECT_EQ(codeOf(first), result_code::outcome_unknown) << first.body;
    // The service counts executions from its restart.
    fleet.restart(fleet.service(0));
    for (const std::size_t entry : {1U, 0U}) {
        const auto again = callUntilDecided(fleet, entry, request);
        EXPECT_EQ(codeOf(again), result_code::outcome_unknown) << again.body;
    }
    expectExecutions(fleet, 0);
}

TEST_F(PromiseTest, p11TroubleWithTheLogNeitherRunsNorDoublesAnOrder)
{
    fleet fleet({.engines = 0});
    const auto key = createCaller(fleet);
    fleet.control(fleet.platform(), "lose-answers", {{"interface", "log"}, {"count", 3}});
    ++tally().faults;
    EXPECT_EQ(callUntilDecided(fleet, 0, orderRequest(key, "lost-answer")).status, 200);
    expectExecutions(fleet, 1);
    for (const auto *mode : {"down", "stall"}) {
        fleet.control(fleet.platform(), "outage", {{"interface", "log"}, {"mode", mode}});
        ++tally().faults;
        const auto request = orderRequest(key, fmt::format("outage-{}", mode));
        const auto before = executionCount(fleet);
        const auto refused = call(fleet, 1, request);
        EXPECT_EQ(codeOf(refused), result_code::log_unavailable) << refused.body;
        tally().wronglyRefused += executionCount(fleet) - before;
        expectExecutions(fleet, before);
        fleet.control(fleet.platform(), "outage", {{"interface", "log"}, {"mode", "none"}});
        // The idempotency key is free again once the entry process could append its release.
        const auto later = fleet.probe().waitUntil(
            fleet.entry(0).address, request,
            [](const probe_answer &answer) { return answer.status == 200; });
        EXPECT_EQ(later.json()["echo"], request.body);
        expectExecutions(fleet, before + 1);
    }
}

// The agent reports "not run" for an order that has not reached it yet. When the order arrives
// later, it must not run.
TEST_F(PromiseTest, p11AnOrderThatTravelsOnAfterNotRunStaysUnrun)
{
    fleet fleet({.engines = 0, .agentLinks = true});
    const auto key = createCaller(fleet);
    ASSERT_EQ(call(fleet, 0, orderRequest(key, "first")).status, 200);
    fleet.control(fleet.agentLink(0), "mode", {{"mode", "stall"}});
    ++tally().faults;
    const auto line = fleet.entry(0).instance().lineCount();
    const auto stalled = startCall(fleet, fleet.entry(0).address, orderRequest(key, "stalled"));
    fleet.probe().runUntil(
        [&] {
            return fleet.probe().get(fleet.agentLink(0).control, "/control/counts").whole
                   && fleet.entry(0).instance().lineCount() > line;
        },
        "the order is placed");
    const auto id
        = fleet.entry(0).instance().waitFor({.name = "request_placed"}, line).field("request");
    const auto fate = fleet.probe().get(fleet.agent(0).address, "/v1/fate/" + id);
    EXPECT_EQ(fate.json()["fate"], "not_run") << fate.body;
    fleet.control(fleet.agentLink(0), "mode", {{"mode", "pass"}});
    waitForCalls(fleet, {stalled});
    EXPECT_NE(stalled->answer.status, 200) << stalled->answer.body;
    tally().wronglyRefused += executionCount(fleet) - 1;
    expectExecutions(fleet, 1);
}

} // namespace

} // namespace mustardline::proofs
