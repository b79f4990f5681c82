// P10, P11 and P12 where agents are killed with requests in flight and started again on the same
// addresses: streams of models, and orders that may not run twice.

#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {

namespace {

constexpr std::uint32_t anHour = 3'600'000; // in milliseconds
constexpr std::size_t model = 0;            // the agents that are killed
constexpr std::size_t service = 2;

// The model's route may be repeated, or not.
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

    // A stream that was cut says so; one that looks whole is whole.
    static auto expectWholeOrError(const pending &call, const http_request &request) -> bool
    {
        if (call->answer.body.find("[DONE]") != std::string::npos) {
            expectWhole(call, request, true);
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
        setTokenTime(fleet, engine, anHour);
    auto streams = openStreams(fleet, 0, 3, request);
    const auto more = openStreams(fleet, 1, 3, request);
    streams.insert(streams.end(), more.begin(), more.end());
    ASSERT_GT(received(fleet, model), 0U);
    fleet.control(fleet.service(0), "behaviour", {{"delay_ms", anHour}});
    const auto running = order(key, "in-flight");
    const auto first = begin(fleet, fleet.entry(0).address, running);
    waitForLine(fleet, fleet.service(0), {.name = "executed"});
    killAndRestart(fleet);
    fleet.control(fleet.service(0), "behaviour", {{"delay_ms", 0}});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, 1);
    finish(fleet, streams);
    const auto whole = std::ranges::count_if(
        streams, [&](const auto &made) { return expectWholeOrError(made, request); });
    // What may be repeated is resumed elsewhere, and what did not run there is untouched.
    EXPECT_GT(whole, 0);
    if (GetParam())
        EXPECT_EQ(static_cast<std::size_t>(whole), streams.size());
    else
        EXPECT_LT(static_cast<std::size_t>(whole), streams.size());
    finish(fleet, {first});
    EXPECT_EQ(codeOf(first->answer), result_code::outcome_unknown) << first->answer.body;
    for (const std::size_t entry : {1U, 0U}) {
        const auto again = settle(fleet, entry, running);
        EXPECT_EQ(codeOf(again), result_code::outcome_unknown) << again.body;
    }
    expectExecutions(fleet, 1);
    // What comes while the agent is gone is refused as not run, and that is true.
    fleet.agent(service).instance().kill();
    ++tally().faults;
    const auto refused = call(fleet, 0, order(key, "while-gone"));
    EXPECT_NE(refused.status, 200) << refused.body;
    EXPECT_NE(codeOf(refused), result_code::outcome_unknown) << refused.body;
    tally().wronglyRefused += executions(fleet) - 1;
    expectExecutions(fleet, 1);
    fleet.restart(fleet.agent(service));
    // Once the agent is back the same order runs, and runs once.
    const auto later = fleet.probe().waitUntil(fleet.entry(1).address, order(key, "while-gone"),
                                               [](const probe_answer &answer) {
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
