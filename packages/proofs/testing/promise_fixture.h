#pragma once

// Fixture of the promise tests over real processes: callers, orders, counters.

#include <memory>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "base/result.h"
#include "proofs/testing/promise_tally.h"
#include "standin/chat_answer.h"
#include "standin/testing/fleet.h"

namespace mustardline::proofs {

using nlohmann::json;
using standin::fleet;
using standin::probe_answer;

// A caller's request in progress.
struct pending_call
{
    bool ended = false;
    probe_answer answer;
};

using pending = std::shared_ptr<pending_call>;

class PromiseTest : public testing::Test
{
protected:
    // Creates a caller whose deadlines are short enough for tests to wait until they expire.
    // Returns its key.
    static auto createCaller(fleet &fleet) -> std::string
    {
        fleet.accepted(
            {"class", "create", "short", "--first-token-ms", "500", "--deadline-ms", "3000"});
        fleet.accepted({"account", "create", "caller", "--tier", "2", "--classes", "short"});
        return fleet.createKey("caller");
    }

    static auto orderRequest(const std::string &key, const std::string &idempotencyKey)
        -> http_request
    {
        return {.method = "POST",
                .path = "/services/orders/book",
                .headers = {{.name = "authorization", .value = "Bearer " + key},
                            {.name = "idempotency-key", .value = idempotencyKey},
                            {.name = "content-type", .value = "text/plain"}},
                .body = "book stall " + idempotencyKey};
    }

    // Starts a call without waiting for its end.
    static auto startCall(fleet &fleet, const socket_address &address, const http_request &request)
        -> pending
    {
        ++tally().sent;
        auto call = std::make_shared<pending_call>();
        fleet.probe().client().start(
            address, request,
            {.onHeaders =
                 [call](const http_answer &answer) {
                     call->answer.status = answer.status;
                     call->answer.headers = answer.headers;
                 },
             .onData = [call](std::string_view data) { call->answer.body += data; },
             .onDone =
                 [call](const http_outcome &outcome) {
                     call->ended = true;
                     call->answer.whole = std::holds_alternative<std::monostate>(outcome);
                 }});
        return call;
    }

    // Waits for a log line of a member while calls go on.
    static auto waitForLine(fleet &fleet, standin::fleet_member &member,
                            const standin::event_pattern &pattern) -> void
    {
        fleet.probe().runUntil([&] { return member.instance().count(pattern) > 0; },
                               member.name() + " logs " + pattern.text());
    }

    static auto waitForCalls(fleet &fleet, const std::vector<pending> &calls) -> void
    {
        fleet.probe().runUntil(
            [&] {
                return std::ranges::all_of(calls, [](const auto &call) { return call->ended; });
            },
            "all calls end");
    }

    static auto call(fleet &fleet, std::size_t entry, const http_request &request) -> probe_answer
    {
        const auto made = startCall(fleet, fleet.entry(entry).address, request);
        waitForCalls(fleet, {made});
        if (!made->answer.whole)
            ++tally().lost;
        return made->answer;
    }

    // Repeats the call to an entry process until the response is not "in progress".
    static auto callUntilDecided(fleet &fleet, std::size_t entry, const http_request &request)
        -> probe_answer
    {
        return fleet.probe().waitUntil(
            fleet.entry(entry).address, request, [](const probe_answer &answer) {
                ++tally().sent;
                return answer.whole && codeOf(answer) != result_code::idempotency_in_progress;
            });
    }

    static auto codeOf(const probe_answer &answer) -> result_code
    {
        const auto body = answer.json();
        if (!body.is_object() || !body.contains("error"))
            return result_code::ok;
        return static_cast<result_code>(body["error"]["code"].get<int>());
    }

    static auto executionCount(fleet &fleet) -> std::uint64_t
    {
        return fleet.probe()
            .get(fleet.service(0).control, "/control/executions")
            .json()["count"]
            .get<std::uint64_t>();
    }

    static auto receivedCount(fleet &fleet, std::size_t engine) -> std::uint64_t
    {
        return fleet.probe()
            .get(fleet.engine(engine).control, "/control/received")
            .json()["count"]
            .get<std::uint64_t>();
    }

    static auto expectExecutions(fleet &fleet, std::uint64_t count) -> void
    {
        const auto seen = executionCount(fleet);
        tally().doubled += seen > count ? seen - count : 0;
        EXPECT_EQ(seen, count);
    }

    static auto expectCompleteAnswer(const pending &call, const http_request &request, bool stream)
        -> void
    {
        const auto expected = standin::answerText(*standin::parseChatRequest(request.body, {}));
        const auto whole = call->answer.whole && call->answer.status == 200
                           && standin::receivedText(call->answer.body, stream) == expected;
        tally().cut += whole ? 0 : 1;
        EXPECT_TRUE(whole) << call->answer.status << " " << call->answer.body;
    }

    // Starts streams and waits until each has its first token.
    static auto openStreams(fleet &fleet, std::size_t entry, std::uint32_t count,
                            const http_request &request) -> std::vector<pending>
    {
        std::vector<pending> calls;
        for (std::uint32_t i = 0; i < count; ++i)
            calls.push_back(startCall(fleet, fleet.entry(entry).address, request));
        const auto hasFirstToken = [](const pending &call) {
            return call->answer.body.find("\"content\"") != std::string::npos;
        };
        fleet.probe().runUntil(
            [&] {
                return std::ranges::all_of(
                    calls, [&](const pending &call) { return hasFirstToken(call) || call->ended; });
            },
            "every stream has begun");
        for (const auto &call : calls) {
            if (!hasFirstToken(call)) {
                throw standin::harness_error(
                    fmt::format("a stream ended before it had begun: status {}, {}",
                                call->answer.status, call->answer.body));
            }
        }
        return calls;
    }

    // Lets the engines finish streams that wait for tokens, and expects complete answers.
    static auto finishStreams(fleet &fleet, const std::vector<pending> &streams,
                              const http_request &request) -> void
    {
        for (const auto &made : streams)
            EXPECT_FALSE(made->ended);
        for (std::size_t engine = 0; engine < 2; ++engine)
            setTokenTime(fleet, engine, 1);
        waitForCalls(fleet, streams);
        for (const auto &made : streams)
            expectCompleteAnswer(made, request, true);
    }

    static auto setTokenTime(fleet &fleet, std::size_t engine, std::uint32_t milliseconds) -> void
    {
        fleet.control(fleet.engine(engine), "behaviour", {{"token_ms", milliseconds}});
    }

    static auto waitForConfigurationOnAll(fleet &fleet, const json &accepted) -> void
    {
        const auto offset = std::stoull(accepted["revision"].get<std::string>());
        for (std::size_t i = 0; i < 2; ++i)
            fleet.waitForConfiguration(i, offset);
    }
};

} // namespace mustardline::proofs
