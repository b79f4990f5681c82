// P10, P11 and P12 where agents are killed with requests in flight and restarted on the same
// addresses. The requests are streams of models and orders that must not run twice.

#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {

namespace {

constexpr std::uint32_t oneHourMs = 3'600'000; // in milliseconds
constexpr std::size_t model = 0;               // the agents that are killed
constexpr std::size_t service = 2;

// The parameter says whether the model's route is idempotent.
class RestartPromiseTest : public PromiseTest, public testing::WithParamInterface<bool>
{
protected:
    static auto killAndRestart(fleet &fleet) -> void
    {
        for (const auto agent : {model, service}) {
            fleet.agent(agent).instance().kill();
            ++tally().faults;
        }
        for (const auto agent : {model, service})
            fleet.restart(fleet.agent(agent));
    }

    // Expects that a stream is complete or ends with an error. Returns whether it is complete.
    static auto expectCompleteOrError(const pending &call, const http_request &request) -> bool
    {
        if (call->answer.body.find("[DONE]") != std::string::npos) {
            expectCompleteAnswer(call, request, true);
            return true;
        }
        const auto said
            = !call->answer.whole || call->answer.body.find("\"error\"") != std::string::npos;
        tally().lost += said ? 0 : 1;
        EXPECT_TRUE(said) << call->answer.status << " " << call->answer.body;
        return false;
    }
};

TEST_P(RestartPromiseTest, p10p11p12AgentsKilledWithRequestsInFlight)
{
    const auto before = static_cast<const promise_counts &>(tally());
    fleet fleet({.engines = 2, .services = 1});
    const auto key = createCaller(fleet);
    if (GetParam()) {
        fleet.accepted({"route", "remove", "/v1/chat/completions"});
        fleet.accepted({"route", "create", "/v1/chat/completions", "--idempotent"});
    }
    const auto request = fleet.chat(fleet.key(), "in flight", {.tokens = 6, .stream = true});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, oneHourMs);
    auto streams = openStreams(fleet, 0, 3, request);
    const auto more = openStreams(fleet, 1, 3, request);
    streams.insert(streams.end(), more.begin(), more.end());
    ASSERT_GT(receivedCount(fleet, model), 0U);
    fleet.control(fleet.service(0), "behaviour", {{"delay_ms", oneHourMs}});
    const auto running = orderRequest(key, "in-flight");
    const auto first = startCall(fleet, fleet.entry(0).address, running);
    waitForLine(fleet, fleet.service(0), {.name = "executed"});
    killAndRestart(fleet);
    fleet.control(fleet.service(0), "behaviour", {{"delay_ms", 0}});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, 1);
    waitForCalls(fleet, streams);
    const auto whole = std::ranges::count_if(
        streams, [&](const auto &made) { return expectCompleteOrError(made, request); });
    // Idempotent requests are retried at the other agent, and the streams of that agent go on.
    EXPECT_GT(whole, 0);
    if (GetParam())
        EXPECT_EQ(static_cast<std::size_t>(whole), streams.size());
    else
        EXPECT_LT(static_cast<std::size_t>(whole), streams.size());
    waitForCalls(fleet, {first});
    EXPECT_EQ(codeOf(first->answer), result_code::outcome_unknown) << first->answer.body;
    for (const std::size_t entry : {1U, 0U}) {
        const auto again = callUntilDecided(fleet, entry, running);
        EXPECT_EQ(codeOf(again), result_code::outcome_unknown) << again.body;
    }
    expectExecutions(fleet, 1);
    // An order that arrives while the agent is down is refused as not run and does not run.
    fleet.agent(service).instance().kill();
    ++tally().faults;
    const auto refused = call(fleet, 0, orderRequest(key, "while-gone"));
    EXPECT_NE(refused.status, 200) << refused.body;
    EXPECT_NE(codeOf(refused), result_code::outcome_unknown) << refused.body;
    tally().wronglyRefused += executionCount(fleet) - 1;
    expectExecutions(fleet, 1);
    fleet.restart(fleet.agent(service));
    // Once the agent is back, the same order runs, once.
    const auto later = fleet.probe().waitUntil(
        fleet.entry(1).address, orderRequest(key, "while-gone"), [](const probe_answer &answer) {
            ++tally().sent;
            return answer.status == 200;
        });
    EXPECT_EQ(later.json()["echo"], "book stall while-gone");
    expectExecutions(fleet, 2);
    EXPECT_EQ(fleet.stop(), "");
    std::cout << "faults injected " << tally().faults - before.faults << ", requests sent "
              << tally().sent - before.sent << ", lost " << tally().lost - before.lost
              << ", doubled " << tally().doubled - before.doubled << ", cut "
              << tally().cut - before.cut << ", wrongly refused "
              << tally().wronglyRefused - before.wronglyRefused << "; " << whole << " of "
              << streams.size() << " streams whole" << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Routes, RestartPromiseTest, testing::Bool(), [](const auto &info) {
    return info.param ? "idempotent" : "not_idempotent";
});

} // namespace

} // namespace mustardline::proofs
