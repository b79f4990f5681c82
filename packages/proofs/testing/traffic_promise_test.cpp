// P3, P4, P5, P8, P9, P10, P13, P14 and P15 with real processes that are killed, frozen,
// disconnected and stopped under traffic.

#include <array>

#include "net/http_message.h"
#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {

namespace {

constexpr std::uint32_t oneHourMs = 3'600'000; // in milliseconds

// Makes the chat route idempotent, so that its requests may be retried and cancelled.
auto makeChatIdempotent(fleet &fleet) -> void
{
    fleet.accepted({"route", "remove", "/v1/chat/completions"});
    fleet.accepted({"route", "create", "/v1/chat/completions", "--idempotent"});
}

auto keyIdOf(const std::string &key) -> std::string
{
    const auto start = key.find('_') + 1;
    return key.substr(start, key.rfind('_') - start);
}

TEST_F(PromiseTest, p3AnAgentRunsOnlyForTheAccountOfTheKey)
{
    fleet fleet({.entries = 1, .engines = 1, .services = 0});
    const auto keyId = keyIdOf(fleet.key());
    createCaller(fleet);
    const auto headersFor = [&](const std::string &account, const std::string &tier) {
        std::vector<http_header> headers{
            {.name = "mustardline-request", .value = std::string(32, 'a')},
            {.name = "mustardline-attempt", .value = "1"},
            {.name = "mustardline-account", .value = account},
            {.name = "mustardline-key-id", .value = keyId},
            {.name = "mustardline-class", .value = "short"},
            {.name = "mustardline-tier", .value = tier},
            {.name = "mustardline-priority", .value = "0"},
            {.name = "mustardline-deadline-ms", .value = "1000"},
            {.name = "mustardline-first-token-ms", .value = "100"},
            {.name = "mustardline-idempotent", .value = "0"},
            {.name = "mustardline-route", .value = "/v1/chat/completions"},
            {.name = "mustardline-method", .value = "POST"},
            {.name = "mustardline-path", .value = "/v1/chat/completions"},
            {.name = "mustardline-endpoint", .value = "engine-0"},
            {.name = "mustardline-offset", .value = "1"}};
        return headers;
    };
    // Once it has run a request, the agent has the configuration with the endpoint and the key.
    auto request = fleet.chat(fleet.key(), "hello");
    ASSERT_EQ(call(fleet, 0, request).status, 200);
    request.path = "/v1/run";
    request.headers = headersFor("caller", "2");
    const auto refused = fleet.probe().call(fleet.agent(0).address, request);
    EXPECT_EQ(findHeader(refused.headers, "mustardline-result"), "102") << refused.body;
    EXPECT_EQ(receivedCount(fleet, 0), 1U);
}

// Sends the key in every place and encoding that a caller might use, and searches all bytes that
// the endpoints received for it.
TEST_F(PromiseTest, p4NoEndpointSeesAKeyInAnyForm)
{
    fleet fleet({.engines = 1});
    const auto &key = fleet.key();
    const auto secret = key.substr(key.rfind('_') + 1);
    std::string escaped;
    std::string percent;
    for (const auto letter : key) {
        escaped += fmt::format("\\u{:04x}", static_cast<int>(letter));
        percent += fmt::format("%{:02X}", static_cast<int>(letter));
    }
    std::vector<http_request> requests;
    for (const auto *name : {"authorization", "Authorization", "AUTHORIZATION"}) {
        for (const auto *scheme : {"Bearer ", "bearer "}) {
            requests.push_back(fleet.chat(key, "hello"));
            requests.back().headers.front() = {.name = name, .value = scheme + key};
        }
    }
    for (const auto *name : {"x-api-key", "api-key", "cookie", "proxy-authorization", "accept",
                             "mustardline-key-id", "mustardline-account", "idempotency-key"}) {
        requests.push_back(orderRequest(key, "form"));
        requests.back().headers.push_back({.name = name, .value = key});
    }
    for (const auto &text : {key, percent, key + key, "mk_" + key, fmt::format("{0}_{0}", key)}) {
        requests.push_back(fleet.chat(key, text));
        requests.push_back(fleet.chat(key, "hello"));
        requests.back().path += "?api_key=" + text;
        requests.push_back(orderRequest(key, "form"));
        requests.back().path += fmt::format("/{0}?key={0}", text);
        requests.push_back(orderRequest(key, "form"));
        requests.back().body = text;
    }
    requests.push_back(fleet.chat(key, "hello"));
    requests.back().body.insert(1, "\"api_key\":\"" + escaped + "\",\"" + key + "\":1,");
    requests.push_back(orderRequest(key, "form"));
    requests.back().headers.back().value = "application/json";
    requests.back().body = "{\"" + escaped + "\":\"" + escaped + "\"}";
    std::size_t served = 0;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        // Gives each order an idempotency key of its own.
        for (auto &header : requests[i].headers) {
            if (header.value == "form")
                header.value = fmt::format("form-{}", i);
        }
        const auto answer = call(fleet, i % 2, requests[i]);
        EXPECT_TRUE(answer.status == 200 || answer.status == 400)
            << requests[i].path << " " << answer.status << " " << answer.body;
        served += answer.status == 200 ? 1 : 0;
    }
    const auto engine = fleet.probe().get(fleet.engine(0).control, "/control/received");
    const auto service = fleet.probe().get(fleet.service(0).control, "/control/executions");
    EXPECT_EQ(engine.json()["count"].get<std::size_t>()
                  + service.json()["count"].get<std::size_t>(),
              served);
    EXPECT_GT(served, requests.size() / 2);
    const auto bytes = engine.body + service.body;
    for (const auto &seen : {bytes, percentDecoded(bytes)}) {
        EXPECT_EQ(seen.find(secret), std::string::npos);
        EXPECT_EQ(seen.find(key), std::string::npos);
    }
    // The last four characters in JSON escapes. Escapes of hexadecimal digits contain no letters,
    // so their case does not matter.
    EXPECT_EQ(bytes.find(escaped.substr(escaped.size() - 24)), std::string::npos);
}

// The key is withdrawn through one entry process while the other cannot reach the log and learns of
// it from an agent or a peer. Requests with the key are stopped, those with other keys are not.
TEST_F(PromiseTest, p5AWithdrawnKeyStopsWhereTheLogIsOutOfReach)
{
    fleet fleet({.engines = 1, .services = 0, .platformLinks = true});
    makeChatIdempotent(fleet);
    const auto withdrawn = fleet.createKey("shop");
    const auto stream = fleet.chat(withdrawn, "withdrawn", {.tokens = 3, .stream = true});
    const auto other = fleet.chat(fleet.key(), "other", {.tokens = 3, .stream = true});
    setTokenTime(fleet, 0, oneHourMs);
    const auto stopped = openStreams(fleet, 1, 3, stream);
    const auto kept = openStreams(fleet, 1, 3, other);
    fleet.control(fleet.platformLink(1), "mode", {{"mode", "drop"}});
    fleet.control(fleet.platformLink(1), "cut");
    ++tally().faults;
    fleet.accepted({"key", "withdraw", keyIdOf(withdrawn)}, 0);
    // Open requests end although no further call brings the entry process the change.
    waitForCalls(fleet, stopped);
    for (const auto &made : stopped)
        EXPECT_EQ(made->answer.body.find("[DONE]"), std::string::npos);
    const auto plain = fleet.chat(withdrawn, "again");
    for (const std::size_t entry : {0U, 1U}) {
        fleet.probe().waitUntil(fleet.entry(entry).address, plain, [](const probe_answer &answer) {
            return codeOf(answer) == result_code::key_withdrawn;
        });
    }
    const auto before = receivedCount(fleet, 0);
    for (const std::size_t entry : {0U, 1U, 0U, 1U})
        EXPECT_EQ(codeOf(call(fleet, entry, plain)), result_code::key_withdrawn);
    EXPECT_EQ(receivedCount(fleet, 0), before);
    setTokenTime(fleet, 0, 1);
    waitForCalls(fleet, kept);
    for (const auto &made : kept)
        expectCompleteAnswer(made, other, true);
    fleet.control(fleet.platformLink(1), "mode", {{"mode", "pass"}});
    EXPECT_EQ(fleet.stop(), "");
}

// Every endpoint is cold and can take two requests when the full load arrives.
TEST_F(PromiseTest, p8ColdEndpointsAreNotOverrunAtFullLoad)
{
    constexpr std::uint32_t bearable = 2;
    fleet fleet({.services = 0});
    for (std::size_t engine = 0; engine < 2; ++engine) {
        fleet.control(fleet.engine(engine), "behaviour",
                      {{"cold", true},
                       {"bearable", bearable},
                       {"capacity", 16},
                       {"first_token_ms", 100},
                       {"token_ms", 10}});
    }
    std::vector<pending> calls;
    const auto request = fleet.chat(fleet.key(), "load", {.tokens = 10, .stream = true});
    for (std::size_t i = 0; i < 60; ++i)
        calls.push_back(startCall(fleet, fleet.entry(i % 2).address, request));
    waitForCalls(fleet, calls);
    for (const auto &made : calls) {
        if (made->answer.status == 200)
            expectCompleteAnswer(made, request, true);
        else
            EXPECT_EQ(made->answer.status, 503) << made->answer.body;
    }
    for (std::size_t engine = 0; engine < 2; ++engine) {
        const auto seen
            = fleet.probe().get(fleet.engine(engine).control, "/control/received").json();
        // The agent finds the capacity by trying one request more.
        EXPECT_LE(seen["highest_while_cold"].get<std::uint32_t>(), bearable + 1);
    }
}

TEST_F(PromiseTest, p9p13NothingNewWhereADataCentreIsOutOrAnEndpointLeaves)
{
    fleet fleet({.services = 0});
    const auto request = fleet.chat(fleet.key(), "burst", {.tokens = 3, .stream = true});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, oneHourMs);
    auto running = openStreams(fleet, 1, 2, request);
    const auto more = openStreams(fleet, 0, 2, request);
    running.insert(running.end(), more.begin(), more.end());
    const auto expectNoNewRequestsAt = [&](std::size_t engine) {
        const auto before = receivedCount(fleet, engine);
        setTokenTime(fleet, 1 - engine, 1);
        for (std::size_t i = 0; i < 12; ++i)
            EXPECT_EQ(call(fleet, i % 2, request).status, 200);
        EXPECT_EQ(receivedCount(fleet, engine), before);
    };
    // Both engines still have requests when gebze is taken out.
    waitForConfigurationOnAll(fleet, fleet.accepted({"data-centre", "out", "gebze"}));
    ++tally().faults;
    expectNoNewRequestsAt(1);
    setTokenTime(fleet, 1, 1);
    waitForCalls(fleet, running);
    for (const auto &made : running)
        expectCompleteAnswer(made, request, true);
    // gebze returns, and the endpoint in the other data centre leaves.
    waitForConfigurationOnAll(fleet, fleet.accepted({"data-centre", "in", "gebze"}, 1));
    waitForConfigurationOnAll(fleet, fleet.accepted({"endpoint", "leave", "engine-0"}, 1));
    fleet.probe().waitUntil(fleet.entry(0).address, request, [&](const probe_answer &answer) {
        return answer.status == 200 && receivedCount(fleet, 1) > 0;
    });
    expectNoNewRequestsAt(0);
    EXPECT_EQ(fleet.stop(), "");
}

// If an engine dies, or ends its answer early with a well-formed HTTP message, the caller never
// gets an answer that looks complete.
TEST_F(PromiseTest, p10ACutAnswerNeverLooksWhole)
{
    fleet fleet({.entries = 1, .engines = 1, .services = 0});
    for (const auto dies : {false, true}) {
        for (const auto stream : {false, true}) {
            const auto request = fleet.chat(fleet.key(), "cut", {.tokens = 8, .stream = stream});
            fleet.control(fleet.engine(0), "behaviour",
                          dies ? json{{"die_after_tokens", 3}} : json{{"close_without_end", true}});
            ++tally().faults;
            const auto cut = startCall(fleet, fleet.entry(0).address, request);
            waitForCalls(fleet, {cut});
            const auto looksWhole = stream ? cut->answer.body.find("[DONE]") != std::string::npos
                                           : cut->answer.status == 200 && cut->answer.whole;
            tally().cut += looksWhole ? 1 : 0;
            EXPECT_FALSE(looksWhole) << cut->answer.body;
            const auto said
                = !cut->answer.whole || cut->answer.body.find("error") != std::string::npos;
            EXPECT_TRUE(said) << cut->answer.body;
            if (dies)
                fleet.restart(fleet.engine(0));
            else
                fleet.control(fleet.engine(0), "behaviour", {{"close_without_end", false}});
            const auto good = startCall(fleet, fleet.entry(0).address, request);
            waitForCalls(fleet, {good});
            expectCompleteAnswer(good, request, stream);
        }
    }
}

// Answers that arrive after their requests have timed out are not sent to other callers.
TEST_F(PromiseTest, p10LateAnswersReachNobodyElse)
{
    fleet fleet({.engines = 1, .services = 0});
    const auto key = createCaller(fleet);
    fleet.engine(0).instance().freeze();
    ++tally().faults;
    std::vector<pending> late;
    for (std::size_t i = 0; i < 6; ++i) {
        late.push_back(
            startCall(fleet, fleet.entry(i % 2).address,
                      fleet.chat(key, fmt::format("late-{}", i), {.stream = i % 3 == 0})));
    }
    waitForCalls(fleet, late);
    for (const auto &made : late)
        EXPECT_NE(made->answer.status, 200) << made->answer.body;
    fleet.engine(0).instance().thaw();
    for (std::size_t i = 0; i < 12; ++i) {
        const auto stream = i % 3 == 0;
        const auto request
            = fleet.chat(fleet.key(), fmt::format("own-{}", i), {.tokens = 6, .stream = stream});
        const auto own = startCall(fleet, fleet.entry(i % 2).address, request);
        waitForCalls(fleet, {own});
        expectCompleteAnswer(own, request, stream);
    }
}

// SIGTERM to an entry process and then to an agent, with streams open through them.
TEST_F(PromiseTest, p14APlannedStopCutsNothing)
{
    fleet fleet({.services = 0});
    const auto request = fleet.chat(fleet.key(), "stop", {.tokens = 4, .stream = true});
    const auto stop = [&](standin::fleet_member &member, const std::string &event,
                          const std::vector<pending> &streams) {
        member.instance().sendSignal(SIGTERM);
        member.instance().waitFor({.name = event});
        ++tally().faults;
        finishStreams(fleet, streams, request);
        EXPECT_EQ(member.instance().wait(), 0);
    };
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, oneHourMs);
    stop(fleet.entry(0), "draining", openStreams(fleet, 0, 4, request));
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, oneHourMs);
    stop(fleet.agent(0), "drain_begun", openStreams(fleet, 1, 4, request));
    // The remaining processes still serve.
    fleet.probe().waitUntil(fleet.entry(1).address, request,
                            [](const probe_answer &answer) { return answer.status == 200; });
    EXPECT_EQ(fleet.stop(), "");
}

class OperatorPromiseTest : public PromiseTest
{
protected:
    static auto operatorCall(const std::string &method, const json &body) -> http_request
    {
        return {.method = "POST",
                .path = "/mustardline.v1.Operator/" + method,
                .headers = {{.name = "authorization", .value = "Bearer test-operator-token"},
                            {.name = "content-type", .value = "application/json"}},
                .body = body.dump()};
    }

    // The revision and region of a data centre in the configuration of an entry process.
    static auto dataCentre(fleet &fleet, std::size_t entry, const std::string &id)
        -> std::pair<std::uint64_t, std::string>
    {
        const auto listed = fleet.accepted({"data-centre", "list"}, entry);
        for (const auto &item : listed["entities"]) {
            const auto &value = item["entity"]["data_centre"];
            if (value["id"] == id)
                return {std::stoull(item["revision"].get<std::string>()), value["region"]};
        }
        return {};
    }
};

// Two operators change the same revision of an entity through two entry processes: one change is
// accepted, the other gets a conflict, and no later state has the rejected value.
TEST_F(OperatorPromiseTest, p15OfRacingOperatorsOneIsAcceptedAndNothingReverts)
{
    fleet fleet({.engines = 0, .services = 0});
    std::uint64_t newest = 0;
    for (auto round = 0; round < 8; ++round) {
        const auto [revision, region] = dataCentre(fleet, 0, "tuzla");
        EXPECT_GE(revision, newest);
        std::vector<pending> calls;
        for (std::size_t entry = 0; entry < 2; ++entry) {
            const json item{
                {"kind", "ENTITY_KIND_DATA_CENTRE"},
                {"id", "tuzla"},
                {"base_revision", std::to_string(revision)},
                {"entity",
                 {{"data_centre",
                   {{"id", "tuzla"}, {"region", fmt::format("round-{}-{}", round, entry)}}}}}};
            const json change{{"change",
                               {{"change_id", fmt::format("race-{}-{}", round, entry)},
                                {"entities", json::array({item})}}}};
            calls.push_back(
                startCall(fleet, fleet.entry(entry).operators, operatorCall("Apply", change)));
        }
        waitForCalls(fleet, calls);
        std::vector<std::size_t> winners;
        for (std::size_t entry = 0; entry < 2; ++entry) {
            if (calls[entry]->answer.body.find("ACCEPTED") != std::string::npos)
                winners.push_back(entry);
        }
        ASSERT_EQ(winners.size(), 1U) << calls[0]->answer.body << " " << calls[1]->answer.body;
        const auto decision = calls[winners.front()]->answer.json();
        newest = std::stoull(decision["revision"].get<std::string>());
        for (std::size_t entry = 0; entry < 2; ++entry) {
            fleet.waitForConfiguration(entry, newest);
            EXPECT_EQ(dataCentre(fleet, entry, "tuzla"),
                      std::pair(newest, fmt::format("round-{}-{}", round, winners.front())));
        }
    }
}

// An entry process is frozen until the log has expired the records that it would read next. It then
// gets the current configuration from another process.
TEST_F(OperatorPromiseTest, p15AReaderStoppedPastTheLogsRetentionCatchesUp)
{
    fleet fleet({.engines = 1, .services = 0});
    fleet.entry(1).instance().freeze();
    ++tally().faults;
    json last;
    for (auto i = 0; i < 5; ++i)
        last = fleet.accepted({"data-centre", i % 2 == 0 ? "out" : "in", "gebze"}, 0);
    fleet.control(fleet.platform(), "retention", {{"stream", "configuration"}, {"keep", 1}});
    fleet.entry(1).instance().thaw();
    waitForConfigurationOnAll(fleet, last);
    EXPECT_EQ(dataCentre(fleet, 1, "gebze"), dataCentre(fleet, 0, "gebze"));
    EXPECT_EQ(call(fleet, 1, fleet.chat(fleet.key(), "hello")).status, 200);
}

// The commands `history` and `diff`, through either entry process.
TEST_F(OperatorPromiseTest, operatorsSeeWhoChangedWhat)
{
    fleet fleet({.engines = 0, .services = 0});
    const auto first = dataCentre(fleet, 0, "gebze").first;
    auto last = fleet.accepted({"data-centre", "out", "gebze"});
    waitForConfigurationOnAll(fleet, last);
    const auto page = fleet.accepted({"history", "data-centre", "gebze", "--limit", "1"}, 1);
    ASSERT_EQ(page["items"].size(), 1U);
    EXPECT_EQ(page["items"][0]["revision"], last["revision"]);
    EXPECT_EQ(page["items"][0]["operator"], "tester");
    EXPECT_EQ(page["items"][0]["differences"],
              json::array({{{"field", "out"}, {"before", "false"}, {"after", "true"}}}));
    EXPECT_EQ(page["next_before_revision"], last["revision"]);
    const auto from = std::to_string(first);
    const std::vector<std::string> diff{"diff", "data-centre", "gebze", "--from", from};
    EXPECT_EQ(fleet.accepted(diff, 1)["differences"], page["items"][0]["differences"]);
    last = fleet.accepted({"data-centre", "in", "gebze"});
    EXPECT_TRUE(fleet.accepted(diff)["differences"].empty());
    // A revision that the entry process has not applied yet is reported as missing.
    const auto missing
        = fleet.command({"diff", "data-centre", "gebze", "--from", from, "--to", "1000000"});
    EXPECT_EQ(missing.status, 6) << missing.output;
    EXPECT_TRUE(json::parse(missing.output)["missing"]);
    EXPECT_EQ(fleet.command({"diff", "no-such-kind", "gebze", "--from", from}).status, 2);
    const auto whole = fleet.accepted({"history", "data-centre", "gebze"});
    EXPECT_EQ(whole["items"].size(), 3U);
    EXPECT_EQ(whole["missing_through"], "0");
}

} // namespace

} // namespace mustardline::proofs
