// Tests of the parts without I/O: settings, request headers, admission, endpoint requests, fencing,
// and the documentation tables that must match the code.

#include <array>
#include <functional>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "agent/admission_check.h"
#include "agent/agent_settings.h"
#include "agent/endpoint_request.h"
#include "agent/events.h"
#include "agent/fencing_gate.h"
#include "agent/run_request.h"
#include "agent/testing/sample_configuration.h"
#include "base/testing/docs_table.h"

namespace mustardline {
namespace {

constexpr auto model = endpoint_kind::model;
constexpr auto service = endpoint_kind::service;

TEST(AgentDocsTest, eventsPageListsExactlyTheEvents)
{
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/EVENTS.md", "## agent"),
              eventRows(event::agentEvents));
}

TEST(AgentDocsTest, settingsPageListsExactlyTheSettings)
{
    constexpr auto typeNames = std::to_array({"integer", "text", "list of texts"});
    std::vector<std::vector<std::string>> expected;
    for (const auto &item : agentSettingsFields()) {
        auto allowed = std::string(item.allowed.empty() ? "any" : item.allowed);
        if (item.type == settings_type::integer)
            allowed = fmt::format("{} to {}", item.lowest, item.highest);
        expected.push_back({std::string(item.path), typeNames[static_cast<std::size_t>(item.type)],
                            allowed,
                            std::string(item.fallback.empty() ? "required" : item.fallback),
                            std::string(item.meaning)});
    }
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/settings-agent.md", ""), expected);
}

auto goodSettings() -> nlohmann::json
{
    return {{"endpoint", "e"},
            {"kind", "service"},
            {"data_centre", "tuzla"},
            {"endpoint_address", "10.0.0.1:8000"},
            {"entries", {"10.0.0.2:7000"}}};
}

TEST(AgentSettingsTest, readsValuesAndDefaults)
{
    auto document = goodSettings();
    document["listen"] = {{"port", 7100}};
    document["limits"] = {{"max_queued", 3}};
    const auto parsed = parseAgentSettings(document);
    ASSERT_EQ(failed(parsed), nullptr);
    const auto &settings = std::get<agent_settings>(parsed);
    EXPECT_EQ(settings.kind, service);
    EXPECT_EQ(settings.listenPort, 7100);
    EXPECT_EQ(settings.controlPort, 0);
    EXPECT_EQ(settings.entries.at(0).port, 7000);
    EXPECT_EQ(settings.limits.maxQueued, 3U);
    EXPECT_EQ(settings.limits.runRetention, std::chrono::hours(1));
}

struct invalid_settings_case
{
    std::function<auto(nlohmann::json &)->void> change;
    result_code code;
    std::string named;
};

TEST(AgentSettingsTest, namesTheFieldOfEachFailure)
{
    using nlohmann::json;
    const auto cases = std::to_array<invalid_settings_case>({
        {[](json &all) { all.erase("endpoint"); }, result_code::settings_missing_field, "endpoint"},
        {[](json &all) { all["kind"] = "vm"; }, result_code::settings_out_of_range, "kind"},
        {[](json &all) { all["more"] = 1; }, result_code::settings_unknown_field, "more"},
        {[](json &all) { all["listen"]["port"] = 65536; }, result_code::settings_out_of_range,
         "listen.port"},
        {[](json &all) { all["limits"]["max_queued"] = "3"; }, result_code::settings_wrong_type,
         "limits.max_queued"},
        {[](json &all) { all["limits"]["no"] = 3; }, result_code::settings_unknown_field,
         "limits.no"},
        {[](json &all) { all["endpoint_address"] = "nowhere"; }, result_code::settings_out_of_range,
         "endpoint_address"},
        {[](json &all) { all["entries"] = {"a:b"}; }, result_code::settings_out_of_range,
         "entries"},
    });
    for (const auto &item : cases) {
        auto document = goodSettings();
        item.change(document);
        const auto parsed = parseAgentSettings(document);
        ASSERT_NE(failed(parsed), nullptr) << item.named;
        EXPECT_EQ(failed(parsed)->code, item.code) << item.named;
        EXPECT_NE(failed(parsed)->message.find(item.named), std::string::npos)
            << failed(parsed)->message;
    }
}

TEST(RunRequestTest, decodesEveryHeader)
{
    const auto request = sampleRun(
        0x1f, service, {{"mustardline-attempt", "3"}, {"mustardline-deadline-ms", "1500"}});
    EXPECT_EQ(toText(request.id), idText(0x1f));
    EXPECT_EQ(request.attempt, 3U);
    EXPECT_EQ(request.clientAccount, "acme");
    EXPECT_EQ(request.tier, 2U);
    EXPECT_EQ(request.deadline, std::chrono::milliseconds(1500));
    EXPECT_FALSE(request.idempotent);
    EXPECT_EQ(request.offset, 8U);
}

TEST(RunRequestTest, refusesMalformedHeaders)
{
    const auto cases = std::to_array<std::pair<std::string, std::string>>(
        {{"mustardline-request", "12"},
         {"mustardline-request", std::string(31, '0') + "g"},
         {"mustardline-request", std::string(33, '0')},
         {"mustardline-attempt", "0"},
         {"mustardline-attempt", "99999999999"},
         {"mustardline-account", ""},
         {"mustardline-class", ""},
         {"mustardline-tier", "0"},
         {"mustardline-tier", "7"},
         {"mustardline-tier", "two"},
         {"mustardline-idempotent", "yes"},
         {"mustardline-deadline-ms", "-1"},
         {"mustardline-method", "CONNECT"},
         {"mustardline-path", "relative"},
         {"mustardline-path", "/a b"},
         {"mustardline-path", "/a\tHTTP/1.1"},
         {"mustardline-endpoint", ""},
         {"mustardline-offset", "x"},
         {"idempotency-key", std::string(256, 'k')}});
    for (const auto &[name, value] : cases) {
        const auto parsed = parseRunRequest(runHeaders(1, model, {{name, value}}));
        ASSERT_NE(failed(parsed), nullptr) << name << "=" << value;
        EXPECT_EQ(failed(parsed)->code, result_code::bad_request);
        EXPECT_NE(failed(parsed)->message.find(name), std::string::npos);
    }
}

struct admission_case
{
    std::string name;
    std::vector<v1::Entity> changes;
    header_changes headers;
    result_code expected;
};

auto openRoute() -> v1::Entity
{
    auto entity = sampleRoute(model, true);
    entity.mutable_route()->set_open(true);
    entity.mutable_route()->set_open_client_account("acme");
    return entity;
}

TEST(AdmissionCheckTest, refusesWhatTheConfigurationDoesNotAllow)
{
    using enum result_code;
    const auto cases = std::to_array<admission_case>({
        {"good", {}, {}, ok},
        {"another endpoint", {}, {{"mustardline-endpoint", "f"}}, not_run},
        {"leaving", {sampleEndpoint(model, true)}, {}, draining},
        {"returned", {sampleEndpoint(model, true), sampleEndpoint(model, false)}, {}, ok},
        {"data centre out", {sampleDataCentre(true)}, {}, not_run},
        {"data centre back", {sampleDataCentre(true), sampleDataCentre(false)}, {}, ok},
        {"key withdrawn", {sampleKey(true)}, {}, key_withdrawn},
        {"key unknown", {}, {{"mustardline-key-id", "k9"}}, key_withdrawn},
        {"key of another account", {}, {{"mustardline-key-id", "k2"}}, forbidden},
        {"account of another key", {}, {{"mustardline-account", "other"}}, forbidden},
        {"no key", {}, {{"mustardline-key-id", ""}}, forbidden},
        {"no key on an open route", {openRoute()}, {{"mustardline-key-id", ""}}, ok},
        {"no key for another account",
         {openRoute()},
         {{"mustardline-key-id", ""}, {"mustardline-account", "other"}},
         forbidden},
        {"tier changed", {sampleAccount(3)}, {}, not_run},
        {"higher tier claimed", {}, {{"mustardline-tier", "1"}}, not_run},
        {"class not allowed", {}, {{"mustardline-class", "batch"}}, forbidden},
        {"route unknown", {}, {{"mustardline-route", "/v2/"}}, not_run},
        {"idempotency changed", {sampleRoute(model, false)}, {}, not_run},
        {"service route", {}, {{"mustardline-route", "/services/orders/"}}, not_run},
    });
    for (const auto &item : cases) {
        configuration config;
        applySample(config, model);
        for (const auto &entity : item.changes)
            applyEntity(config, entity);
        const auto outcome
            = checkAdmission(config, {.endpoint = "e", .kind = model, .dataCentre = "tuzla"},
                             sampleRun(1, model, item.headers));
        const auto *refusal = failed(outcome);
        EXPECT_EQ(refusal == nullptr ? ok : refusal->code, item.expected) << item.name;
    }
}

TEST(AdmissionCheckTest, needsAConfigurationAndItsOwnDataCentre)
{
    configuration config;
    const agent_identity here{.endpoint = "e", .kind = service, .dataCentre = "tuzla"};
    const auto outcome = checkAdmission(config, here, sampleRun(1, service));
    ASSERT_NE(failed(outcome), nullptr);
    EXPECT_EQ(failed(outcome)->code, result_code::no_configuration);
    applySample(config, service);
    EXPECT_EQ(failed(checkEndpoint(config, here)), nullptr);
    const agent_identity elsewhere{.endpoint = "e", .kind = service, .dataCentre = "gebze"};
    EXPECT_NE(failed(checkEndpoint(config, elsewhere)), nullptr);
}

TEST(EndpointRequestTest, setsTheEnginesPriority)
{
    const auto priorityOf = [](std::string tier, std::string priority) {
        const auto request
            = sampleRun(1, model, {{"mustardline-tier", tier}, {"mustardline-priority", priority}});
        const auto made = makeEndpointRequest(model, request, R"({"model":"m","priority":0})", {});
        return nlohmann::json::parse(std::get<http_request>(made).body)["priority"]
            .get<std::uint64_t>();
    };
    EXPECT_LT(priorityOf("1", "0"), priorityOf("1", "7"));
    EXPECT_LT(priorityOf("1", "4000000000"), priorityOf("2", "0"));
}

TEST(EndpointRequestTest, checksTheModelAndTheBody)
{
    const std::vector<std::string> served{"m"};
    const auto codeOf = [&](std::string_view body) {
        const auto made = makeEndpointRequest(model, sampleRun(1, model), body, served);
        const auto *failure = failed(made);
        return failure == nullptr ? result_code::ok : failure->code;
    };
    EXPECT_EQ(codeOf(R"({"model":"m"})"), result_code::ok);
    EXPECT_EQ(codeOf(R"({"model":"n"})"), result_code::not_run);
    EXPECT_EQ(codeOf(R"({"model":["m"]})"), result_code::not_run);
    EXPECT_EQ(codeOf("{}"), result_code::not_run);
    EXPECT_EQ(codeOf("[]"), result_code::malformed_json);
    EXPECT_EQ(codeOf("{"), result_code::malformed_json);
}

TEST(EndpointRequestTest, detectsRequestsForAStream)
{
    const auto asks = [](std::string_view body) {
        const auto made = makeEndpointRequest(model, sampleRun(1, model), body, {});
        return asksForStream(std::get<http_request>(made).body);
    };
    EXPECT_TRUE(asks(R"({"model": "m", "stream" : true})"));
    EXPECT_FALSE(asks(R"({"model": "m", "stream": false})"));
    EXPECT_FALSE(asks(R"({"model": "m", "messages": [{"content": "\"stream\":true"}]})"));
}

TEST(FencingGateTest, refusesOlderNumbersPerDuty)
{
    fencing_gate gate({.maxDuties = 2});
    const auto codeOf = [&](std::string_view duty, std::uint64_t fencing) {
        const auto outcome = gate.admit(duty, fencing);
        const auto *failure = failed(outcome);
        return failure == nullptr ? result_code::ok : failure->code;
    };
    EXPECT_EQ(codeOf("a", 5), result_code::ok);
    EXPECT_EQ(codeOf("a", 5), result_code::ok);
    EXPECT_EQ(codeOf("a", 4), result_code::stale_fencing);
    EXPECT_EQ(codeOf("b", 1), result_code::ok);
    EXPECT_EQ(codeOf("a", 9), result_code::ok);
    EXPECT_EQ(codeOf("a", 8), result_code::stale_fencing);
    EXPECT_EQ(codeOf("c", 8), result_code::overloaded);
}

} // namespace
} // namespace mustardline
