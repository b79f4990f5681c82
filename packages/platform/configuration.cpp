#include "platform/configuration.h"

#include <fmt/format.h>

namespace mustardline {

namespace {

auto conflictOf(std::string_view id, std::uint64_t found, std::uint64_t base) -> error
{
    return {.code = result_code::conflict,
            .message = fmt::format("\"{}\" has revision {}, but the change is based on {}", id,
                                   found, base)};
}

auto invalid(std::string message) -> error
{
    return {.code = result_code::invalid_entity, .message = std::move(message)};
}

} // namespace

auto kindOf(const v1::Entity &entity) -> v1::EntityKind
{
    switch (entity.entity_case()) {
    case v1::Entity::kDataCentre:
        return v1::ENTITY_KIND_DATA_CENTRE;
    case v1::Entity::kClientAccount:
        return v1::ENTITY_KIND_CLIENT_ACCOUNT;
    case v1::Entity::kKey:
        return v1::ENTITY_KIND_KEY;
    case v1::Entity::kRequestClass:
        return v1::ENTITY_KIND_REQUEST_CLASS;
    case v1::Entity::kRoute:
        return v1::ENTITY_KIND_ROUTE;
    case v1::Entity::kEndpoint:
        return v1::ENTITY_KIND_ENDPOINT;
    case v1::Entity::ENTITY_NOT_SET:
        return v1::ENTITY_KIND_UNSPECIFIED;
    }
    return v1::ENTITY_KIND_UNSPECIFIED;
}

auto idOf(const v1::Entity &entity) -> const std::string &
{
    static const std::string none;
    switch (entity.entity_case()) {
    case v1::Entity::kDataCentre:
        return entity.data_centre().id();
    case v1::Entity::kClientAccount:
        return entity.client_account().id();
    case v1::Entity::kKey:
        return entity.key().id();
    case v1::Entity::kRequestClass:
        return entity.request_class().id();
    case v1::Entity::kRoute:
        return entity.route().id();
    case v1::Entity::kEndpoint:
        return entity.endpoint().id();
    case v1::Entity::ENTITY_NOT_SET:
        return none;
    }
    return none;
}

auto configuration::apply(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (offset <= m_offset)
        return;
    m_offset = offset;
    if (isRepeat(record))
        return;
    auto &position = m_writers[{record.writer(), record.boot()}];
    position.set_writer(record.writer());
    position.set_boot(record.boot());
    position.set_sequence(record.sequence());
    position.set_offset(offset);
    if (record.has_configuration_change())
        applyChange(offset, record.configuration_change());
}

auto configuration::restore(const v1::ConfigurationSnapshot &snapshot) -> void
{
    if (snapshot.offset() <= m_offset)
        return;
    const auto before = std::exchange(m_tables, {});
    m_offset = snapshot.offset();
    for (const auto &item : snapshot.entities())
        m_tables[kindOf(item.entity())][idOf(item.entity())] = item;
    m_writers.clear();
    for (const auto &position : snapshot.writers())
        m_writers[{position.writer(), position.boot()}] = position;
    if (!m_observer)
        return;
    for (const auto &[kind, entities] : before) {
        for (const auto &[id, entity] : entities) {
            if (find(kind, id) == nullptr)
                m_observer(kind, id);
        }
    }
    for (const auto &[kind, entities] : m_tables) {
        for (const auto &[id, entity] : entities)
            m_observer(kind, id);
    }
}

auto configuration::snapshot() const -> v1::ConfigurationSnapshot
{
    v1::ConfigurationSnapshot out;
    out.set_offset(m_offset);
    for (const auto &[kind, entities] : m_tables) {
        for (const auto &[id, entity] : entities)
            *out.add_entities() = entity;
    }
    for (const auto &[name, position] : m_writers)
        *out.add_writers() = position;
    return out;
}

auto configuration::decision(std::string_view changeId) const -> std::optional<change_decision>
{
    const auto found = m_decisions.find(std::string(changeId));
    if (found == m_decisions.end())
        return std::nullopt;
    return found->second;
}

auto configuration::check(const v1::ConfigurationChange &change) const -> status
{
    if (change.entities().empty())
        return invalid("the change names no entity");
    for (const auto &item : change.entities()) {
        const auto *current = find(item.kind(), item.id());
        const auto revision = current == nullptr ? 0 : current->revision();
        if (revision != item.base_revision())
            return conflictOf(item.id(), revision, item.base_revision());
        if (item.id().empty() || item.kind() == v1::ENTITY_KIND_UNSPECIFIED)
            return invalid("an entity of the change has no kind or no id");
        const auto matches
            = !item.has_entity()
              || (kindOf(item.entity()) == item.kind() && idOf(item.entity()) == item.id());
        if (!matches)
            return invalid(fmt::format("the entity does not match its id \"{}\"", item.id()));
    }
    return std::monostate();
}

auto configuration::dataCentre(std::string_view id) const -> const v1::DataCentre *
{
    const auto *found = find(v1::ENTITY_KIND_DATA_CENTRE, id);
    return found == nullptr ? nullptr : &found->entity().data_centre();
}

auto configuration::clientAccount(std::string_view id) const -> const v1::ClientAccount *
{
    const auto *found = find(v1::ENTITY_KIND_CLIENT_ACCOUNT, id);
    return found == nullptr ? nullptr : &found->entity().client_account();
}

auto configuration::key(std::string_view id) const -> const v1::Key *
{
    const auto *found = find(v1::ENTITY_KIND_KEY, id);
    return found == nullptr ? nullptr : &found->entity().key();
}

auto configuration::requestClass(std::string_view id) const -> const v1::RequestClass *
{
    const auto *found = find(v1::ENTITY_KIND_REQUEST_CLASS, id);
    return found == nullptr ? nullptr : &found->entity().request_class();
}

auto configuration::route(std::string_view id) const -> const v1::Route *
{
    const auto *found = find(v1::ENTITY_KIND_ROUTE, id);
    return found == nullptr ? nullptr : &found->entity().route();
}

auto configuration::endpoint(std::string_view id) const -> const v1::Endpoint *
{
    const auto *found = find(v1::ENTITY_KIND_ENDPOINT, id);
    return found == nullptr ? nullptr : &found->entity().endpoint();
}

auto configuration::routeFor(std::string_view path) const -> const v1::Route *
{
    const auto *routes = table(v1::ENTITY_KIND_ROUTE);
    if (routes == nullptr)
        return nullptr;
    // Prefixes of a path sort before it, the longest one last.
    auto next = routes->upper_bound(path);
    while (next != routes->begin()) {
        --next;
        if (path.starts_with(next->first))
            return &next->second.entity().route();
    }
    return nullptr;
}

auto configuration::find(v1::EntityKind kind, std::string_view id) const
    -> const v1::RevisedEntity *
{
    const auto *entities = table(kind);
    if (entities == nullptr)
        return nullptr;
    const auto found = entities->find(id);
    return found == entities->end() ? nullptr : &found->second;
}

auto configuration::entities(v1::EntityKind kind) const -> std::vector<const v1::RevisedEntity *>
{
    std::vector<const v1::RevisedEntity *> all;
    if (const auto *entities = table(kind)) {
        for (const auto &[id, entity] : *entities)
            all.push_back(&entity);
    }
    return all;
}

auto configuration::table(v1::EntityKind kind) const -> const entity_table *
{
    const auto found = m_tables.find(kind);
    return found == m_tables.end() ? nullptr : &found->second;
}

auto configuration::isRepeat(const v1::LogRecord &record) const -> bool
{
    const auto found = m_writers.find({record.writer(), record.boot()});
    return found != m_writers.end() && record.sequence() <= found->second.sequence();
}

auto configuration::applyChange(std::uint64_t offset, const v1::ConfigurationChange &change) -> void
{
    const auto verdict = check(change);
    if (const auto *fault = failed(verdict)) {
        m_decisions[change.change_id()]
            = {.offset = offset, .code = fault->code, .message = fault->message};
        return;
    }
    for (const auto &item : change.entities()) {
        if (!item.has_entity()) {
            m_tables[item.kind()].erase(item.id());
            continue;
        }
        auto &entity = m_tables[item.kind()][item.id()];
        entity.set_revision(offset);
        *entity.mutable_entity() = item.entity();
    }
    m_decisions[change.change_id()] = {.offset = offset, .code = result_code::ok};
    if (!m_observer)
        return;
    for (const auto &item : change.entities())
        m_observer(item.kind(), item.id());
}

} // namespace mustardline
