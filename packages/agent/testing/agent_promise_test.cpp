// Tests the agent's guarantees, numbered P4 to P14, under the failures that they cover. A test
// whose name has `naive` shows that a simpler implementation violates the guarantee.

#include <algorithm>
#include <random>
#include <set>

#include "agent/endpoint_request.h"
#include "agent/live_run.h"
#include "agent/testing/agent_fixture.h"

namespace mustardline {
namespace {

class AgentPromiseTest : public AgentFixtureTest
{
protected:
    explicit AgentPromiseTest(endpoint_kind kind = endpoint_kind::model) : AgentFixtureTest(kind)
    {
        // Equal to the endpoint's maximum concurrency, so that the window cannot grow.
        m_limits.initialWindow = 4;
    }

    // Index in `m_received` of the run of a request.
    auto indexOf(int id) const -> std::size_t
    {
        const auto found = std::ranges::find_if(m_received, [&](const auto &exchange) {
            return exchange->header("mustardline-request") == idText(id);
        });
        return static_cast<std::size_t>(found - m_received.begin());
    }

    // Number of runs at the endpoint without a complete response.
    auto openAtEndpoint() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_received, [](const auto &item) { return item->isOpen(); }));
    }

    // Fills the window with runs from id 100 on, so that further runs are queued.
    auto fillWindow() -> std::vector<std::shared_ptr<entry_call>>
    {
        std::vector<std::shared_ptr<entry_call>> calls;
        for (std::uint32_t i = 0; i < m_limits.initialWindow; ++i)
            calls.push_back(run(100 + static_cast<int>(i)));
        untilReceived(m_limits.initialWindow);
        return calls;
    }

    auto untilQueued(std::uint32_t count) -> void
    {
        until([&] { return m_runs->load().queued == count; });
    }

    auto finishAtEndpoint() -> void
    {
        for (const auto &exchange : m_received) {
            if (exchange->isOpen())
                exchange->reply(200, {}, "{}");
        }
    }

    // Picks a random run at the endpoint and, if it is still open, replies with the run's own id.
    auto answerOneOf(std::mt19937 &random) -> void
    {
        if (m_received.empty())
            return;
        const auto &exchange = m_received[random() % m_received.size()];
        const auto id = std::string(exchange->header("mustardline-request"));
        if (exchange->isOpen())
            exchange->reply(200, {}, "answer to " + id);
    }

    // Makes a round trip over the agent's socket, so that earlier events have been handled.
    auto settle() -> void { fate(9999); }
};

class ActionPromiseTest : public AgentPromiseTest
{
protected:
    ActionPromiseTest() : AgentPromiseTest(endpoint_kind::service) {}
};

// P4 -------------------------------------------------------------------------------------------

constexpr std::string_view secret = "sk-very-secret";

auto headersWithSecret(int id, endpoint_kind kind) -> std::vector<http_header>
{
    auto headers = runHeaders(id, kind);
    for (const auto *name : {"authorization", "Authorization", "AUTHORIZATION", "x-api-key",
                             "api-key", "cookie", "Proxy-Authorization", "x-auth-token", "from",
                             "referer", "user-agent", "mustardline-extra"})
        headers.push_back({.name = name, .value = "Bearer " + std::string(secret)});
    return headers;
}

auto bodyWithSecret() -> std::string
{
    const std::string text(secret);
    return nlohmann::json{{"model", "m"},
                          {"api_key", text},
                          {"key", text},
                          {"authorization", text},
                          {"user", text},
                          {"metadata", {{"key", text}}},
                          {text, text},
                          {"extra_headers", {{"authorization", text}}},
                          {"messages", nlohmann::json::array()}}
        .dump();
}

auto containsSecret(const http_exchange &received) -> bool
{
    auto all = std::string(received.body()) + std::string(received.path())
               + std::string(received.query());
    for (const auto &item : received.headers())
        all += item.name + item.value;
    return all.find(secret) != std::string::npos;
}

TEST_F(AgentPromiseTest, P4_theEndpointSeesNoKeyFromHeaderQueryOrBody)
{
    start();
    auto headers = headersWithSecret(1, m_kind);
    for (auto &item : headers) {
        if (item.name == "mustardline-path")
            item.value += "?key=" + std::string(secret);
    }
    send("POST", "/v1/run", headers, bodyWithSecret());
    untilReceived(1);
    EXPECT_FALSE(containsSecret(*m_received[0]));
    std::set<std::string> names;
    for (const auto &item : m_received[0]->headers())
        names.insert(item.name);
    EXPECT_EQ(names, (std::set<std::string>{"Content-Length", "Host", "content-type",
                                            "mustardline-request"}));
}

TEST_F(ActionPromiseTest, P4_aServiceSeesNoKeyFromHeaders)
{
    start();
    send("POST", "/v1/run", headersWithSecret(1, m_kind), "{}");
    untilReceived(1);
    EXPECT_FALSE(containsSecret(*m_received[0]));
}

TEST_F(AgentPromiseTest, P4_naiveForwardingShowsTheKey)
{
    // Removes only the header that is known to carry keys.
    auto headers = headersWithSecret(1, m_kind);
    std::erase_if(headers, [](const auto &item) { return item.name == "authorization"; });
    m_http.start(m_endpointAddress,
                 {.method = "POST", .path = "/", .headers = headers, .body = bodyWithSecret()}, {});
    untilReceived(1);
    EXPECT_TRUE(containsSecret(*m_received[0]));
}

// P5 -------------------------------------------------------------------------------------------

TEST_F(AgentPromiseTest, P5_aWithdrawnKeyStopsQueuedRunningAndNewRuns)
{
    start();
    const auto running = fillWindow();
    beginStream(indexOf(100));
    until([&] { return !running[0]->body.empty(); });
    const auto queued = run(1);
    untilQueued(1);
    change(sampleKey(true));
    untilEnded(queued);
    EXPECT_EQ(queued->result(), "110");
    EXPECT_EQ(fate(1), "not_run");
    untilEnded(running[0]);
    EXPECT_FALSE(running[0]->complete);
    untilEnded(running[1]);
    EXPECT_EQ(running[1]->result(), "303");
    until([&] { return openAtEndpoint() == 0; });
    const auto late = run(2);
    untilEnded(late);
    EXPECT_EQ(late->result(), "110");
    EXPECT_EQ(m_received.size(), m_limits.initialWindow);
}

TEST_F(ActionPromiseTest, P5_anActionStartedBeforeTheKeyWithdrawalFinishes)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    change(sampleKey(true));
    m_received[0]->reply(201, {}, "done");
    untilEnded(call);
    EXPECT_EQ(call->result(), "0");
    EXPECT_EQ(call->body, "done");
}

TEST_F(AgentPromiseTest, P5_naiveCheckOnArrivalOnlyLetsAWithdrawnKeyRunOn)
{
    start();
    const auto running = fillWindow();
    run(1);
    untilQueued(1);
    applyEntity(m_config, sampleKey(true));
    finishAtEndpoint();
    untilReceived(m_limits.initialWindow + 1);
}

// P8 -------------------------------------------------------------------------------------------

// `openAfterSending` sends `count` runs at once and returns how many are open at the endpoint once
// all others are queued or refused.
class FreshEndpointTest : public AgentPromiseTest
{
protected:
    FreshEndpointTest() { m_limits.initialWindow = 2; }

    int m_lastId = 0;

    auto openAfterSending(int count) -> std::size_t
    {
        start();
        std::vector<std::shared_ptr<entry_call>> calls(static_cast<std::size_t>(count));
        for (auto &call : calls)
            call = run(++m_lastId);
        const auto decided = [&] {
            const auto refused
                = std::ranges::count_if(calls, [](const auto &call) { return call->ended; });
            return openAtEndpoint() + m_runs->load().queued + static_cast<std::size_t>(refused)
                   == static_cast<std::size_t>(count);
        };
        until(decided);
        return openAtEndpoint();
    }
};

TEST_F(FreshEndpointTest, P8_aFreshEndpointGetsNoMoreThanItsInitialWindow)
{
    EXPECT_EQ(openAfterSending(40), 2U);
}

TEST_F(FreshEndpointTest, P8_theConfiguredColdConcurrencyIsTheInitialWindow)
{
    auto endpoint = sampleEndpoint(m_kind, false);
    endpoint.mutable_endpoint()->set_cold_concurrency(3);
    applyEntity(m_config, endpoint);
    EXPECT_EQ(openAfterSending(40), 3U);
}

TEST_F(FreshEndpointTest, P8_naiveFullConcurrencyOverrunsAFreshEndpoint)
{
    m_limits.initialWindow = 4;
    EXPECT_GT(openAfterSending(40), 2U);
}

TEST_F(FreshEndpointTest, P8_theWindowNeverExceedsTheConfiguredConcurrency)
{
    start();
    std::size_t most = 0;
    std::vector<std::shared_ptr<entry_call>> calls;
    for (int i = 0; i < 200; ++i) {
        calls.push_back(run(i + 1));
        until([&] {
            most = std::max(most, openAtEndpoint());
            return m_runs->load().running + m_runs->load().queued > 0 || calls.back()->ended;
        });
        if (i % 3 == 2)
            finishAtEndpoint();
    }
    EXPECT_LE(most, 4U);
}

// P9 and P13 -------------------------------------------------------------------------------------

class LeavingTest : public AgentPromiseTest
{
protected:
    // Expects that after `leave` queued and new runs are refused as not run and running ones
    // complete, and that after `back` new runs are accepted again.
    auto expectNoNewWork(const v1::Entity &leave, const v1::Entity &back, const std::string &code)
        -> void
    {
        start();
        const auto running = fillWindow();
        const auto queued = run(1);
        untilQueued(1);
        change(leave);
        const auto late = run(2);
        untilEnded(queued);
        untilEnded(late);
        EXPECT_EQ(queued->result(), code);
        EXPECT_EQ(late->result(), code);
        EXPECT_EQ(fate(1), "not_run");
        EXPECT_EQ(fate(2), "not_run");
        finishAtEndpoint();
        for (const auto &call : running) {
            untilEnded(call);
            EXPECT_EQ(call->result(), "0");
        }
        EXPECT_EQ(m_received.size(), m_limits.initialWindow);
        change(back);
        run(3);
        untilReceived(m_limits.initialWindow + 1);
    }

    auto expectNaiveTakesWork(const v1::Entity &leave) -> void
    {
        start();
        fillWindow();
        run(1);
        untilQueued(1);
        // Only new requests are checked, since queued ones are not notified of the change.
        applyEntity(m_config, leave);
        finishAtEndpoint();
        untilReceived(m_limits.initialWindow + 1);
    }
};

TEST_F(LeavingTest, P9_aDataCentreThatIsOutGetsNoNewRunsAndCompletesRunningOnes)
{
    expectNoNewWork(sampleDataCentre(true), sampleDataCentre(false), "300");
}

TEST_F(LeavingTest, P9_naiveCheckOnArrivalOnlyStartsQueuedRuns)
{
    expectNaiveTakesWork(sampleDataCentre(true));
}

TEST_F(LeavingTest, P13_aLeavingEndpointGetsNoNewRunsAndCompletesRunningOnes)
{
    expectNoNewWork(sampleEndpoint(m_kind, true), sampleEndpoint(m_kind, false), "205");
}

TEST_F(LeavingTest, P13_naiveCheckOnArrivalOnlyStartsQueuedRuns)
{
    expectNaiveTakesWork(sampleEndpoint(m_kind, true));
}

// P10 ------------------------------------------------------------------------------------------

TEST_F(AgentPromiseTest, P10_aStreamThatClosesWithoutItsLastEventIsIncomplete)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    m_received[0]->endStream();
    untilEnded(call);
    EXPECT_FALSE(call->complete);
    EXPECT_EQ(fate(1), "failed");
}

TEST_F(AgentPromiseTest, P10_aStreamWhoseConnectionBreaksIsIncomplete)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    until([&] { return !call->body.empty(); });
    m_received[0]->abort();
    untilEnded(call);
    EXPECT_FALSE(call->complete);
}

TEST_F(AgentPromiseTest, P10_responsesOutOfOrderReachTheirOwnRequests)
{
    m_limits.initialWindow = 4;
    start();
    for (unsigned seed = 0; seed < 20; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        m_received.clear();
        const auto base = static_cast<int>(seed) * 10;
        const std::vector<std::shared_ptr<entry_call>> calls{run(base), run(base + 1),
                                                             run(base + 2), run(base + 3)};
        until([&] {
            answerOneOf(random);
            return std::ranges::all_of(calls, [](const auto &call) { return call->ended; });
        });
        for (int i = 0; i < 4; ++i) {
            const auto &call = calls[static_cast<std::size_t>(i)];
            EXPECT_EQ(call->body, "answer to " + idText(static_cast<int>(seed) * 10 + i));
            EXPECT_EQ(findHeader(call->answer.headers, "mustardline-request"),
                      idText(static_cast<int>(seed) * 10 + i));
        }
    }
}

TEST_F(AgentPromiseTest, P10_naiveCheckOfTheConnectionsEndAcceptsATruncatedStream)
{
    http_outcome outcome;
    auto ended = false;
    m_http.fetch(m_endpointAddress, {},
                 [&](const http_outcome &result, const http_answer &, const std::string &) {
                     outcome = result;
                     ended = true;
                 });
    untilReceived(1);
    beginStream(0);
    m_received[0]->endStream();
    until([&] { return ended; });
    EXPECT_TRUE(std::holds_alternative<std::monostate>(outcome));
}

// P11 and P12 ------------------------------------------------------------------------------------

TEST_F(AgentPromiseTest, P11_aRunReportedAsNotRunNeverRunsWhenACopyArrivesLate)
{
    m_limits.configurationWait = std::chrono::milliseconds(20);
    start();
    const auto causes
        = std::vector<header_changes>{{{"mustardline-endpoint", "other"}},
                                      {{"mustardline-key-id", "k9"}},
                                      {{"mustardline-class", "batch"}},
                                      {{"mustardline-tier", "1"}},
                                      {{"mustardline-route", "/none"}},
                                      {{"mustardline-key-id", "k9"}, {"mustardline-offset", "99"}}};
    auto id = 0;
    for (const auto &cause : causes) {
        const auto refused = run(++id, cause);
        untilEnded(refused);
        EXPECT_NE(refused->result(), "0");
        const auto copy = run(id);
        untilEnded(copy);
        EXPECT_EQ(copy->result(), "300") << id;
        EXPECT_EQ(fate(id), "not_run");
    }
    EXPECT_EQ(fate(77), "not_run") << "an id never seen before";
    const auto delayed = run(77);
    untilEnded(delayed);
    EXPECT_EQ(delayed->result(), "300");
    untilEnded(send("POST", "/v1/cancel/" + idText(78)));
    const auto cancelled = run(78);
    untilEnded(cancelled);
    EXPECT_EQ(cancelled->result(), "300");
    EXPECT_TRUE(m_received.empty());
}

TEST_F(AgentPromiseTest, P11_aQueuedRunWhoseEntryDisconnectedNeverRuns)
{
    start();
    const auto running = fillWindow();
    const auto queued = run(1);
    untilQueued(1);
    queued->call.cancel();
    untilQueued(0);
    EXPECT_EQ(fate(1), "not_run");
    finishAtEndpoint();
    for (const auto &call : running)
        untilEnded(call);
    settle();
    EXPECT_EQ(m_received.size(), m_limits.initialWindow);
}

TEST_F(ActionPromiseTest, P11_aRunThatMayHaveRunIsNotReportedAsNotRun)
{
    start();
    m_onEndpoint = [](http_exchange &exchange) { exchange.abort(); };
    const auto call = run(1);
    untilEnded(call);
    EXPECT_EQ(call->result(), "301");
    EXPECT_EQ(fate(1), "failed");
    const auto sameKey = run(2, {{"idempotency-key", "a"}});
    untilEnded(sameKey);
    const auto again = run(3, {{"idempotency-key", "a"}});
    untilEnded(again);
    EXPECT_EQ(again->result(), "301");
    EXPECT_EQ(fate(3), "failed") << "the action may have been executed under the other id";
}

// Random events on one action, by seed: retries under two ids, fate queries, cancellations and lost
// connections.
class AtMostOnceTest : public ActionPromiseTest
{
protected:
    auto applyRandomEvents(unsigned seed) -> void
    {
        std::mt19937 random(seed);
        const auto base = static_cast<int>(seed) * 10;
        const auto key = "key-" + std::to_string(seed);
        std::vector<std::shared_ptr<entry_call>> calls;
        m_onEndpoint = [&](http_exchange &exchange) {
            if (random() % 2 == 0)
                exchange.abort();
            else
                exchange.reply(200, {}, "ran");
        };
        for (int i = 0; i < 12; ++i) {
            const auto id = base + static_cast<int>(random() % 2);
            switch (random() % 5) {
            case 0:
                fate(id);
                break;
            case 1:
                untilEnded(send("POST", "/v1/cancel/" + idText(id)));
                break;
            case 2:
                if (!calls.empty())
                    calls.back()->call.cancel();
                break;
            default:
                calls.push_back(run(id,
                                    {{"idempotency-key", key},
                                     {"mustardline-attempt", std::to_string(1 + random() % 3)}},
                                    "{}"));
                if (random() % 2 == 0)
                    settle();
            }
        }
        until([&] { return m_runs->isIdle(); });
    }

    auto executionsOf(unsigned seed) const -> std::ptrdiff_t
    {
        return std::ranges::count_if(m_received, [&](const auto &exchange) {
            return exchange->header("idempotency-key") == "key-" + std::to_string(seed);
        });
    }
};

TEST_F(AtMostOnceTest, P12_anActionRunsAtMostOnceDespiteLossesAndDuplicates)
{
    start();
    std::ptrdiff_t ran = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        applyRandomEvents(seed);
        EXPECT_LE(executionsOf(seed), 1) << "seed " << seed;
        ran += executionsOf(seed);
    }
    EXPECT_GT(ran, 20) << "the random events must run enough actions";
}

TEST_F(AtMostOnceTest, P12_naiveAgentWithoutRetentionRunsAnActionTwice)
{
    // Forgets every run as soon as it has ended.
    m_limits.runRetention = duration::zero();
    start();
    std::ptrdiff_t most = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        applyRandomEvents(seed);
        most = std::max(most, executionsOf(seed));
    }
    EXPECT_GT(most, 1);
}

TEST_F(ActionPromiseTest, P11_naiveAgentWithoutRetentionRunsAfterReportingNotRun)
{
    m_limits.runRetention = duration::zero();
    start();
    EXPECT_EQ(fate(1), "not_run");
    run(1);
    untilReceived(1);
}

TEST_F(ActionPromiseTest, P12_anActionContinuesWhenItsEntryDisconnects)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    call->call.cancel();
    settle();
    EXPECT_EQ(fate(1), "running");
    EXPECT_TRUE(m_received[0]->isOpen());
    m_received[0]->reply(201, {}, "done");
    until([&] { return m_runs->isIdle(); });
    EXPECT_EQ(fate(1), "done");
    const auto again = run(1, {{"mustardline-attempt", "2"}});
    untilEnded(again);
    EXPECT_EQ(again->body, "done");
    EXPECT_EQ(m_received.size(), 1U);
}

// P14 ------------------------------------------------------------------------------------------

TEST_F(AgentPromiseTest, P14_shutdownCompletesQueuedAndRunningRuns)
{
    start();
    const auto running = fillWindow();
    beginStream(indexOf(100));
    until([&] { return !running[0]->body.empty(); });
    const auto queued = run(1);
    untilQueued(1);
    m_runs->drain();
    const auto late = run(2);
    untilEnded(late);
    EXPECT_EQ(late->result(), "205");
    EXPECT_EQ(fate(2), "not_run");
    EXPECT_FALSE(m_runs->isIdle());
    endStream(indexOf(100));
    untilEnded(running[0]);
    EXPECT_TRUE(running[0]->complete);
    finishAtEndpoint();
    for (const auto &call : running)
        untilEnded(call);
    untilReceived(m_limits.initialWindow + 1);
    finishAtEndpoint();
    untilEnded(queued);
    EXPECT_EQ(queued->result(), "0");
    until([&] { return m_runs->isIdle(); });
}

TEST_F(AgentPromiseTest, P14_shutdownWaitsForAnEntryThatReadsSlowly)
{
    m_limits.maxBacklogBytes = 64U << 20U;
    start();
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    until([&] { return !call->body.empty(); });
    call->call.pause();
    constexpr std::size_t chunks = 8192;
    const std::string chunk = ": " + std::string(1022, 'x') + "\n";
    for (std::size_t i = 0; i < chunks; ++i)
        m_received[0]->sendChunk(chunk);
    endStream(0);
    m_runs->drain();
    until([&] { return m_runs->load().running == 0; });
    EXPECT_FALSE(m_runs->isIdle()) << "part of the response has not been sent yet";
    call->call.resume();
    untilEnded(call);
    EXPECT_TRUE(call->complete);
    EXPECT_EQ(call->body.size(), firstEvent.size() + chunks * chunk.size() + lastEvents.size());
    until([&] { return m_runs->isIdle(); });
}

TEST_F(AgentPromiseTest, P14_naiveImmediateStopTruncatesAStream)
{
    start();
    const auto call = run(1);
    untilReceived(1);
    beginStream(0);
    until([&] { return !call->body.empty(); });
    m_received[0]->onGone([this] { m_loop.stop(); });
    m_runs.reset();
    m_loop.run();
    untilEnded(call);
    EXPECT_FALSE(call->complete);
}

} // namespace
} // namespace mustardline
