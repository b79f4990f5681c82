#include "standin/engine_server.h"

#include <gtest/gtest.h>

#include "standin/testing/http_probe.h"
#include "standin/testing/process.h"

namespace mustardline::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

auto chatBody(const std::string &text, std::uint32_t tokens, bool stream) -> json
{
    return {{"model", "small"},
            {"stream", stream},
            {"max_tokens", tokens},
            {"messages", json::array({{{"role", "user"}, {"content", text}}})}};
}

TEST(ChatAnswerTest, textIsAFunctionOfTheRequest)
{
    const auto request = parseChatRequest(chatBody("hello there", 3, true).dump(), {});
    ASSERT_TRUE(request);
    EXPECT_EQ(answerText(*request), "hello there t1 t2 ");
    EXPECT_EQ(request->promptTokens, 2U);
    EXPECT_TRUE(request->stream);
    auto named = chatBody("hello there", 2, false);
    named["user"] = "me";
    EXPECT_EQ(answerText(*parseChatRequest(named.dump(), {})), "me t1 ");
    for (const auto *body : {"", "[]", "{}", R"({"messages":[]})", R"({"messages":[1]})"})
        EXPECT_FALSE(parseChatRequest(body, {}));
}

TEST(EngineBehaviourTest, slowsLinearlyUpToCapacityAndSteeplyBeyond)
{
    const engine_behaviour warm{.token = milliseconds(4), .capacity = 8};
    EXPECT_EQ(tokenDelay(warm, 8), milliseconds(6));
    EXPECT_EQ(tokenDelay(warm, 16), milliseconds(24));
    const engine_behaviour cold{
        .firstToken = milliseconds(10), .capacity = 8, .cold = true, .coldCapacity = 2};
    EXPECT_EQ(firstTokenDelay(cold, 2, false), milliseconds(10));
    EXPECT_EQ(firstTokenDelay(cold, 8, false), milliseconds(640));
    EXPECT_EQ(firstTokenDelay(cold, 2, true), milliseconds(5));
}

TEST(PrefixCacheTest, publishesEventsWithDelayAndGaps)
{
    manual_clock clock;
    prefix_cache cache({.capacity = 2, .eventLag = milliseconds(10), .dropInterval = 3});
    EXPECT_FALSE(cache.use("a", clock.now()));
    EXPECT_TRUE(cache.use("a", clock.now()));
    EXPECT_TRUE(cache.eventsAfter(0, clock.now()).empty());
    clock.advance(milliseconds(10));
    cache.use("b", clock.now());
    cache.use("c", clock.now());
    EXPECT_EQ(cache.eventsAfter(0, clock.now()).size(), 1U);
    clock.advance(milliseconds(10));
    // The third event, which says that "c" was stored, is never published.
    const auto events = cache.eventsAfter(1, clock.now());
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].sequence, 2U);
    EXPECT_EQ(events[1].sequence, 4U);
    EXPECT_FALSE(events[1].stored);
    EXPECT_EQ(events[1].prefixHash, prefixHash("a"));
}

// An engine in a separate process.
class StandinEngineTest : public testing::Test
{
protected:
    auto received() -> json { return m_probe.get(m_address, "/control/received").json(); }

    auto behave(const json &change) -> void
    {
        EXPECT_EQ(m_probe.post(m_address, "/control/behaviour", change).status, 200);
    }

    auto ask(const json &body) -> probe_answer
    {
        return m_probe.post(m_address, "/v1/chat/completions", body);
    }

    process m_engine{{.program = programPath("standin-engine"),
                      .arguments = {"--first-token-ms", "1", "--token-ms", "1", "--max-running",
                                    "2", "--report-lag-ms", "0"}}};
    socket_address m_address
        = parseAddress("127.0.0.1:" + m_engine.waitFor({.name = "listening"}).field("port"));
    http_probe m_probe;
};

TEST_F(StandinEngineTest, streamsTokenByToken)
{
    // Delays the second token by an hour, so that the first must arrive before it.
    behave({{"token_ms", 3'600'000}});
    std::string seen;
    auto done = false;
    m_probe.client().start(m_address,
                           {.method = "POST",
                            .path = "/v1/chat/completions",
                            .body = chatBody("hello", 3, true).dump()},
                           {.onData = [&](std::string_view data) { seen += data; },
                            .onDone = [&](const http_outcome &) { done = true; }});
    m_probe.runUntil([&] { return seen.find("hello ") != std::string::npos; }, "a token is seen");
    EXPECT_FALSE(done);
    EXPECT_EQ(m_probe.get(m_address, "/v1/load").json()["running"], 1);
    behave({{"token_ms", 1}});
    m_probe.runUntil([&] { return done; }, "the stream ends");
    EXPECT_EQ(receivedText(seen, true), "hello t1 t2 ");
    EXPECT_NE(seen.find(R"("completion_tokens":3)"), std::string::npos);
}

TEST_F(StandinEngineTest, disconnectOfTheCallerCancelsTheRequest)
{
    behave({{"token_ms", 3'600'000}});
    http_call call = m_probe.client().start(m_address,
                                            {.method = "POST",
                                             .path = "/v1/chat/completions",
                                             .body = chatBody("hello", 3, true).dump()},
                                            {.onData = [&](std::string_view) { call.cancel(); }});
    m_probe.waitUntil(m_address, {.path = "/control/received"},
                      [](const auto &seen) { return seen.json()["cancelled"] == 1; });
    EXPECT_EQ(m_probe.get(m_address, "/v1/load").json()["running"], 0);
}

TEST_F(StandinEngineTest, startsQueuedRequestsByPriority)
{
    behave({{"token_ms", 3'600'000}});
    std::vector<std::string> order;
    const auto ask = [&](const std::string &text, int priority, std::uint32_t tokens) {
        auto body = chatBody(text, tokens, false);
        body["priority"] = priority;
        return m_probe.client().fetch(
            m_address, {.method = "POST", .path = "/v1/chat/completions", .body = body.dump()},
            [&, text](const http_outcome &, const http_answer &, const std::string &answer) {
                EXPECT_EQ(json::parse(answer)["choices"][0]["message"]["content"], text + " t1 ");
                order.push_back(text);
            });
    };
    const auto load = [&](int running, int waiting) {
        m_probe.waitUntil(m_address, {.path = "/v1/load"}, [&](const auto &seen) {
            return seen.json()["running"] == running && seen.json()["waiting"] == waiting;
        });
    };
    // Occupies one of the two running places until the end of the test.
    auto endless = ask("endless", 3, 1'000'000);
    load(1, 0);
    ask("first", 3, 2);
    load(2, 0);
    ask("later", 2, 2);
    load(2, 1);
    ask("sooner", 1, 2);
    load(2, 2);
    behave({{"token_ms", 1}});
    m_probe.runUntil([&] { return order.size() == 3; }, "all are answered");
    EXPECT_EQ(order, (std::vector<std::string>{"first", "sooner", "later"}));
    EXPECT_EQ(received()["count"], 4);
    EXPECT_EQ(received()["highest_concurrency"], 4);
    endless.cancel();
}

TEST_F(StandinEngineTest, truncatesResponsesOnDemand)
{
    behave({{"close_without_end", true}});
    const auto stream = ask(chatBody("hello", 2, true));
    EXPECT_TRUE(stream.whole);
    EXPECT_FALSE(receivedText(stream.body, true));
    const auto whole = ask(chatBody("hello", 2, false));
    EXPECT_TRUE(whole.whole);
    EXPECT_FALSE(receivedText(whole.body, false));
}

TEST_F(StandinEngineTest, exitsAfterTheConfiguredNumberOfTokens)
{
    behave({{"die_after_tokens", 2}});
    const auto answer = ask(chatBody("hello", 5, true));
    EXPECT_FALSE(answer.whole);
    EXPECT_NE(answer.body.find("t1 "), std::string::npos);
    EXPECT_EQ(answer.body.find("t2 "), std::string::npos);
    EXPECT_NE(m_engine.wait(), 0);
}

} // namespace
} // namespace mustardline::standin
