#include "agent/testing/sample_configuration.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace mustardline {

namespace {

constexpr std::uint32_t sampleConcurrency = 4;
constexpr std::uint32_t sampleDeadline = 600'000; // milliseconds
constexpr std::size_t hashDigits = 64;

auto accountOf(const std::string &id, std::uint32_t tier) -> v1::Entity
{
    v1::Entity entity;
    auto *account = entity.mutable_client_account();
    account->set_id(id);
    account->set_tier(tier);
    account->add_classes("chat");
    return entity;
}

auto keyOf(const std::string &id, const std::string &account, bool withdrawn) -> v1::Entity
{
    v1::Entity entity;
    entity.mutable_key()->set_id(id);
    entity.mutable_key()->set_client_account(account);
    entity.mutable_key()->set_withdrawn(withdrawn);
    entity.mutable_key()->set_hash(std::string(hashDigits, '0'));
    return entity;
}

} // namespace

auto applyEntity(configuration &config, const v1::Entity &entity) -> void
{
    const auto offset = config.offset() + 1;
    const auto *current = config.find(kindOf(entity), idOf(entity));
    v1::LogRecord record;
    record.set_writer("test");
    record.set_boot(1);
    record.set_sequence(offset);
    auto *change = record.mutable_configuration_change()->add_entities();
    change->set_kind(kindOf(entity));
    change->set_id(idOf(entity));
    change->set_base_revision(current == nullptr ? 0 : current->revision());
    *change->mutable_entity() = entity;
    record.mutable_configuration_change()->set_change_id(std::to_string(offset));
    config.apply(offset, record);
    const auto decision = config.decision(std::to_string(offset));
    EXPECT_TRUE(decision && decision->code == result_code::ok)
        << idOf(entity) << ": " << (decision ? decision->message : "");
}

auto applySample(configuration &config, endpoint_kind kind) -> void
{
    v1::Entity requestClass;
    requestClass.mutable_request_class()->set_id("chat");
    requestClass.mutable_request_class()->set_deadline_ms(sampleDeadline);
    for (const auto &entity :
         {sampleDataCentre(false), requestClass, sampleAccount(2), accountOf("other", 5),
          sampleKey(false), keyOf("k2", "other", false),
          sampleRoute(kind, kind == endpoint_kind::model), sampleEndpoint(kind, false)})
        applyEntity(config, entity);
}

auto sampleDataCentre(bool out) -> v1::Entity
{
    v1::Entity entity;
    entity.mutable_data_centre()->set_id("tuzla");
    entity.mutable_data_centre()->set_region("marmara");
    entity.mutable_data_centre()->set_out(out);
    return entity;
}

auto sampleKey(bool withdrawn) -> v1::Entity
{
    return keyOf("k1", "acme", withdrawn);
}

auto sampleAccount(std::uint32_t tier) -> v1::Entity
{
    return accountOf("acme", tier);
}

auto sampleRoute(endpoint_kind kind, bool idempotent) -> v1::Entity
{
    v1::Entity entity;
    auto *route = entity.mutable_route();
    route->set_idempotent(idempotent);
    if (kind == endpoint_kind::model) {
        route->set_id("/v1/chat/completions");
        route->set_kind(v1::ROUTE_KIND_MODEL);
    } else {
        route->set_id("/services/orders/");
        route->set_kind(v1::ROUTE_KIND_SERVICE);
        route->set_service("orders");
    }
    return entity;
}

auto sampleEndpoint(endpoint_kind kind, bool leaving) -> v1::Entity
{
    v1::Entity entity;
    auto *endpoint = entity.mutable_endpoint();
    endpoint->set_id("e");
    endpoint->set_kind(kind == endpoint_kind::model ? v1::ENDPOINT_KIND_MODEL
                                                    : v1::ENDPOINT_KIND_SERVICE);
    endpoint->set_agent_address("127.0.0.1:1");
    endpoint->set_control_address("127.0.0.1:2");
    endpoint->set_data_centre("tuzla");
    endpoint->set_max_concurrency(sampleConcurrency);
    endpoint->set_leaving(leaving);
    endpoint->add_serves(kind == endpoint_kind::model ? "m" : "orders");
    return entity;
}

auto idText(int id) -> std::string
{
    return fmt::format("{:032x}", id);
}

auto runHeaders(int id, endpoint_kind kind, const header_changes &changes)
    -> std::vector<http_header>
{
    const auto isModel = kind == endpoint_kind::model;
    const auto path = isModel ? "/v1/chat/completions" : "/services/orders/";
    header_changes all{
        {"mustardline-request", idText(id)}, {"mustardline-attempt", "1"},
        {"mustardline-account", "acme"},     {"mustardline-key-id", "k1"},
        {"mustardline-class", "chat"},       {"mustardline-tier", "2"},
        {"mustardline-priority", "0"},       {"mustardline-deadline-ms", "600000"},
        {"mustardline-first-token-ms", "0"}, {"mustardline-idempotent", isModel ? "1" : "0"},
        {"mustardline-route", path},         {"mustardline-method", "POST"},
        {"mustardline-path", path},          {"mustardline-endpoint", "e"},
        {"mustardline-offset", "8"},         {"content-type", "application/json"}};
    for (const auto &[name, value] : changes)
        all[name] = value;
    std::vector<http_header> headers;
    for (const auto &[name, value] : all)
        headers.push_back({.name = name, .value = value});
    return headers;
}

auto sampleRun(int id, endpoint_kind kind, const header_changes &changes) -> run_request
{
    return std::get<run_request>(parseRunRequest(runHeaders(id, kind, changes)));
}

} // namespace mustardline
