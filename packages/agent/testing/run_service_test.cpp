#include "agent/testing/agent_fixture.h"

namespace mustardline {
namespace {

class RunServiceTest : public AgentFixtureTest
{};

class ServiceRunTest : public AgentFixtureTest
{
protected:
    ServiceRunTest() : AgentFixtureTest(endpoint_kind::service) {}
};

TEST_F(RunServiceTest, streamsAnAnswerAndMetersIt)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    until([&] { return call->body == firstEvent; });
    EXPECT_EQ(fate(1), "running");
    endStream(0);
    untilEnded(call);
    EXPECT_TRUE(call->complete);
    EXPECT_EQ(call->body, std::string(firstEvent) + std::string(lastEvents));
    EXPECT_EQ(call->result(), "0");
    EXPECT_EQ(findHeader(call->answer.headers, "content-type"), "text/event-stream");
    EXPECT_EQ(findHeader(call->answer.headers, "mustardline-request"), idText(1));
    EXPECT_EQ(findHeader(call->answer.headers, "mustardline-boot"), "7");
    EXPECT_EQ(fate(1), "done");
    ASSERT_EQ(m_usage.size(), 1U);
    const auto push = m_usage.batch();
    EXPECT_EQ(push.deltas(0).client_account(), "acme");
    EXPECT_EQ(push.deltas(0).prompt_tokens(), 3U);
    EXPECT_EQ(push.deltas(0).completion_tokens(), 1U);
}

TEST_F(RunServiceTest, passesAnEmptyAnswerAndAnEndpointsOwnError)
{
    start();
    m_onEndpoint = [](http_exchange &exchange) { exchange.reply(204, {}, ""); };
    const auto empty = run(1);
    untilEnded(empty);
    EXPECT_EQ(empty->answer.status, 204);
    EXPECT_EQ(empty->result(), "0");
    m_onEndpoint = [](http_exchange &exchange) { exchange.reply(429, {}, "slow down"); };
    const auto refused = run(2);
    untilEnded(refused);
    EXPECT_EQ(refused->answer.status, 429);
    EXPECT_EQ(refused->result(), "0");
    EXPECT_EQ(refused->body, "slow down");
}

TEST_F(RunServiceTest, pausesReadingFromTheEndpointForASlowEntry)
{
    m_limits.maxBacklogBytes = 1 << 16;
    start();
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    until([&] { return !call->body.empty(); });
    call->call.pause();
    // Far more than the socket buffers hold.
    constexpr std::size_t total = 32U << 20U;
    const auto before = call->body.size();
    constexpr std::size_t chunkBytes = 1U << 12U;
    for (std::size_t sent = 0; sent < total; sent += chunkBytes)
        m_received[0]->sendChunk(std::string(chunkBytes, 'x'));
    auto rounds = 0;
    until([&] { return ++rounds > 200; });
    EXPECT_EQ(call->body.size(), before);
    EXPECT_GT(m_received[0]->backlogBytes(), total / 4);
    call->call.resume();
    endStream(0);
    untilEnded(call);
    EXPECT_TRUE(call->complete);
    EXPECT_EQ(call->body.size(), firstEvent.size() + total + lastEvents.size());
}

TEST_F(RunServiceTest, cancelsAnIdempotentRunWhenTheEntryDisconnects)
{
    start();
    auto gone = false;
    m_onEndpoint = [&](http_exchange &exchange) { exchange.onGone([&] { gone = true; }); };
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    until([&] { return !call->body.empty(); });
    call->call.cancel();
    until([&] { return gone; });
    EXPECT_EQ(fate(1), "failed");
    ASSERT_EQ(m_usage.size(), 1U);
    EXPECT_EQ(m_usage.batch().deltas(0).completion_tokens(), 1U) << "one event was forwarded";
    EXPECT_EQ(m_runs->load().running, 0U);
}

TEST_F(RunServiceTest, cancelsOnRequest)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    const auto cancelled = send("POST", "/v1/cancel/" + idText(1));
    untilEnded(cancelled);
    EXPECT_EQ(nlohmann::json::parse(cancelled->body)["fate"], "failed");
    untilEnded(call);
    EXPECT_EQ(call->result(), "303");
}

TEST_F(RunServiceTest, reportsNotRunWhenTheEndpointIsUnreachable)
{
    m_endpointAddress.port = 1;
    start();
    const auto call = run(1);
    untilEnded(call);
    EXPECT_EQ(call->result(), "308");
    EXPECT_EQ(fate(1), "not_run");
    EXPECT_TRUE(m_usage.isEmpty());
}

TEST_F(RunServiceTest, failsARunOnASilentEndpoint)
{
    m_limits.endpointSilence = std::chrono::milliseconds(50);
    start();
    const auto call = run(1);
    untilEnded(call);
    EXPECT_EQ(call->result(), "304");
    EXPECT_EQ(fate(1), "failed");
}

TEST_F(RunServiceTest, endsAnIdempotentRunPastItsDeadline)
{
    start();
    const auto call = run(1, {{"mustardline-deadline-ms", "50"}});
    untilEnded(call);
    EXPECT_EQ(call->result(), "305");
}

TEST_F(RunServiceTest, failsARunWhoseResponseIsTooLarge)
{
    m_limits.maxAnswerBytes = 1000;
    start();
    m_onEndpoint = [](http_exchange &exchange) { exchange.reply(200, {}, std::string(2000, 'x')); };
    const auto call = run(1);
    untilEnded(call);
    EXPECT_TRUE(!call->complete || call->result() == "307");
}

TEST_F(RunServiceTest, waitsForTheConfigurationThatItsEntryHas)
{
    start();
    auto asked = 0;
    m_runs->onNewerConfiguration([&] { ++asked; });
    const auto call = run(1, {{"mustardline-key-id", "k3"}, {"mustardline-offset", "9"}});
    until([&] { return asked == 1; });
    v1::Entity key;
    key.mutable_key()->set_id("k3");
    key.mutable_key()->set_client_account("acme");
    key.mutable_key()->set_hash(std::string(64, '0'));
    change(key);
    untilReceived(1);
    m_received[0]->reply(200, {}, "{}");
    untilEnded(call);
    EXPECT_EQ(call->result(), "0");
}

TEST_F(RunServiceTest, refusesARunAfterTheConfigurationWait)
{
    m_limits.configurationWait = std::chrono::milliseconds(50);
    start();
    const auto call = run(1, {{"mustardline-key-id", "k3"}, {"mustardline-offset", "99"}});
    untilEnded(call);
    EXPECT_EQ(call->result(), "110");
    EXPECT_EQ(fate(1), "not_run");
}

TEST_F(RunServiceTest, preemptsALowerTierForAHigherOne)
{
    m_limits.initialWindow = 1;
    start();
    const auto low = run(1, {{"mustardline-account", "other"},
                             {"mustardline-key-id", "k2"},
                             {"mustardline-tier", "5"}});
    untilReceived(1);
    // A run preempts only if its first token would otherwise miss its target, so it needs a target.
    const auto high = run(2, {{"mustardline-first-token-ms", "100"}});
    untilEnded(low);
    EXPECT_EQ(low->result(), "306");
    untilReceived(2);
    m_received[1]->reply(200, {}, "{}");
    untilEnded(high);
    EXPECT_EQ(high->result(), "0");
}

TEST_F(RunServiceTest, refusesAModelThatItsEndpointDoesNotServe)
{
    start();
    const auto other = run(1, {}, R"({"model":"unknown"})");
    untilEnded(other);
    EXPECT_EQ(other->result(), "300");
    const auto malformed = run(2, {}, "[1");
    untilEnded(malformed);
    EXPECT_EQ(malformed->result(), "106");
    EXPECT_TRUE(m_received.empty());
}

TEST_F(ServiceRunTest, answersARetryOfACompletedActionFromItsOutcome)
{
    start();
    m_onEndpoint = [](http_exchange &exchange) { exchange.reply(201, {}, "order 1"); };
    untilEnded(run(1));
    const auto again = run(1, {{"mustardline-attempt", "2"}});
    untilEnded(again);
    EXPECT_EQ(again->answer.status, 201);
    EXPECT_EQ(again->result(), "0");
    EXPECT_EQ(again->body, "order 1");
    EXPECT_EQ(findHeader(again->answer.headers, "mustardline-attempt"), "2");
    EXPECT_EQ(m_received.size(), 1U);
}

TEST_F(ServiceRunTest, anActionWhoseResponseWasLostHasAnUnknownOutcome)
{
    start();
    m_onEndpoint = [](http_exchange &exchange) { exchange.abort(); };
    const auto call = run(1);
    untilEnded(call);
    EXPECT_EQ(call->result(), "301");
    EXPECT_EQ(fate(1), "failed");
    const auto again = run(1, {{"mustardline-attempt", "2"}});
    untilEnded(again);
    EXPECT_EQ(again->result(), "301");
    EXPECT_EQ(m_received.size(), 1U);
}

TEST_F(ServiceRunTest, writesOneLineForEachDecision)
{
    start();
    m_onEndpoint = [](http_exchange &exchange) { exchange.reply(200, {}, ""); };
    untilEnded(run(1));
    untilEnded(run(2, {{"mustardline-endpoint", "elsewhere"}}));
    std::vector<std::string> names;
    for (const auto &line : m_logLines) {
        EXPECT_NE(line.find("account=acme tier=2 reason="), std::string::npos) << line;
        EXPECT_NE(line.find(" window="), std::string::npos) << line;
        const auto at = line.find("name=") + 5;
        names.push_back(line.substr(at, line.find(' ', at) - at));
    }
    EXPECT_EQ(names, (std::vector<std::string>{"run_admitted", "run_started", "run_finished",
                                               "run_refused"}));
}

} // namespace
} // namespace mustardline
