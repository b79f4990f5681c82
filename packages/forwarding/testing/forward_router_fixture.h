#pragma once

// A router between a caller and endpoints that the test controls, over sockets of loopback.
//
//     class MyTest : public ForwardRouterTest {};
//     TEST_F(MyTest, ...)
//     {
//         registerEndpoint(m_oldInstance, 1);
//         m_onReceived = [](const fake_endpoint &, http_exchange &exchange) { succeed(exchange); };
//         call();
//         EXPECT_EQ(m_status, 200);
//     }

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/forward_router.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/testing/raw_peer.h"

namespace mustardline {

inline auto testNames() -> header_names
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
            .resumes = "Stream-Began-By",
            .promptParts = "Prompt-Parts",
            .tokenCounts = "Token-Counts"};
}

class ForwardRouterTest : public testing::Test
{
protected:
    static constexpr std::uint32_t endpointSlots = 4;

    struct fake_endpoint
    {
        std::unique_ptr<http_server> server;
        socket_address address;
        std::vector<std::shared_ptr<http_exchange>> received;
    };

    // Where not told otherwise, the only route is one whose requests run at most once.
    explicit ForwardRouterTest(forward_router_options options = {})
        : m_router(m_loop, m_http, m_log, m_metrics, m_routes, m_directory,
                   withNames(std::move(options)))
    {
        setRoute({.kind = route_kind::at_most_once, .maxAttempts = 2});
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
    }

    static auto withNames(forward_router_options options) -> forward_router_options
    {
        options.dataCentre = "tuzla";
        options.names = testNames();
        return options;
    }

    // Replaces the configuration by one with this route alone; its names and timeout are added.
    auto setRoute(route_settings route) -> void
    {
        route.name = "orders";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.timeout = std::chrono::seconds(2);
        route.targets = {{.service = "orders", .weight = 1}};
        fleet_configuration configuration{.version = ++m_version};
        configuration.routes.push_back(std::move(route));
        configuration.services.push_back({.name = "orders"});
        m_routes.replace(std::make_shared<const fleet_configuration>(configuration));
    }

    // Registers an instance of an endpoint at that address.
    auto registerEndpoint(const fake_endpoint &at, std::int64_t startedAtMs,
                          const std::string &id = "e1") -> void
    {
        m_directory.applyRegistration({.id = id,
                                       .service = "orders",
                                       .address = at.address,
                                       .dataCentre = "tuzla",
                                       .slots = endpointSlots,
                                       .startedAtMs = startedAtMs},
                                      m_clock.now());
        m_router.endpointsChanged();
    }

    // What a caller got.
    struct caller_outcome
    {
        bool isWhole = false;
        http_answer answer;
        std::string body;
    };

    // Sends a request; what its caller gets is added to `m_outcomes`.
    auto beginCall(const std::string &id = "r1", std::string_view promptParts = {}) -> void
    {
        auto headers = m_moreHeaders;
        headers.push_back({.name = "host", .value = "a.example"});
        headers.push_back({.name = "Request-Id", .value = id});
        headers.push_back({.name = "Prompt-Parts", .value = std::string(promptParts)});
        m_client.fetch(
            m_callerAddress, {.method = "POST", .path = "/new", .headers = headers, .body = "x"},
            [this](const http_outcome &outcome, const http_answer &answer,
                   const std::string &body) {
                m_outcomes.push_back({.isWhole = std::holds_alternative<std::monostate>(outcome),
                                      .answer = answer,
                                      .body = body});
            });
    }

    // Sends a request and runs the loop until its caller has the response.
    auto call(std::string_view promptParts = {}) -> void
    {
        m_outcomes.clear();
        beginCall("r1", promptParts);
        ASSERT_TRUE(runUntil(m_loop, [this] { return !m_outcomes.empty(); }));
        m_isWhole = m_outcomes.back().isWhole;
        m_status = m_outcomes.back().answer.status;
        m_body = m_outcomes.back().body;
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
    // All lines of the log.
    std::string m_logged;
    logger m_log{{.sink = [this](std::string_view text) { m_logged += text; }}};
    counters m_metrics;
    route_table m_routes;
    endpoint_directory m_directory{{}};
    forward_router m_router;
    fake_endpoint m_oldInstance;
    fake_endpoint m_newInstance;
    http_server m_callerServer{m_loop, {}};
    socket_address m_callerAddress;
    // Sent with each request.
    std::vector<http_header> m_moreHeaders;
    std::uint64_t m_version = 0;
    std::vector<caller_outcome> m_outcomes;
    // What the caller got of the last `call`.
    bool m_isWhole = false;
    int m_status = 0;
    std::string m_body;
};

} // namespace mustardline
