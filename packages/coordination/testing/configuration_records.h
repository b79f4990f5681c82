#pragma once

// Sample entities and changes of the configuration, for tests and benchmarks.

#include <string>
#include <vector>

#include <fmt/format.h>

#include "coordination/configuration.h"

namespace mustardline {

inline auto dataCentreOf(const std::string &id, bool out = false) -> v1::Entity
{
    v1::Entity entity;
    entity.mutable_data_centre()->set_id(id);
    entity.mutable_data_centre()->set_out(out);
    return entity;
}

inline auto classOf(const std::string &id) -> v1::Entity
{
    v1::Entity entity;
    auto &item = *entity.mutable_request_class();
    item.set_id(id);
    item.set_first_token_ms(710);
    item.set_between_tokens_ms(29);
    item.set_deadline_ms(60'000);
    return entity;
}

inline auto accountOf(const std::string &id, const std::vector<std::string> &classes = {})
    -> v1::Entity
{
    v1::Entity entity;
    auto &account = *entity.mutable_client_account();
    account.set_id(id);
    account.set_tier(3);
    for (const auto &name : classes)
        account.add_classes(name);
    return entity;
}

inline auto keyOf(const std::string &id, const std::string &account, bool withdrawn = false)
    -> v1::Entity
{
    v1::Entity entity;
    auto &key = *entity.mutable_key();
    key.set_id(id);
    key.set_client_account(account);
    key.set_hash(fmt::format("{:064x}", std::hash<std::string>()(id)));
    key.set_withdrawn(withdrawn);
    return entity;
}

inline auto endpointOf(const std::string &id, const std::string &dataCentre) -> v1::Entity
{
    v1::Entity entity;
    auto &endpoint = *entity.mutable_endpoint();
    endpoint.set_id(id);
    endpoint.set_data_centre(dataCentre);
    endpoint.set_kind(v1::ENDPOINT_KIND_MODEL);
    endpoint.add_serves("large");
    endpoint.set_agent_address("10.1.2.3:8080");
    endpoint.set_control_address("10.1.2.3:8081");
    endpoint.set_max_concurrency(64);
    return entity;
}

struct scaling_limits
{
    std::uint32_t least = 1;
    std::uint32_t most = 10;
};

// Scaling of a model whose endpoints have 10 places each and take up to a minute to start.
inline auto scalingOf(const std::string &model, const scaling_limits &limits = {}) -> v1::Entity
{
    v1::Entity entity;
    auto &scaling = *entity.mutable_model_scaling();
    scaling.set_id(model);
    scaling.set_least(limits.least);
    scaling.set_most(limits.most);
    scaling.set_places_per_endpoint(10);
    scaling.set_start_time_ms(60'000);
    return entity;
}

inline auto modelRouteOf(const std::string &id) -> v1::Entity
{
    v1::Entity entity;
    entity.mutable_route()->set_id(id);
    entity.mutable_route()->set_kind(v1::ROUTE_KIND_MODEL);
    return entity;
}

// One entity of a change, with the revision that the change is based on.
struct change_item
{
    v1::Entity entity;
    std::uint64_t base = 0;
    bool removes = false;
};

struct change_fields
{
    std::string changeId = "change";
    std::string writer = "entry";
    std::uint64_t boot = 1;
    std::uint64_t sequence = 1;
    std::uint64_t baseOffset = 0;
};

inline auto changeOf(const std::vector<change_item> &items, const change_fields &fields = {})
    -> v1::LogRecord
{
    v1::LogRecord record;
    record.set_writer(fields.writer);
    record.set_boot(fields.boot);
    record.set_sequence(fields.sequence);
    record.set_base_offset(fields.baseOffset);
    auto &change = *record.mutable_configuration_change();
    change.set_change_id(fields.changeId);
    for (const auto &item : items) {
        auto &out = *change.add_entities();
        out.set_kind(kindOf(item.entity));
        out.set_id(idOf(item.entity));
        out.set_base_revision(item.base);
        if (!item.removes)
            *out.mutable_entity() = item.entity;
    }
    return record;
}

struct configuration_size
{
    int accounts = 12'000;
    int keysPerAccount = 4;
    int endpoints = 10'000;
    int dataCentres = 9;
    int classes = 6;
};

// A configuration of the given size, as one change per entity.
inline auto configurationRecords(const configuration_size &size) -> std::vector<v1::LogRecord>
{
    std::vector<v1::LogRecord> records;
    const auto add = [&](const v1::Entity &entity) {
        const auto number = records.size() + 1;
        records.push_back(
            changeOf({{.entity = entity}},
                     {.changeId = fmt::format("change-{}", number), .sequence = number}));
    };
    for (int i = 0; i < size.dataCentres; ++i)
        add(dataCentreOf(fmt::format("dc-{}", i)));
    for (int i = 0; i < size.classes; ++i)
        add(classOf(fmt::format("class-{}", i)));
    add(modelRouteOf("/v1/chat/completions"));
    for (int i = 0; i < size.accounts; ++i) {
        const auto account = fmt::format("account-{:05}", i);
        add(accountOf(account, {"class-0", "class-1"}));
        for (int key = 0; key < size.keysPerAccount; ++key)
            add(keyOf(fmt::format("key-{:05}-{:08x}", i, key), account));
    }
    for (int i = 0; i < size.endpoints; ++i)
        add(endpointOf(fmt::format("endpoint-{:05}", i),
                       fmt::format("dc-{}", i % size.dataCentres)));
    return records;
}

} // namespace mustardline
