#pragma once

// A run service in one event loop with a fake endpoint and the HTTP client of an entry process.
// Tests do not sleep: `until` runs the loop until a condition holds.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "agent/run_service.h"
#include "agent/testing/sample_configuration.h"
#include "base/log.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

// One call of the entry process and its response.
struct entry_call
{
    http_call call;
    http_answer answer;
    std::string body;
    bool ended = false;
    bool complete = false;

    [[nodiscard]] auto result() const -> std::string
    {
        return std::string(findHeader(answer.headers, "mustardline-result"));
    }
};

class AgentFixtureTest : public testing::Test
{
protected:
    explicit AgentFixtureTest(endpoint_kind kind = endpoint_kind::model) : m_kind(kind)
    {
        m_endpoint.onRequest([this](const std::shared_ptr<http_exchange> &exchange) {
            m_received.push_back(exchange);
            if (m_onEndpoint)
                m_onEndpoint(*exchange);
        });
        const auto port = m_endpoint.listen();
        m_endpointAddress = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(port)};
        m_limits
            = std::get<agent_settings>(parseAgentSettings({{"endpoint", "e"},
                                                           {"kind", "model"},
                                                           {"data_centre", "tuzla"},
                                                           {"endpoint_address", "127.0.0.1:1"}}))
                  .limits;
        m_limits.maxQueueWait = std::chrono::seconds(60);
        applySample(m_config, kind);
    }

    auto start() -> void
    {
        m_runs = std::make_unique<run_service>(
            m_loop, m_http, m_config, m_usage, m_log, m_metrics,
            run_service_options{.identity
                                = {.endpoint = "e", .kind = m_kind, .dataCentre = "tuzla"},
                                .endpointAddress = m_endpointAddress,
                                .limits = m_limits,
                                .boot = 7});
        m_server.onRequest([this](const std::shared_ptr<http_exchange> &exchange) {
            const auto path = exchange->path();
            if (path.starts_with("/v1/fate/"))
                m_runs->reportFate(*exchange, path.substr(9));
            else if (path.starts_with("/v1/cancel/"))
                m_runs->cancel(*exchange, path.substr(11));
            else
                m_runs->run(exchange);
        });
        m_address = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(m_server.listen())};
    }

    auto send(std::string method, std::string path, std::vector<http_header> headers = {},
              std::string body = "") -> std::shared_ptr<entry_call>
    {
        auto response = std::make_shared<entry_call>();
        response->call = m_entryClient.start(
            m_address,
            {.method = std::move(method),
             .path = std::move(path),
             .headers = std::move(headers),
             .body = std::move(body)},
            {.onHeaders = [response](const http_answer &answer) { response->answer = answer; },
             .onData = [response](std::string_view data) { response->body += data; },
             .onDone =
                 [response](const http_outcome &outcome) {
                     response->ended = true;
                     // An event stream that the agent stopped ends in order, but with a comment.
                     const auto isStopped
                         = response->body.find("\n: mustardline-result ") != std::string::npos;
                     response->complete
                         = std::holds_alternative<std::monostate>(outcome) && !isStopped;
                 }});
        return response;
    }

    auto run(int id, const header_changes &changes = {}, std::string body = R"({"model":"m"})")
        -> std::shared_ptr<entry_call>
    {
        return send("POST", "/v1/run", runHeaders(id, m_kind, changes), std::move(body));
    }

    // Runs the loop until the condition holds.
    auto until(std::function<auto()->bool> condition) -> void
    {
        const auto poll = m_loop.every(std::chrono::milliseconds(1), [&] {
            if (condition())
                m_loop.stop();
        });
        m_loop.run();
    }

    auto untilEnded(const std::shared_ptr<entry_call> &call) -> void
    {
        until([&] { return call->ended; });
    }

    auto untilReceived(std::size_t count) -> void
    {
        until([&] { return m_received.size() >= count; });
    }

    auto fate(int id) -> std::string
    {
        const auto call = send("GET", "/v1/fate/" + idText(id));
        untilEnded(call);
        return nlohmann::json::parse(call->body)["fate"];
    }

    // Changes one entity of the configuration and notifies the run service.
    auto change(const v1::Entity &entity) -> void
    {
        applyEntity(m_config, entity);
        m_runs->configurationChanged();
    }

    // Sends the headers and the first event of a stream for a request that the endpoint received.
    auto beginStream(std::size_t index) -> void
    {
        const auto headers
            = std::vector<http_header>{{.name = "content-type", .value = "text/event-stream"}};
        m_received[index]->startStream(200, headers);
        m_received[index]->sendChunk(firstEvent);
    }

    auto endStream(std::size_t index) -> void
    {
        m_received[index]->sendChunk(lastEvents);
        m_received[index]->endStream();
    }

    static constexpr std::string_view firstEvent
        = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    static constexpr std::string_view lastEvents
        = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n"
          "data: [DONE]\n\n";

    endpoint_kind m_kind;
    event_loop m_loop;
    http_client m_http{m_loop, {}};
    http_client m_entryClient{m_loop, {}};
    std::vector<std::string> m_logLines;
    logger m_log{{.sink = [this](std::string_view line) { m_logLines.emplace_back(line); }}};
    counters m_metrics;
    configuration m_config;
    usage_meter m_usage{{.agent = "e", .boot = 7}};
    agent_limits m_limits;
    socket_address m_endpointAddress;
    socket_address m_address;
    std::vector<std::shared_ptr<http_exchange>> m_received;
    std::function<auto(http_exchange &)->void> m_onEndpoint;
    http_server m_endpoint{m_loop, {}};
    std::unique_ptr<run_service> m_runs;
    http_server m_server{m_loop, {}};
};

} // namespace mustardline
