#include "coordination/configuration.h"

#include <fmt/format.h>

#include "coordination/configuration_rules.h"

namespace mustardline {

namespace {

auto conflictError(std::string_view id, std::uint64_t found, std::uint64_t base) -> error
{
    return {.code = result_code::conflict,
            .message = fmt::format("\"{}\" has revision {}, but the change is based on {}", id,
                                   found, base)};
}

// Interval, in offsets, at which expired writer positions and removals are discarded.
constexpr std::uint64_t expiryInterval = 1024;

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
    case v1::Entity::kModelScaling:
        return v1::ENTITY_KIND_MODEL_SCALING;
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
    case v1::Entity::kModelScaling:
        return entity.model_scaling().id();
    case v1::Entity::ENTITY_NOT_SET:
        return none;
    }
    return none;
}

auto configuration::apply(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (offset <= m_offset)
        return;
    if (offset > m_offset + 1 && m_gapObserver)
        m_gapObserver(offset - 1);
    m_offset = offset;
    if (offset % expiryInterval == 0)
        removeExpired();
    if (isRepeat(record))
        return;
    updateWriterPosition(offset, record);
    if (record.has_configuration_change())
        applyChange(offset, record);
}

auto configuration::updateWriterPosition(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    const auto [found, isNew] = m_writers.try_emplace({record.writer(), record.boot()});
    auto &position = found->second;
    position.set_tells_base((isNew || position.tells_base()) && record.base_offset() != 0);
    position.set_writer(record.writer());
    position.set_boot(record.boot());
    position.set_sequence(record.sequence());
    position.set_offset(offset);
}

auto configuration::restore(v1::ConfigurationSnapshot snapshot) -> void
{
    if (snapshot.offset() <= m_offset)
        return;
    const auto before = std::exchange(m_tables, {});
    m_offset = snapshot.offset();
    if (m_gapObserver)
        m_gapObserver(m_offset);
    m_references.clear();
    for (auto &item : *snapshot.mutable_entities()) {
        adjustReferenceCounts(item.entity(), 1);
        auto id = idOf(item.entity());
        m_tables[kindOf(item.entity())].insert_or_assign(std::move(id), std::move(item));
    }
    m_writers.clear();
    for (const auto &position : snapshot.writers())
        m_writers[{position.writer(), position.boot()}] = position;
    m_removed.clear();
    for (const auto &item : snapshot.removed())
        m_removed[item.kind()][item.id()] = item.offset();
    if (m_changeObserver)
        notifyRestored(before);
}

auto configuration::notifyRestored(const std::map<v1::EntityKind, entity_table> &before) -> void
{
    for (const auto &[kind, entities] : before) {
        for (const auto &[id, entity] : entities) {
            if (find(kind, id) == nullptr)
                m_changeObserver(kind, id);
        }
    }
    for (const auto &[kind, entities] : m_tables) {
        for (const auto &[id, entity] : entities)
            m_changeObserver(kind, id);
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
    for (const auto &[kind, items] : m_removed) {
        for (const auto &[id, offset] : items) {
            auto &item = *out.add_removed();
            item.set_kind(kind);
            item.set_id(id);
            item.set_offset(offset);
        }
    }
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
    for (const auto &item : change.entities()) {
        const auto *current = find(item.kind(), item.id());
        const auto revision = current == nullptr ? 0 : current->revision();
        if (revision != item.base_revision())
            return conflictError(item.id(), revision, item.base_revision());
    }
    return validateChange(*this, change);
}

auto configuration::referenceCount(v1::EntityKind kind, std::string_view id) const -> std::uint32_t
{
    const auto references = m_references.find(kind);
    if (references == m_references.end())
        return 0;
    const auto found = references->second.find(id);
    return found == references->second.end() ? 0 : found->second;
}

auto configuration::isRetiredKey(std::string_view id) const -> bool
{
    const auto keys = m_removed.find(v1::ENTITY_KIND_KEY);
    return keys != m_removed.end() && keys->second.contains(id);
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

auto configuration::modelScaling(std::string_view id) const -> const v1::ModelScaling *
{
    const auto *found = find(v1::ENTITY_KIND_MODEL_SCALING, id);
    return found == nullptr ? nullptr : &found->entity().model_scaling();
}

auto configuration::routeFor(std::string_view path) const -> const v1::Route *
{
    const auto *routes = table(v1::ENTITY_KIND_ROUTE);
    if (routes == nullptr)
        return nullptr;
    // All prefixes of a path sort before it, the longest one last.
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

auto configuration::isTooOld(std::uint64_t offset, std::uint64_t baseOffset) const -> bool
{
    return baseOffset != 0 && offset > baseOffset + m_options.recordLifetime;
}

auto configuration::checkRecord(std::uint64_t offset, const v1::LogRecord &record) const -> status
{
    if (isTooOld(offset, record.base_offset())) {
        return error{.code = result_code::conflict,
                     .message = "the change was appended to the log too long after it was written"};
    }
    for (const auto &item : record.configuration_change().entities()) {
        const auto removed = m_removed.find(item.kind());
        if (item.base_revision() != 0 || removed == m_removed.end())
            continue;
        const auto found = removed->second.find(item.id());
        const auto isWrittenAfterRemoval = found == removed->second.end()
                                           || record.base_offset() == 0
                                           || record.base_offset() >= found->second;
        if (!isWrittenAfterRemoval) {
            return error{.code = result_code::conflict,
                         .message = fmt::format("\"{}\" was removed after the change was written",
                                                item.id())};
        }
    }
    return check(record.configuration_change());
}

auto configuration::applyChange(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    const auto &change = record.configuration_change();
    const auto outcome = checkRecord(offset, record);
    if (const auto *failure = failed(outcome)) {
        recordDecision({.offset = offset, .code = failure->code, .message = failure->message},
                       change.change_id());
        return;
    }
    if (m_acceptObserver)
        m_acceptObserver(offset, change);
    for (const auto &item : change.entities())
        applyEntity(offset, item);
    recordDecision({.offset = offset, .code = result_code::ok}, change.change_id());
    if (!m_changeObserver)
        return;
    for (const auto &item : change.entities())
        m_changeObserver(item.kind(), item.id());
}

auto configuration::applyEntity(std::uint64_t offset, const v1::EntityChange &item) -> void
{
    if (const auto *current = find(item.kind(), item.id()))
        adjustReferenceCounts(current->entity(), -1);
    if (!item.has_entity()) {
        if (m_tables[item.kind()].erase(item.id()) != 0)
            m_removed[item.kind()][item.id()] = offset;
        return;
    }
    adjustReferenceCounts(item.entity(), 1);
    auto &entity = m_tables[item.kind()][item.id()];
    entity.set_revision(offset);
    *entity.mutable_entity() = item.entity();
    m_removed[item.kind()].erase(item.id());
}

auto configuration::adjustReferenceCounts(const v1::Entity &entity, std::int32_t delta) -> void
{
    for (const auto &reference : referencesOf(entity)) {
        auto &references = m_references[reference.kind];
        const auto count = references.try_emplace(std::string(reference.id)).first;
        count->second += static_cast<std::uint32_t>(delta);
        if (count->second == 0)
            references.erase(count);
    }
}

auto configuration::recordDecision(change_decision decision, const std::string &changeId) -> void
{
    const auto [found, isNew] = m_decisions.try_emplace(changeId, decision);
    if (!isNew) {
        if (found->second.code != result_code::ok)
            found->second = std::move(decision);
        return;
    }
    m_decisionOrder.push_back(changeId);
    if (m_decisionOrder.size() <= m_options.maxDecisions)
        return;
    m_decisions.erase(m_decisionOrder.front());
    m_decisionOrder.pop_front();
}

auto configuration::removeExpired() -> void
{
    std::erase_if(m_writers, [this](const auto &item) {
        return item.second.tells_base() && isTooOld(m_offset, item.second.offset());
    });
    for (auto &[kind, items] : m_removed) {
        if (kind == v1::ENTITY_KIND_KEY)
            continue;
        std::erase_if(items, [this](const auto &item) { return isTooOld(m_offset, item.second); });
    }
}

} // namespace mustardline
