// Tests of the router over sockets, with endpoints that the test controls.

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/testing/forward_router_fixture.h"
#include "net/testing/raw_peer.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

// Guards against an endpoint that is taken out of use because another process, at the address of
// its earlier instance, responded with 421 (misdirected request).
TEST_F(ForwardRouterTest, misdirectedFromOldAddressKeepsNewInstanceUsable)
{
    registerEndpoint(m_oldInstance, 1);
    m_onReceived = [this](const fake_endpoint &at, http_exchange &exchange) {
        if (&at == &m_newInstance) {
            succeed(exchange);
            return;
        }
        registerEndpoint(m_newInstance, 2);
        exchange.reply(421, {}, "");
    };
    call();
    EXPECT_TRUE(isUsable()) << "the later instance was taken out of use";
    EXPECT_EQ(m_status, 200) << m_body;
    EXPECT_EQ(m_newInstance.received.size(), 1U);
}

// Guards against one client whose requests take every connection of callers.
class FewPlacesTest : public ForwardRouterTest
{
protected:
    FewPlacesTest() : ForwardRouterTest({.maxRequests = 8}) {}
};

TEST_F(FewPlacesTest, accountWithTooManyRequestsUnderWayIsRefused)
{
    registerEndpoint(m_oldInstance, 1);
    std::vector<std::unique_ptr<raw_peer>> callers;
    for (int count = 0; count < 7; ++count) {
        callers.push_back(std::make_unique<raw_peer>(m_loop, m_callerAddress));
        callers.back()->send("GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n\r\n");
    }
    runUntil(m_loop, [this] { return m_router.liveCount() == 7; });
    call();
    EXPECT_EQ(m_status, 503) << m_body;
    EXPECT_EQ(m_router.liveCount(), 7U);
    callers.clear();
    runUntil(m_loop, [this] { return m_router.liveCount() == 0; });
    m_onReceived = [](const fake_endpoint &, http_exchange &exchange) { succeed(exchange); };
    call();
    EXPECT_EQ(m_status, 200) << m_body;
}

// The same with an earlier instance that responds to its last request and says that it is shutting
// down.
TEST_F(ForwardRouterTest, leavingHeaderOfOldInstanceKeepsNewInstanceUsable)
{
    registerEndpoint(m_oldInstance, 1);
    m_onReceived = [this](const fake_endpoint &, http_exchange &exchange) {
        registerEndpoint(m_newInstance, 2);
        exchange.reply(200,
                       std::vector<http_header>{{.name = "Seal", .value = "s"},
                                                {.name = "Leaving", .value = "1"}},
                       "done");
    };
    call();
    EXPECT_EQ(m_status, 200) << m_body;
    EXPECT_TRUE(isUsable()) << "the later instance was taken out of use";
}

// Guards against an endpoint's earlier refusal that is read as the response to a later request on
// the same connection: the caller is told "not run" for a request that runs.
TEST_F(ForwardRouterTest, repeatedRefusalOfAnEarlierRequestProvesNothing)
{
    constexpr std::string_view refusal
        = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    raw_listener endpoint(m_loop);
    auto requests = 0;
    endpoint.onOpen = [&](raw_peer &peer) {
        peer.onChange = [&requests, &peer, refusal, answered = std::size_t{0}]() mutable {
            const auto ends = peer.received().find("\r\n\r\nx", answered);
            if (ends == std::string::npos)
                return;
            answered = ends + 1;
            if (++requests == 1)
                peer.send("HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\nContent-Length: 4\r\n"
                          "\r\ndone");
            else
                peer.send(refusal);
        };
    };
    m_oldInstance.address = endpoint.address();
    registerEndpoint(m_oldInstance, 1);
    call();
    EXPECT_EQ(m_status, 200) << m_body;
    call();
    EXPECT_EQ(m_status, 502) << m_body;
    EXPECT_EQ(requests, 2) << "a request that may run once was sent again";
}

// Guards against a second copy of an endpoint's refusal that is read as the response to the next
// send of the same attempt on that connection: the id is the same, the caller is told "not run",
// and the request runs.
TEST_F(ForwardRouterTest, surplusRefusalIsNotTakenForTheNextSendOfTheSameAttempt)
{
    constexpr std::string_view refusal
        = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: r1\r\n"
          "Content-Length: 0\r\n\r\n";
    constexpr std::string_view success
        = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ndone";
    raw_listener endpoint(m_loop);
    auto requests = 0;
    auto runs = 0;
    endpoint.onOpen = [&](raw_peer &peer) {
        peer.onChange = [&, answered = std::size_t{0}, refused = false]() mutable {
            const auto ends = peer.received().find("\r\n\r\nx", answered);
            if (ends == std::string::npos)
                return;
            answered = ends + 1;
            if (++requests == 1) {
                refused = true;
                peer.send(refusal);
                return;
            }
            ++runs;
            if (refused)
                peer.send(refusal);
            peer.send(success);
        };
    };
    m_oldInstance.address = endpoint.address();
    registerEndpoint(m_oldInstance, 1);
    call();
    EXPECT_EQ(m_status, 200) << m_body;
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(endpoint.peers().size(), 2U) << "the attempt was sent twice on one connection";
}

// Guards against a deadline whose sum with the clock overflows: the request ran and was answered as
// too late at once.
TEST_F(ForwardRouterTest, deadlineBeyondTheClockIsThatOfTheRoute)
{
    m_onReceived = [](const fake_endpoint &, http_exchange &exchange) { succeed(exchange); };
    registerEndpoint(m_oldInstance, 1);
    for (const auto *deadline : {"9223372036854775807", "9223372036854", "99999999999999999999"}) {
        m_moreHeaders = {{.name = "Deadline", .value = deadline}};
        call();
        EXPECT_EQ(m_status, 200) << deadline;
    }
    m_oldInstance.received.clear();
    for (const auto *deadline : {"0", "-1", "-9223372036854775808"}) {
        m_moreHeaders = {{.name = "Deadline", .value = deadline}};
        call();
        EXPECT_EQ(m_status, 503) << deadline;
    }
    EXPECT_EQ(m_oldInstance.received.size(), 0U);
}

// Guards against requests that crash one endpoint after the other because a part of their prompts
// does so, and against refusing the sound ones that share their other parts.
TEST_F(ForwardRouterTest, promptPartThatCrashesEndpointsIsSoonRefused)
{
    constexpr auto rounds = 8;
    // The part is blocked after three crashes.
    constexpr auto maxCrashes = 3;
    std::int64_t start = 1;
    auto crashes = 0;
    registerEndpoint(m_oldInstance, start);
    m_onReceived = [&](const fake_endpoint &, http_exchange &exchange) {
        if (exchange.header("Prompt-Parts").find("dead") == std::string_view::npos) {
            succeed(exchange);
            return;
        }
        ++crashes;
        exchange.abort();
    };
    for (auto round = 0; round < rounds; ++round) {
        call("common:500,dead:300,own" + std::to_string(round) + ":9");
        EXPECT_EQ(m_status, round < maxCrashes ? 502 : 503) << round;
        registerEndpoint(m_oldInstance, ++start);
        call("common:500,fine:300,own:9");
        EXPECT_EQ(m_status, 200) << round << ": " << m_body;
    }
    EXPECT_EQ(crashes, maxCrashes);
}

// The same where streams have neither a length nor chunks: the kernel of an endpoint that crashes
// ends the connection in an orderly way, and a stream that ended inside an event was not taken for
// lost.
TEST_F(ForwardRouterTest, promptPartThatCrashesEndpointsWithUnframedStreamsIsSoonRefused)
{
    constexpr auto rounds = 6;
    constexpr auto maxCrashes = 3;
    setRoute({.kind = route_kind::stream, .maxAttempts = 2});
    raw_listener endpoint(m_loop);
    auto crashes = 0;
    endpoint.onOpen = [&](raw_peer &peer) {
        peer.onChange = [&] {
            if (peer.hasEnded() || !peer.received().ends_with("\r\n\r\nx"))
                return;
            const bool isCrash = peer.received().find("dead") != std::string::npos;
            crashes += isCrash ? 1 : 0;
            peer.send(std::string("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n")
                      + (isCrash ? "id: 1\nda" : "id: 1\ndata: a\n\n"));
            peer.close();
        };
    };
    m_oldInstance.address = endpoint.address();
    std::int64_t start = 1;
    registerEndpoint(m_oldInstance, start);
    for (auto round = 0; round < rounds; ++round) {
        call("common:500,dead:300,own" + std::to_string(round) + ":9");
        EXPECT_FALSE(m_isWhole && m_status == 200) << round;
        EXPECT_EQ(m_status == 503, round >= maxCrashes) << round;
        registerEndpoint(m_oldInstance, ++start);
        call("common:500,fine:300,own:9");
        EXPECT_TRUE(m_isWhole && m_status == 200) << round << ": " << m_body;
    }
    EXPECT_EQ(crashes, maxCrashes);
}

// Guards against a request that waits for a place when a stopping process exits, and whose caller
// gets no answer at all.
TEST_F(ForwardRouterTest, waitingRequestsAreRejectedWhenPlacingStops)
{
    registerEndpoint(m_oldInstance, 1);
    for (std::uint32_t number = 0; number <= endpointSlots; ++number)
        beginCall("r" + std::to_string(number));
    const auto &held = m_oldInstance.received;
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return held.size() == endpointSlots && m_router.liveCount() == endpointSlots + 1;
    }));
    EXPECT_TRUE(m_outcomes.empty());

    m_router.stopPlacing();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_outcomes.size() == 1; }));
    EXPECT_TRUE(m_outcomes[0].isWhole);
    EXPECT_EQ(m_outcomes[0].answer.status, 503) << "it has not run";
    EXPECT_NE(findHeader(m_outcomes[0].answer.headers, "retry-after"), "");

    // What an endpoint returns is not placed again; what it answers reaches the caller.
    held[0]->reply(503, std::vector<http_header>{{.name = "Not-Run", .value = "1"}}, "");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_outcomes.size() == 2; }));
    EXPECT_EQ(m_outcomes[1].answer.status, 503);
    succeed(*held[1]);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_outcomes.size() == 3; }));
    EXPECT_EQ(m_outcomes[2].answer.status, 200);

    beginCall("late");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_outcomes.size() == 4; }));
    EXPECT_EQ(m_outcomes[3].answer.status, 503);
    EXPECT_EQ(held.size(), endpointSlots) << "a request was placed";
}

// Guards against requests that are cut without a response when a stopping process exits, among them
// those that may run once: they are told that their outcome is unknown.
TEST_F(ForwardRouterTest, requestsThatEndpointsHaveGetAFinalResponseAtTheEnd)
{
    registerEndpoint(m_oldInstance, 1);
    beginCall("r1");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_oldInstance.received.size() == 1; }));
    m_router.endAll();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_outcomes.size() == 1; }));
    EXPECT_TRUE(m_outcomes[0].isWhole);
    EXPECT_EQ(m_outcomes[0].answer.status, 502) << "it may have run";
    EXPECT_EQ(m_router.liveCount(), 0U);
}

// Guards against a router that is called after its destruction: the process exits with requests in
// flight, and the callers' server is destroyed after the router. Only the sanitizer build detects
// this reliably.
TEST(ForwardRouterDestructionTest, callerConnectionsMayOutliveTheRouter)
{
    event_loop loop;
    http_client client(loop, {});
    http_client endpoints(loop, {});
    logger log({.sink = [](std::string_view) {}});
    counters metrics;
    route_table routes;
    endpoint_directory directory({});
    auto callers = std::make_unique<http_server>(loop, http_server_options());
    auto router = std::make_unique<forward_router>(loop, endpoints, log, metrics, routes, directory,
                                                   forward_router_options{.names = testNames()});
    fleet_configuration configuration{.version = 1};
    configuration.routes.push_back({.name = "orders",
                                    .host = "a.example",
                                    .pathPrefix = "/",
                                    .timeout = seconds(9),
                                    .targets = {{.service = "orders"}}});
    configuration.services.push_back({.name = "orders"});
    routes.replace(std::make_shared<const fleet_configuration>(configuration));
    http_server endpoint(loop, {});
    std::vector<std::shared_ptr<http_exchange>> held;
    endpoint.onRequest([&](const std::shared_ptr<http_exchange> &exchange) {
        held.push_back(exchange);
        loop.stop();
    });
    directory.applyRegistration(
        {.id = "e1",
         .service = "orders",
         .address = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(endpoint.listen())}},
        system_runtime_clock().now());
    router->endpointsChanged();
    callers->onRequest(
        [&](const std::shared_ptr<http_exchange> &exchange) { router->handle(exchange); });
    const socket_address callerAddress{.host = "127.0.0.1",
                                       .port = std::get<std::uint16_t>(callers->listen())};
    const auto call = client.fetch(
        callerAddress,
        {.method = "POST", .path = "/", .headers = {{.name = "host", .value = "a.example"}}},
        [](const http_outcome &, const http_answer &, const std::string &) {});
    const auto timeLimit = loop.after(seconds(5), [&loop] { loop.stop(); });
    loop.run();
    ASSERT_EQ(held.size(), 1U);
    ASSERT_EQ(router->liveCount(), 1U);
    router.reset();
    callers.reset();
}

} // namespace
} // namespace mustardline
