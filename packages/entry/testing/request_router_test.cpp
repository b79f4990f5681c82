// Tests how the router handles requests whose agents were lost after they may have run them.

#include "entry/request_router.h"

#include <algorithm>
#include <memory>

#include <gtest/gtest.h>

#include "base/hashing.h"
#include "coordination/testing/configuration_records.h"
#include "entry/key_text.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {
namespace {

constexpr std::string_view keySecret = "secret";

// A router, its caller and two agents in one event loop. The agents close the connection of the
// first run request without a reply, or of every one if `m_closesAllRuns` is set. Asked for a fate,
// an agent answers "done" and then goes away.
class RequestRouterTest : public testing::Test
{
protected:
    struct agent
    {
        std::string id;
        std::unique_ptr<http_server> server;
        std::uint32_t runs = 0;
    };

    RequestRouterTest()
        : m_router(m_loop, m_http, m_log, m_metrics, m_config, m_claims,
                   {.dataCentre = "tuzla", .keySecret = std::string(keySecret)})
    {
        m_config.onChange([this](v1::EntityKind kind, const std::string &id) {
            m_router.configurationChanged(kind, id);
        });
        v1::Entity entity = classOf("quick");
        entity.mutable_request_class()->set_deadline_ms(1500);
        add(entity);
        add(accountOf("a", {"quick"}));
        m_key = makeKeyText();
        entity = keyOf(std::string(*keyIdOf(m_key)), "a");
        entity.mutable_key()->set_hash(keyedHash(keySecret, m_key));
        add(entity);
        addServiceRoute("/services/orders/", false);
        addServiceRoute("/services/looks/", true);
        add(dataCentreOf("tuzla"));
        for (auto &each : m_agents) {
            each.server = std::make_unique<http_server>(m_loop, http_server_options());
            each.server->onRequest([this, &each](const std::shared_ptr<http_exchange> &exchange) {
                handleAgentRequest(each, exchange);
            });
            const auto port = std::get<std::uint16_t>(each.server->listen());
            entity = endpointOf(each.id, "tuzla");
            entity.mutable_endpoint()->set_kind(v1::ENDPOINT_KIND_SERVICE);
            entity.mutable_endpoint()->set_serves(0, "orders");
            entity.mutable_endpoint()->set_agent_address("127.0.0.1:" + std::to_string(port));
            add(entity);
        }
        m_callerServer.onRequest(
            [this](const std::shared_ptr<http_exchange> &exchange) { m_router.handle(exchange); });
        m_callerAddress
            = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(m_callerServer.listen())};
        m_tickTimer = m_loop.every(std::chrono::milliseconds(2), [this] { m_router.tick(); });
        m_sweepTimer = m_loop.every(std::chrono::milliseconds(100), [this] { m_router.sweep(); });
        m_timeoutTimer = m_loop.after(std::chrono::seconds(8), [this] { m_loop.stop(); });
    }

    // Prints the router's log if the test failed.
    auto TearDown() -> void override
    {
        if (!HasFailure())
            return;
        for (const auto &line : m_lines)
            std::puts(line.c_str());
    }

    auto add(const v1::Entity &entity) -> void
    {
        const auto id = std::to_string(++m_sequence);
        m_config.apply(m_sequence,
                       changeOf({{.entity = entity}}, {.changeId = id, .sequence = m_sequence}));
        ASSERT_EQ(m_config.decision(id)->code, result_code::ok) << m_config.decision(id)->message;
    }

    auto addServiceRoute(const std::string &prefix, bool isIdempotent) -> void
    {
        v1::Entity entity;
        auto &route = *entity.mutable_route();
        route.set_id(prefix);
        route.set_kind(v1::ROUTE_KIND_SERVICE);
        route.set_service("orders");
        route.set_idempotent(isIdempotent);
        add(entity);
    }

    auto handleAgentRequest(agent &each, const std::shared_ptr<http_exchange> &exchange) -> void
    {
        const std::vector<http_header> agentHeaders{
            {.name = "mustardline-boot", .value = "boot-" + each.id}};
        if (exchange->path() == "/v1/run") {
            ++each.runs;
            if (m_closesAllRuns || m_agents[0].runs + m_agents[1].runs == 1) {
                exchange->abort();
                return;
            }
            auto headers = agentHeaders;
            for (const auto *name : {"mustardline-request", "mustardline-attempt"})
                headers.push_back({.name = name, .value = std::string(exchange->header(name))});
            headers.push_back({.name = "mustardline-result", .value = "0"});
            exchange->reply(200, headers, "ran again");
        } else if (exchange->path().starts_with("/v1/fate/")) {
            exchange->reply(200, agentHeaders,
                            R"({"fate":"done","boot":"boot-)" + each.id + R"("})");
            // The agent's process ends right after this answer.
            m_loop.post([&each] { each.server.reset(); });
        } else {
            exchange->reply(200, agentHeaders, "ok");
        }
    }

    auto call(const std::string &path) -> void
    {
        m_client.fetch(
            m_callerAddress,
            {.method = "POST",
             .path = path,
             .headers = {{.name = "authorization", .value = "Bearer " + m_key},
                         {.name = "content-type", .value = "application/json"}},
             .body = "{}"},
            [this](const http_outcome &, const http_answer &answer, const std::string &body) {
                m_status = answer.status;
                m_body = body;
                m_loop.stop();
            });
        m_loop.run();
    }

    event_loop m_loop;
    http_client m_http{m_loop, {}};
    http_client m_client{m_loop, {}};
    std::vector<std::string> m_lines;
    logger m_log{{.sink = [this](std::string_view line) { m_lines.emplace_back(line); }}};
    counters m_metrics;
    configuration m_config;
    claim_keeper m_claims{m_loop, m_http, m_log, {.entryName = "entry-1"}};
    request_router m_router;
    std::array<agent, 2> m_agents{{{.id = "e1"}, {.id = "e2"}}};
    http_server m_callerServer{m_loop, {}};
    socket_address m_callerAddress;
    std::string m_key;
    std::uint64_t m_sequence = 0;
    bool m_closesAllRuns = false;
    int m_status = 0;
    std::string m_body;
    event_handle m_tickTimer;
    event_handle m_sweepTimer;
    event_handle m_timeoutTimer;
};

// Guards against a non-idempotent request that runs at a second agent because the first one, which
// reported it as done, could not be reached when its answer was to be fetched.
TEST_F(RequestRouterTest, requestReportedAsDoneIsNotRunAtAnotherAgent)
{
    call("/services/orders/new");
    EXPECT_EQ(m_agents[0].runs + m_agents[1].runs, 1) << "the order ran twice";
    EXPECT_NE(m_body.find("outcome_unknown"), std::string::npos) << m_status << " " << m_body;
}

// Guards against a refusal that implies "not run" for a request that both agents may have run.
TEST_F(RequestRouterTest, refusalDoesNotImplyNotRunAfterALostAttempt)
{
    m_closesAllRuns = true;
    call("/services/looks/one");
    EXPECT_GT(m_agents[0].runs + m_agents[1].runs, 0);
    for (const auto *code :
         {"retry_budget_exhausted", "not_run", "overloaded", "deadline_unmeetable", "no_endpoint"})
        EXPECT_EQ(m_body.find(code), std::string::npos) << m_status << " " << m_body;
}

} // namespace
} // namespace mustardline
