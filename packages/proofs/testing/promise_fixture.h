#pragma once

// What the process tests of the promises share: callers, orders, counts.

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

// A caller's request under way.
struct pending_call
{
    bool ended = false;
    probe_answer answer;
};

using pending = std::shared_ptr<pending_call>;

class PromiseTest : public testing::Test
{
protected:
    // A caller with deadlines short enough to see what follows them.
    static auto createCaller(fleet &fleet) -> std::string
    {
        fleet.accepted(
            {"class", "create", "short", "--first-token-ms", "500", "--deadline-ms", "3000"});
        fleet.accepted({"account", "create", "caller", "--tier", "2", "--classes", "short"});
        return fleet.createKey("caller");
    }

    static auto order(const std::string &key, const std::string &idempotencyKey) -> http_request
    {
        return {.method = "POST",
                .path = "/services/orders/book",
                .headers = {{.name = "authorization", .value = "Bearer " + key},
                            {.name = "idempotency-key", .value = idempotencyKey},
                            {.name = "content-type", .value = "text/plain"}},
                .body = "book stall " + idempotencyKey};
    }

    // Starts a call and leaves it under way.
    static auto begin(fleet &fleet, const socket_address &address, const http_request &request)
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

    // Waits for a line of a member while calls go on.
    static auto waitForLine(fleet &fleet, standin::fleet_member &member,
                            const standin::event_pattern &pattern) -> void
    {
        fleet.probe().runUntil([&] { return member.instance().count(pattern) > 0; },
                               member.name() + " logs " + pattern.text());
    }

    static auto finish(fleet &fleet, const std::vector<pending> &calls) -> void
    {
        fleet.probe().runUntil(
            [&] {
                return std::ranges::all_of(calls, [](const auto &call) { return call->ended; });
            },
            "all calls end");
    }

    static auto call(fleet &fleet, std::size_t entry, const http_request &request) -> probe_answer
    {
        const auto made = begin(fleet, fleet.entry(entry).address, request);
        finish(fleet, {made});
        if (!made->answer.whole)
            ++tally().lost;
        return made->answer;
    }

    // Calls through entries by turns until the answer is something else than "in progress".
    static auto settle(fleet &fleet, std::size_t entry, const http_request &request) -> probe_answer
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

    static auto executions(fleet &fleet) -> std::uint64_t
    {
        return fleet.probe()
            .get(fleet.service(0).control, "/control/executions")
            .json()["count"]
            .get<std::uint64_t>();
    }

    static auto received(fleet &fleet, std::size_t engine) -> std::uint64_t
    {
        return fleet.probe()
            .get(fleet.engine(engine).control, "/control/received")
            .json()["count"]
            .get<std::uint64_t>();
    }

    static auto expectExecutions(fleet &fleet, std::uint64_t count) -> void
    {
        const auto seen = executions(fleet);
        tally().doubled += seen > count ? seen - count : 0;
        EXPECT_EQ(seen, count);
    }

    static auto expectWhole(const pending &call, const http_request &request, bool stream) -> void
    {
        const auto expected = standin::answerText(*standin::parseChatRequest(request.body, {}));
        const auto whole = call->answer.whole && call->answer.status == 200
                           && standin::receivedText(call->answer.body, stream) == expected;
        tally().cut += whole ? 0 : 1;
        EXPECT_TRUE(whole) << call->answer.status << " " << call->answer.body;
    }

    // Streams that have their first token and wait for the others.
    static auto openStreams(fleet &fleet, std::size_t entry, std::uint32_t count,
                            const http_request &request) -> std::vector<pending>
    {
        std::vector<pending> calls;
        for (std::uint32_t i = 0; i < count; ++i)
            calls.push_back(begin(fleet, fleet.entry(entry).address, request));
        const auto hasBegun = [](const pending &call) {
            return call->answer.body.find("\"content\"") != std::string::npos;
        };
        fleet.probe().runUntil(
            [&] {
                return std::ranges::all_of(
                    calls, [&](const pending &call) { return hasBegun(call) || call->ended; });
            },
            "every stream has begun");
        for (const auto &call : calls) {
            if (!hasBegun(call)) {
                throw standin::harness_error(
                    fmt::format("a stream ended before it had begun: status {}, {}",
                                call->answer.status, call->answer.body));
            }
        }
        return calls;
    }

    // Lets streams that wait for their tokens at either engine end, and expects them whole.
    static auto finishStreams(fleet &fleet, const std::vector<pending> &streams,
                              const http_request &request) -> void
    {
        for (const auto &made : streams)
            EXPECT_FALSE(made->ended);
        for (std::size_t engine = 0; engine < 2; ++engine)
            setTokenTime(fleet, engine, 1);
        finish(fleet, streams);
        for (const auto &made : streams)
            expectWhole(made, request, true);
    }

    static auto setTokenTime(fleet &fleet, std::size_t engine, std::uint32_t milliseconds) -> void
    {
        fleet.control(fleet.engine(engine), "behaviour", {{"token_ms", milliseconds}});
    }

    static auto waitForAll(fleet &fleet, const json &accepted) -> void
    {
        const auto offset = std::stoull(accepted["revision"].get<std::string>());
        for (std::size_t i = 0; i < 2; ++i)
            fleet.waitForConfiguration(i, offset);
    }
};

} // namespace mustardline::proofs
