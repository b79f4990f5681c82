// Tests of the router over sockets, with endpoints that the test controls.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/forward_router.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/testing/raw_peer.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto testNames() -> header_names
{
    return {.requestId = "Request-Id",
            .deadline = "Deadline",
            .expectEndpoint = "Expect-Endpoint",
            .account = "Account",
            .seal = "Seal",
            .notRun = "Not-Run",
            .leaving = "Leaving",
            .priority = "Priority",
            .lastEventId = "Last-Event-Id",
            .promptParts = "Prompt-Parts",
            .tokenCounts = "Token-Counts"};
}

class ForwardRouterTest : public testing::Test
{
protected:
    struct fake_endpoint
    {
        std::unique_ptr<http_server> server;
        socket_address address;
        std::vector<std::shared_ptr<http_exchange>> received;
    };

    ForwardRouterTest()
        : m_router(m_loop, m_http, m_log, m_metrics, m_routes, m_directory,
                   {.dataCentre = "tuzla", .names = testNames()})
    {
        fleet_configuration configuration{.version = 1};
        configuration.routes.push_back({.name = "orders",
                                        .host = "a.example",
                                        .pathPrefix = "/",
                                        .kind = route_kind::at_most_once,
                                        .timeout = seconds(2),
                                        .maxAttempts = 2,
                                        .targets = {{.service = "orders", .weight = 1}}});
        configuration.services.push_back({.name = "orders"});
        m_routes.replace(std::make_shared<const fleet_configuration>(configuration));
        for (auto *each : {&m_oldInstance, &m_newInstance}) {
            each->server = std::make_unique<http_server>(m_loop, http_server_options());
            each->server->onRequest([this, each](const std::shared_ptr<http_exchange> &exchange) {
                each->received.push_back(exchange);
                if (m_onReceived)
                    m_onReceived(*each, *exchange);
            });
            each->address
                = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(each->server->listen())};
        }
        m_callerServer.onRequest(
            [this](const std::shared_ptr<http_exchange> &exchange) { m_router.handle(exchange); });
        m_callerAddress
            = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(m_callerServer.listen())};
        m_timeout = m_loop.after(seconds(6), [this] { m_loop.stop(); });
    }

    // Registers an instance of the endpoint "e1" at that address.
    auto registerEndpoint(const fake_endpoint &at, std::int64_t startedAtMs) -> void
    {
        m_directory.applyRegistration({.id = "e1",
                                       .service = "orders",
                                       .address = at.address,
                                       .dataCentre = "tuzla",
                                       .slots = 4,
                                       .startedAtMs = startedAtMs},
                                      m_clock.now());
        m_router.endpointsChanged();
    }

    auto call(std::string_view promptParts = {}) -> void
    {
        m_client.fetch(
            m_callerAddress,
            {.method = "POST",
             .path = "/new",
             .headers = {{.name = "host", .value = "a.example"},
                         {.name = "Request-Id", .value = "r1"},
                         {.name = "Prompt-Parts", .value = std::string(promptParts)}},
             .body = "x"},
            [this](const http_outcome &, const http_answer &answer, const std::string &body) {
                m_status = answer.status;
                m_body = body;
                m_loop.stop();
            });
        m_loop.run();
    }

    static auto succeed(http_exchange &exchange) -> void
    {
        exchange.reply(200, std::vector<http_header>{{.name = "Seal", .value = "s"}}, "done");
    }

    [[nodiscard]] auto isUsable() const -> bool
    {
        const auto *entry = m_directory.find("e1");
        return entry != nullptr && m_directory.isUsable(*entry);
    }

    std::function<auto(const fake_endpoint &, http_exchange &)->void> m_onReceived;

    event_loop m_loop;
    system_runtime_clock m_clock;
    http_client m_http{m_loop, {}};
    http_client m_client{m_loop, {}};
    logger m_log{{.sink = [](std::string_view) {}}};
    counters m_metrics;
    route_table m_routes;
    endpoint_directory m_directory{{}};
    forward_router m_router;
    fake_endpoint m_oldInstance;
    fake_endpoint m_newInstance;
    http_server m_callerServer{m_loop, {}};
    socket_address m_callerAddress;
    event_handle m_timeout;
    int m_status = 0;
    std::string m_body;
};

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
