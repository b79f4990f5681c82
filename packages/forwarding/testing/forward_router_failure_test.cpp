// Tests of what callers get when an endpoint fails, pauses or sends too much.

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "forwarding/testing/forward_router_fixture.h"
#include "net/testing/raw_peer.h"

namespace mustardline {
namespace {

constexpr shared_retry_budget_options noRetries{.ratio = 0, .slack = 0};

// A router whose retry budget is used up.
class SpentRetryBudgetTest : public ForwardRouterTest
{
protected:
    SpentRetryBudgetTest() : ForwardRouterTest({.retries = noRetries}) {}
};

// Makes the listener answer the first request of each connection with these bytes and close.
auto answerAndClose(raw_listener &endpoint, std::string bytes) -> void
{
    endpoint.onOpen = [bytes = std::move(bytes)](raw_peer &peer) {
        peer.onChange = [&peer, bytes] {
            if (peer.hasEnded() || !peer.received().ends_with("\r\n\r\nx"))
                return;
            peer.send(bytes);
            peer.close();
        };
    };
}

// Guards against a failure of which the endpoint sent only a part, and which the caller gets as a
// whole response of that length when the retry budget is used up.
TEST_F(SpentRetryBudgetTest, partOfAFailureIsNotRelayedAsAWholeResponse)
{
    struct test_case
    {
        const char *text;
        int status;
    };
    std::int64_t start = 0;
    for (const auto &[text, status] : {
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 9\r\n\r\npart", 502},
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\npart\r\n",
                       502},
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 9\r\n\r\n", 502},
             // A whole failure is the endpoint's answer and is relayed.
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 4\r\n\r\npart", 500},
         }) {
        for (const auto kind : {route_kind::idempotent, route_kind::stream}) {
            setRoute({.kind = kind, .resumable = true, .maxAttempts = 2});
            raw_listener endpoint(m_loop);
            answerAndClose(endpoint, text);
            m_oldInstance.address = endpoint.address();
            registerEndpoint(m_oldInstance, ++start);
            call();
            EXPECT_EQ(m_status, status) << text << m_body;
            EXPECT_EQ(m_body == "part", status == 500) << text;
        }
    }
}

// Guards against an endpoint in trouble whose status is none, and which the caller gets as a
// response with that status.
TEST_F(ForwardRouterTest, responseWithoutAValidStatusIsNotRelayed)
{
    std::int64_t start = 0;
    for (const auto *status : {"000", "20 OK", "0200 OK", "600 High"}) {
        for (const auto kind : {route_kind::at_most_once, route_kind::stream}) {
            setRoute({.kind = kind, .maxAttempts = 1});
            raw_listener endpoint(m_loop);
            answerAndClose(endpoint, fmt::format("HTTP/1.1 {}\r\nSeal: s\r\nRequest-Id: r1\r\n"
                                                 "Content-Length: 4\r\n\r\ndone",
                                                 status));
            m_oldInstance.address = endpoint.address();
            registerEndpoint(m_oldInstance, ++start);
            call();
            EXPECT_EQ(m_status, 502) << status;
            EXPECT_NE(m_body, "done") << status;
        }
    }
}

// Guards against an endpoint's own failure that reaches the caller as the promise that nothing of
// the request was executed, after which callers repeat what must run at most once.
TEST_F(SpentRetryBudgetTest, failureOfAnEndpointIsNotRelayedAsAPromise)
{
    constexpr int ownFailure = 502;
    constexpr int serverError = 500;
    const auto routes = std::to_array<route_settings>({
        {.kind = route_kind::at_most_once, .maxAttempts = 2},
        {.kind = route_kind::stream, .maxAttempts = 2},
        {.kind = route_kind::stream, .resumable = true, .maxAttempts = 1},
        {.kind = route_kind::stream, .resumable = true, .maxAttempts = 2},
        {.kind = route_kind::idempotent, .maxAttempts = 1},
        {.kind = route_kind::idempotent, .maxAttempts = 2},
    });
    int status = 0;
    m_onReceived = [&](const fake_endpoint &, http_exchange &exchange) {
        exchange.reply(status, std::vector<http_header>{{.name = "Seal", .value = "s"}}, "ran");
    };
    registerEndpoint(m_oldInstance, 1);
    for (const auto &route : routes) {
        setRoute(route);
        for (const int promise : {408, 429, 503}) {
            status = promise;
            call();
            EXPECT_EQ(m_status, ownFailure) << promise;
            EXPECT_EQ(findHeader(m_outcomes.back().answer.headers, "Seal"), "") << promise;
        }
        status = serverError;
        call();
        EXPECT_EQ(m_status, serverError) << "a status that promises nothing is relayed";
        EXPECT_EQ(m_body, "ran");
    }
}

// The same where only a later endpoint states that it executed nothing: an earlier one may have.
TEST_F(ForwardRouterTest, refusalAfterALostAttemptIsNotRelayedAsAPromise)
{
    m_onReceived = [](const fake_endpoint &at, http_exchange &exchange) {
        if (at.received.size() == 1)
            exchange.abort();
        else
            exchange.reply(503,
                           std::vector<http_header>{{.name = "Seal", .value = "s"},
                                                    {.name = "Not-Run", .value = "1"}},
                           "");
    };
    setRoute({.kind = route_kind::idempotent, .maxAttempts = 2});
    registerEndpoint(m_oldInstance, 1);
    call();
    EXPECT_GE(m_oldInstance.received.size(), 2U);
    EXPECT_EQ(m_status, 502);
}

// A withheld promise must not cost a request that another endpoint can serve.
TEST_F(ForwardRouterTest, requestThatMayRunAgainIsRepeatedAfterAnyFailureOfAnEndpoint)
{
    for (const int status : {408, 429, 500, 503}) {
        bool isFirst = true;
        m_onReceived = [&](const fake_endpoint &, http_exchange &exchange) {
            if (std::exchange(isFirst, false))
                exchange.reply(status, std::vector<http_header>{{.name = "Seal", .value = "s"}},
                               "");
            else
                succeed(exchange);
        };
        setRoute({.kind = route_kind::idempotent, .maxAttempts = 2});
        registerEndpoint(m_oldInstance, 1, "e1");
        registerEndpoint(m_newInstance, 1, "e2");
        call();
        EXPECT_EQ(m_status, 200) << status;
    }
}

// Guards against a success whose head its endpoint broke off, and which reaches the caller as a
// whole response with an empty or short body.
TEST_F(ForwardRouterTest, headThatBreaksOffIsNeverASuccess)
{
    constexpr std::string_view head
        = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\nContent-Length: 12\r\n\r\n";
    std::int64_t start = 0;
    for (const auto kind : {route_kind::at_most_once, route_kind::stream}) {
        setRoute({.kind = kind, .maxAttempts = 1});
        for (std::size_t length = 0; length <= head.size(); length += 3) {
            raw_listener endpoint(m_loop);
            answerAndClose(endpoint, std::string(head.substr(0, length)));
            m_oldInstance.address = endpoint.address();
            registerEndpoint(m_oldInstance, ++start);
            call();
            EXPECT_EQ(m_status, 502) << head.substr(0, length);
        }
    }
}

// How an endpoint marks the end of a response's body.
enum class body_framing { length, chunks, connection_end };

// A success of an endpoint; its Content-Type is left out if `type` is empty.
auto successText(body_framing framing, std::string_view type, const std::string &body)
    -> std::string
{
    std::string text = "HTTP/1.1 200 OK\r\nSeal: s\r\n";
    if (!type.empty())
        text += fmt::format("Content-Type: {}\r\n", type);
    switch (framing) {
    case body_framing::length:
        return text + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    case body_framing::chunks:
        return text
               + fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                             body.size(), body);
    case body_framing::connection_end:
        return text + "\r\n" + body;
    }
    return text;
}

constexpr auto allFramings
    = std::to_array({body_framing::length, body_framing::chunks, body_framing::connection_end});

class BrokenStreamTest : public ForwardRouterTest
{
protected:
    static constexpr auto firstEvent = "id: 1\ndata: a\n\n";
    static constexpr auto secondEvent = "id: 2\ndata: b\n\n";

    // Registers two endpoints at the listener: a request gets `begun`, and one that resumes a
    // stream gets `rest`.
    auto serve(const std::string &begun, const std::string &rest) -> void
    {
        m_listener.onOpen = [begun, rest](raw_peer &peer) {
            peer.onChange = [&peer, begun, rest] {
                if (peer.hasEnded() || !peer.received().ends_with("\r\n\r\nx"))
                    return;
                const bool isResumed = peer.received().find("Last-Event-Id") != std::string::npos;
                peer.send(isResumed ? rest : begun);
                peer.close();
            };
        };
        ++m_start;
        for (const auto *id : {"e1", "e2"}) {
            fake_endpoint at{.address = m_listener.address()};
            registerEndpoint(at, m_start, id);
        }
    }

    raw_listener m_listener{m_loop};
    std::int64_t m_start = 0;
};

// The framing and Content-Type of a stream, and the start of an event at which it ends. A case
// each, because a router that has resumed some streams has no retry budget left.
using broken_stream = std::tuple<body_framing, const char *, const char *>;

class StreamBrokenInsideAnEventTest : public BrokenStreamTest,
                                      public testing::WithParamInterface<broken_stream>
{};

// Guards against a stream that its endpoint broke off inside an event and that reaches its caller
// as complete, because a length or a last chunk ended it.
TEST_P(StreamBrokenInsideAnEventTest, isResumedOrCutButNeverComplete)
{
    const auto &[framing, type, cut] = GetParam();
    serve(successText(framing, type, firstEvent + std::string(cut)),
          successText(framing, type, secondEvent));

    setRoute({.kind = route_kind::stream, .resumable = true, .maxAttempts = 2});
    call();
    EXPECT_TRUE(m_isWhole);
    EXPECT_EQ(m_body, std::string(firstEvent) + secondEvent);

    setRoute({.kind = route_kind::stream, .maxAttempts = 2});
    call();
    EXPECT_FALSE(m_isWhole);
    EXPECT_EQ(m_status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    FramingsAndTypes, StreamBrokenInsideAnEventTest,
    testing::Combine(testing::ValuesIn(allFramings),
                     testing::Values("text/event-stream", "Text/Event-Stream; charset=utf-8", ""),
                     testing::Values("i", "id: 2\ndata: b", "id: 2\ndata: b\n", "id: 2\r\n")));

// Guards against a stream whose endpoint crashed after the head and before the first event, and
// which reaches its caller as complete and empty.
TEST_F(BrokenStreamTest, unframedStreamWithoutAnEventIsNotComplete)
{
    for (const auto *type : {"text/event-stream", ""}) {
        serve(successText(body_framing::connection_end, type, ""),
              successText(body_framing::connection_end, type, ""));
        for (const bool isResumable : {false, true}) {
            setRoute({.kind = route_kind::stream, .resumable = isResumable, .maxAttempts = 2});
            call();
            EXPECT_EQ(m_status, 502) << type;
        }
    }
}

// An endpoint may have nothing left to send, and says so by a length or a last chunk, or by a
// status that has no body.
TEST_F(BrokenStreamTest, emptyStreamThatSaysSoIsComplete)
{
    setRoute({.kind = route_kind::stream, .maxAttempts = 1});
    for (const auto *text :
         {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
          "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"}) {
        serve(text, "");
        call();
        EXPECT_TRUE(m_isWhole) << text;
        EXPECT_LT(m_status, 300) << text;
        EXPECT_EQ(m_body, "") << text;
    }
}

// A stream that ends inside an event, on routes that do not relay events as they arrive.
TEST_F(BrokenStreamTest, heldResponseThatEndsInsideAnEventIsNotRelayed)
{
    for (const auto framing : allFramings) {
        const auto cut = successText(framing, "text/event-stream", "id: 1\ndata: a");
        serve(cut, cut);
        for (const auto kind : {route_kind::at_most_once, route_kind::idempotent}) {
            setRoute({.kind = kind, .maxAttempts = 2});
            call();
            EXPECT_EQ(m_status, 502) << fmt::underlying(framing);
        }
    }
}

// A check that is too strict cuts sound streams.
TEST_F(BrokenStreamTest, streamThatEndsWithABlankLineIsComplete)
{
    for (const auto framing : allFramings) {
        for (const std::string body : {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n",
                                       "id: 1\rdata: a\r\r", "id: 1\ndata: a\n\r\n"}) {
            serve(successText(framing, "text/event-stream", body), "");
            for (const bool isResumable : {false, true}) {
                setRoute({.kind = route_kind::stream, .resumable = isResumable, .maxAttempts = 1});
                call();
                EXPECT_TRUE(m_isWhole) << body;
                EXPECT_EQ(m_body, body);
            }
        }
        // Another format has no events to end inside of.
        serve(successText(framing, "application/json", "{}"), "");
        setRoute({.kind = route_kind::stream, .maxAttempts = 1});
        call();
        EXPECT_TRUE(m_isWhole);
        EXPECT_EQ(m_body, "{}");
    }
}

constexpr std::size_t maxHeldBytes = 1U << 20U;

class EndlessResponseTest : public ForwardRouterTest
{
protected:
    EndlessResponseTest() : ForwardRouterTest({.maxHeldBytes = maxHeldBytes}) {}
};

// Guards against endpoints that send without end on many connections until the process runs out of
// memory, and the requests of all callers end with it.
TEST_F(EndlessResponseTest, heldResponsesAreBoundedTogetherAndSoundOnesStay)
{
    constexpr std::size_t endlessCalls = 6;
    const std::string block(16U << 10U, 'x');
    registerEndpoint(m_oldInstance, 1, "e1");
    registerEndpoint(m_newInstance, 1, "e2");
    std::shared_ptr<http_exchange> sound;
    std::vector<std::shared_ptr<http_exchange>> endless;
    m_onReceived = [&](const fake_endpoint &at, http_exchange &exchange) {
        const auto &held = at.received.back();
        if (exchange.header("Request-Id") == "sound") {
            exchange.startSized(200, std::vector<http_header>{{.name = "Seal", .value = "s"}}, 4);
            exchange.sendChunk("do");
            sound = held;
            return;
        }
        // A failure, so that it may not be passed on before it is whole.
        exchange.startStream(500, std::vector<http_header>{{.name = "Seal", .value = "s"}});
        endless.push_back(held);
    };
    std::size_t mostHeld = 0;
    const auto sender = m_loop.every(std::chrono::milliseconds(1), [&] {
        mostHeld = std::max(mostHeld, m_router.heldBytes());
        for (const auto &each : endless) {
            if (each->backlogBytes() == 0)
                each->sendChunk(block);
        }
    });
    beginCall("sound");
    ASSERT_TRUE(runUntil(m_loop, [&] { return sound != nullptr; }));
    for (std::size_t number = 0; number < endlessCalls; ++number)
        beginCall("endless" + std::to_string(number));
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_outcomes.size() >= 2; }));
    for (const auto &outcome : m_outcomes)
        EXPECT_EQ(outcome.answer.status, 502);
    EXPECT_GT(mostHeld, maxHeldBytes / 2);
    EXPECT_LE(mostHeld, maxHeldBytes);

    m_outcomes.clear();
    sound->sendChunk("ne");
    sound->endStream();
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return std::ranges::any_of(m_outcomes, [](const auto &outcome) {
            return outcome.answer.status == 200 && outcome.body == "done";
        });
    }));
    // Those that went on until their callers' deadline are given up as well.
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_router.liveCount() == 0; }));
    EXPECT_EQ(m_router.heldBytes(), 0U);
}

// Streams that may be resumed, at an endpoint that sends nothing for a while and then goes on.
template<class Fixture>
class paused_stream : public Fixture
{
protected:
    paused_stream()
    {
        this->setRoute({.kind = route_kind::stream,
                        .resumable = true,
                        .gapTarget = std::chrono::milliseconds(100),
                        .maxAttempts = 2});
        this->m_onReceived = [this](const auto &at, http_exchange &exchange) {
            exchange.startStream(200, std::vector<http_header>{{.name = "Seal", .value = "s"}});
            if (!exchange.header("Last-Event-Id").empty()) {
                exchange.sendChunk("id: 2\ndata: resumed\n\n");
                exchange.endStream();
                return;
            }
            exchange.sendChunk("id: 1\ndata: first\n\n");
            m_resume = this->m_loop.after(pause, [held = at.received.back()] {
                held->sendChunk("id: 2\ndata: second\n\n");
                held->endStream();
            });
        };
    }

    // Longer than the stall timeout of the route, which is 400 ms.
    static constexpr duration pause = std::chrono::milliseconds(700);
    static constexpr auto whole = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n";

    event_handle m_resume;
    std::int64_t m_start = 0;
};

class PausedStreamTest : public paused_stream<ForwardRouterTest>
{};

class PausedStreamSpentBudgetTest : public paused_stream<SpentRetryBudgetTest>
{};

// Guards against streams that are cut because their endpoint paused: the call was cancelled before
// the retry budget was asked, which then denied another send.
TEST_F(PausedStreamSpentBudgetTest, streamStaysWithItsEndpointWithoutARetryBudget)
{
    registerEndpoint(m_oldInstance, 1, "e1");
    registerEndpoint(m_newInstance, 1, "e2");
    call();
    EXPECT_TRUE(m_isWhole);
    EXPECT_EQ(m_body, whole);
}

// The same without another endpoint: the call was cancelled before a place was found.
TEST_F(PausedStreamTest, streamStaysWithItsEndpointIfNoOtherHasRoom)
{
    registerEndpoint(m_oldInstance, 1, "e1");
    call();
    EXPECT_TRUE(m_isWhole);
    EXPECT_EQ(m_body, whole);
    EXPECT_EQ(m_oldInstance.received.size(), 1U);
}

// With a budget and room elsewhere, the caller does not wait for the endpoint.
TEST_F(PausedStreamTest, streamMovesToAnEndpointWithRoom)
{
    registerEndpoint(m_oldInstance, 1, "e1");
    registerEndpoint(m_newInstance, 1, "e2");
    call();
    EXPECT_TRUE(m_isWhole);
    EXPECT_EQ(m_body, "id: 1\ndata: first\n\nid: 2\ndata: resumed\n\n");
    EXPECT_EQ(m_router.uses().size(), 0U);
}

// Guards against streams that are cut although their endpoint only paused: the other endpoint, to
// which they were moved, does not take them over.
TEST_F(PausedStreamTest, streamGoesOnWhereItPausedIfTheOtherEndpointDoesNotTakeIt)
{
    enum class refusal { not_run, failure, reset, silence, head_only };
    const auto whenPaused = m_onReceived;
    for (const auto how : {refusal::not_run, refusal::failure, refusal::reset, refusal::silence,
                           refusal::head_only}) {
        m_onReceived = [&](const auto &at, http_exchange &exchange) {
            if (exchange.header("Last-Event-Id").empty()) {
                whenPaused(at, exchange);
                return;
            }
            switch (how) {
            case refusal::not_run:
                exchange.reply(503, std::vector<http_header>{{.name = "Not-Run", .value = "1"}},
                               "");
                return;
            case refusal::failure:
                exchange.reply(500, std::vector<http_header>{{.name = "Seal", .value = "s"}}, "no");
                return;
            case refusal::reset:
                exchange.abort();
                return;
            case refusal::silence:
                return;
            case refusal::head_only:
                exchange.startStream(200, std::vector<http_header>{{.name = "Seal", .value = "s"}});
                return;
            }
        };
        m_oldInstance.received.clear();
        m_newInstance.received.clear();
        ++m_start;
        registerEndpoint(m_oldInstance, m_start, "e1");
        registerEndpoint(m_newInstance, m_start, "e2");
        call();
        EXPECT_TRUE(m_isWhole) << static_cast<int>(how);
        EXPECT_EQ(m_body, whole) << static_cast<int>(how);
        EXPECT_EQ(m_oldInstance.received.size() + m_newInstance.received.size(), 2U);
        EXPECT_EQ(m_router.uses().size(), 0U);
    }
}

} // namespace
} // namespace mustardline
