// End-to-end tests of a small installation: two entry processes, three agents, two engines and one
// plain service, unless a test asks for others.

#include "standin/testing/fleet.h"

#include <set>

#include <gtest/gtest.h>

#include "standin/chat_answer.h"

namespace mustardline::standin {
namespace {

using nlohmann::json;

// The text that the stand-in engine generates for a request.
auto expectedText(const http_request &request) -> std::string
{
    return answerText(*parseChatRequest(request.body, {}));
}

auto orderRequest(const std::string &key, const std::string &idempotencyKey) -> http_request
{
    return {.method = "POST",
            .path = "/services/orders/new",
            .headers = {{.name = "authorization", .value = "Bearer " + key},
                        {.name = "idempotency-key", .value = idempotencyKey},
                        {.name = "content-type", .value = "text/plain"}},
            .body = "two boxes of sleeves"};
}

TEST(FleetTest, bothEntryProcessesServePlainAndStreamedResponses)
{
    fleet fleet;
    for (std::size_t entry = 0; entry < 2; ++entry) {
        for (const auto stream : {false, true}) {
            const auto request
                = fleet.chat(fleet.key(), "how many binders", {.tokens = 12, .stream = stream});
            const auto answer = fleet.probe().call(fleet.entry(entry).address, request);
            ASSERT_TRUE(answer.whole);
            ASSERT_EQ(answer.status, 200) << answer.body;
            EXPECT_EQ(receivedText(answer.body, stream), expectedText(request));
        }
    }
    EXPECT_EQ(fleet.stop(), "");
}

TEST(FleetTest, streamsTokensWithoutBuffering)
{
    fleet fleet({.engines = 1, .services = 0});
    // Delays the second token by an hour, so that the caller must receive the first before it.
    fleet.control(fleet.engine(0), "behaviour", {{"token_ms", 3'600'000}});
    const auto request = fleet.chat(fleet.key(), "hello", {.tokens = 3, .stream = true});
    std::string seen;
    auto whole = false;
    fleet.probe().client().start(fleet.entry(0).address, request,
                                 {.onData = [&](std::string_view data) { seen += data; },
                                  .onDone =
                                      [&](const http_outcome &outcome) {
                                          whole = std::holds_alternative<std::monostate>(outcome);
                                      }});
    fleet.probe().runUntil([&] { return seen.find("hello ") != std::string::npos; },
                           "the first token is seen");
    EXPECT_FALSE(whole);
    fleet.control(fleet.engine(0), "behaviour", {{"token_ms", 1}});
    fleet.probe().runUntil([&] { return whole; }, "the stream ends");
    EXPECT_EQ(receivedText(seen, true), expectedText(request));
}

TEST(FleetTest, runsEachServiceOrderOnce)
{
    fleet fleet({.engines = 0});
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const auto request = orderRequest(fleet.key(), "order-" + std::to_string(entry));
        const auto answer = fleet.probe().call(fleet.entry(entry).address, request);
        ASSERT_EQ(answer.status, 200) << answer.body;
        EXPECT_EQ(answer.json()["echo"], request.body);
    }
    const auto executions
        = fleet.probe().get(fleet.service(0).control, "/control/executions").json();
    EXPECT_EQ(executions["count"], 2);
    EXPECT_EQ(fleet.stop(), "");
}

TEST(FleetTest, concurrentCallersGetTheirOwnResponses)
{
    fleet fleet;
    constexpr std::size_t callers = 60;
    std::vector<http_request> requests;
    requests.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        requests.push_back(fleet.chat(fleet.key(), "caller " + std::to_string(i),
                                      {.tokens = 8, .stream = i % 2 == 0}));
    }
    const auto answers = fleet.probe().callAll(fleet.entry(0).address, requests);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        ASSERT_TRUE(answers[i].whole);
        ASSERT_EQ(answers[i].status, 200) << answers[i].body;
        EXPECT_EQ(receivedText(answers[i].body, i % 2 == 0), expectedText(requests[i]));
    }
    EXPECT_EQ(fleet.stop(), "");
}

TEST(FleetTest, fixedRateLoadIsServedCompletely)
{
    fleet fleet;
    const auto target = "127.0.0.1:" + std::to_string(fleet.entry(1).address.port);
    process load({.program = programPath("standin-load"),
                  .arguments = {"--target", target, "--key-file", fleet.keyFile(), "--requests",
                                "100", "--rate", "50", "--tokens", "4", "--seed", "7"}});
    EXPECT_EQ(load.wait(), 0) << load.output();
    EXPECT_TRUE(load.output().starts_with("whole 100\nrefused 0\nfailed 0\nwrong 0\n"))
        << load.output();
    EXPECT_EQ(fleet.stop(), "");
}

TEST(FleetTest, everyRequestIsReportedAsUsageOnce)
{
    constexpr std::uint64_t count = 10;
    constexpr std::uint64_t tokens = 5;
    fleet fleet;
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto request = fleet.chat(fleet.key(), "one two three", {.tokens = tokens});
        const auto answer = fleet.probe().call(fleet.entry(i % 2).address, request);
        ASSERT_EQ(answer.status, 200) << answer.body;
    }
    // Sums a field over the reports, once per report id, including adjustments of earlier windows.
    const auto total = [](const json &answer, const char *name) {
        std::set<std::string> seen;
        std::int64_t sum = 0;
        for (const auto &report : answer["reports"]) {
            if (!seen.insert(report["report_id"].get<std::string>()).second)
                continue;
            sum += report[name].get<std::int64_t>();
            if (report.contains("adjustment"))
                sum += report["adjustment"].value(name, std::int64_t{0});
        }
        return sum;
    };
    const auto reported = fleet.probe().waitUntil(
        fleet.platform().control, {.path = "/v1/usage/reports"}, [&](const auto &answer) {
            return total(answer.json(), "requests") >= std::int64_t{count};
        });
    EXPECT_EQ(total(reported.json(), "requests"), count);
    EXPECT_EQ(total(reported.json(), "completion_tokens"), count * tokens);
    EXPECT_EQ(total(reported.json(), "prompt_tokens"), count * 3);
}

TEST(FleetTest, noEndpointReceivesACallersKey)
{
    fleet fleet;
    const auto &key = fleet.key();
    const auto secret = key.substr(key.rfind('_') + 1);
    ASSERT_GE(secret.size(), 16U);
    const auto with = [&](http_request request, const std::string &header) {
        request.headers.front() = {.name = header, .value = "Bearer " + key};
        return request;
    };
    auto inBody = fleet.chat(key, "my key is " + key);
    auto inField = fleet.chat(key, "hello");
    auto body = json::parse(inField.body);
    body["user"] = key;
    body["metadata"] = {{"api_key", key}};
    inField.body = body.dump();
    auto inQuery = fleet.chat(key, "hello");
    inQuery.path += "?api_key=" + key;
    auto inOrder = orderRequest(key, "order-1");
    inOrder.path += "?key=" + key;
    inOrder.body += " " + key;
    inOrder.headers.push_back({.name = "x-api-key", .value = key});
    inOrder.headers.push_back({.name = "cookie", .value = "key=" + key});
    const auto requests = std::to_array<http_request>(
        {with(fleet.chat(key, "hello"), "Authorization"),
         with(fleet.chat(key, "hello"), "authorization"),
         with(fleet.chat(key, "hello"), "AUTHORIZATION"), inBody, inField, inQuery, inOrder});
    std::size_t served = 0;
    for (const auto &request : requests) {
        const auto answer = fleet.probe().call(fleet.entry(served % 2).address, request);
        EXPECT_EQ(answer.status, 200) << request.path << " " << answer.body;
        ++served;
    }
    std::string received;
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < 2; ++i) {
        const auto answer = fleet.probe().get(fleet.engine(i).control, "/control/received");
        received += answer.body;
        count += answer.json()["count"].get<std::uint64_t>();
    }
    const auto executions = fleet.probe().get(fleet.service(0).control, "/control/executions");
    received += executions.body;
    count += executions.json()["count"].get<std::uint64_t>();
    // Guards against a vacuous search: the endpoints must have received the requests.
    EXPECT_EQ(count, requests.size());
    EXPECT_EQ(received.find(secret), std::string::npos);
    EXPECT_EQ(received.find(key), std::string::npos);
}

TEST(FleetTest, restartedAgentServesAgain)
{
    fleet fleet(
        {.entries = 1, .engines = 1, .services = 0, .platformLinks = true, .agentLinks = true});
    const auto request = fleet.chat(fleet.key(), "hello");
    EXPECT_EQ(fleet.probe().call(fleet.entry(0).address, request).status, 200);
    fleet.agent(0).instance().kill();
    fleet.restart(fleet.agent(0));
    fleet.probe().waitUntil(fleet.entry(0).address, request,
                            [](const auto &answer) { return answer.status == 200; });
    EXPECT_EQ(fleet.stop(), "");
}

} // namespace
} // namespace mustardline::standin
