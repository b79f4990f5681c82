#include "coordination/configuration_history.h"

#include <google/protobuf/text_format.h>

namespace mustardline {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// The message inside the entity's oneof; null for an empty entity.
auto innerMessage(const v1::Entity &entity) -> const Message *
{
    const auto *oneof = v1::Entity::descriptor()->oneof_decl(0);
    const auto *field = entity.GetReflection()->GetOneofFieldDescriptor(entity, oneof);
    return field == nullptr ? nullptr : &entity.GetReflection()->GetMessage(entity, field);
}

auto printField(const Message &message, const FieldDescriptor *field) -> std::string
{
    std::string text;
    if (!field->is_repeated()) {
        google::protobuf::TextFormat::PrintFieldValueToString(message, field, -1, &text);
        return text;
    }
    const auto count = message.GetReflection()->FieldSize(message, field);
    for (int i = 0; i < count; ++i) {
        std::string item;
        google::protobuf::TextFormat::PrintFieldValueToString(message, field, i, &item);
        text += (i == 0 ? "" : ", ") + item;
    }
    return text;
}

} // namespace

auto differences(const v1::Entity &before, const v1::Entity &after) -> std::vector<field_difference>
{
    std::vector<field_difference> found;
    const auto *left = innerMessage(before);
    const auto *right = innerMessage(after);
    const auto *present = right == nullptr ? left : right;
    const auto areComparable = present != nullptr
                               && (left == nullptr || right == nullptr
                                   || left->GetDescriptor() == right->GetDescriptor());
    if (!areComparable)
        return found;
    const auto *type = present->GetDescriptor();
    const auto &defaults
        = *google::protobuf::MessageFactory::generated_factory()->GetPrototype(type);
    const auto &from = left == nullptr ? defaults : *left;
    const auto &to = right == nullptr ? defaults : *right;
    for (int i = 0; i < type->field_count(); ++i) {
        const auto *field = type->field(i);
        auto oldValue = printField(from, field);
        auto newValue = printField(to, field);
        if (oldValue != newValue)
            found.push_back({.field = field->name(),
                             .before = std::move(oldValue),
                             .after = std::move(newValue)});
    }
    return found;
}

configuration_history::configuration_history(configuration &config,
                                             configuration_history_options options)
    : m_config(config), m_options(options)
{
    config.onAccept([this](std::uint64_t offset, const v1::ConfigurationChange &change) {
        recordChange(offset, change);
    });
    config.onGap([this](std::uint64_t through) { recordGap(through); });
}

auto configuration_history::stateAt(v1::EntityKind kind, std::string_view id,
                                    std::uint64_t offset) const -> std::optional<entity_state>
{
    if (offset > m_config.offset())
        return std::nullopt;
    auto state = stateAfter(kind, id, offset);
    // A revision is the offset of the entity's last change, so the state holds from that offset on.
    // An absent entity has no revision: it may have existed where changes are missing.
    const auto isKnown = state.entity ? state.revision <= offset : offset >= m_missingThrough;
    if (!isKnown)
        return std::nullopt;
    return state;
}

// The entity before its first held change after the offset, or the current one if there is none.
auto configuration_history::stateAfter(v1::EntityKind kind, std::string_view id,
                                       std::uint64_t offset) const -> entity_state
{
    for (const auto &change : m_changes) {
        if (change.kind == kind && change.id == id && change.offset > offset)
            return {.revision = change.revisionBefore, .entity = change.before};
    }
    const auto *current = m_config.find(kind, id);
    if (current == nullptr)
        return {};
    return {.revision = current->revision(), .entity = current->entity()};
}

auto configuration_history::changesOf(v1::EntityKind kind, std::string_view id) const
    -> std::vector<const entity_change *>
{
    std::vector<const entity_change *> found;
    for (const auto &change : m_changes) {
        if (change.kind == kind && change.id == id)
            found.push_back(&change);
    }
    return found;
}

auto configuration_history::recordChange(std::uint64_t offset,
                                         const v1::ConfigurationChange &change) -> void
{
    for (const auto &item : change.entities()) {
        auto &recorded = m_changes.emplace_back(entity_change{.offset = offset,
                                                              .changeId = change.change_id(),
                                                              .operatorName = change.operator_(),
                                                              .kind = item.kind(),
                                                              .id = item.id()});
        if (const auto *current = m_config.find(item.kind(), item.id())) {
            recorded.before = current->entity();
            recorded.revisionBefore = current->revision();
        }
        if (item.has_entity())
            recorded.after = item.entity();
    }
    while (m_changes.size() > m_options.maxChanges)
        dropOldest();
}

auto configuration_history::recordGap(std::uint64_t through) -> void
{
    m_changes.clear();
    m_missingThrough = through;
}

// Drops the oldest change: all its entities have the same offset.
auto configuration_history::dropOldest() -> void
{
    m_missingThrough = m_changes.front().offset;
    while (!m_changes.empty() && m_changes.front().offset == m_missingThrough)
        m_changes.pop_front();
}

} // namespace mustardline
