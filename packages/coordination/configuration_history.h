#pragma once

// The newest accepted configuration changes, for operators: who changed which entity, with the
// values before and after.
//
//     configuration_history history(config, {});    // observes the configuration from now on
//     for (const auto *change : history.changesOf(v1::ENTITY_KIND_KEY, "abc")) ...
//     for (const auto &line : differences(before, after)) ...
//
// It holds a bounded number of the changes that this process has applied since it started; the log
// has the complete history, within its retention. The state of an entity at an offset is returned
// only if it follows from the held changes and the current revision.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"

namespace mustardline {

// One entity of an accepted change.
struct entity_change
{
    std::uint64_t offset = 0;
    std::string changeId;
    std::string operatorName;
    v1::EntityKind kind = v1::ENTITY_KIND_UNSPECIFIED;
    std::string id;
    // The entity's revision before the change; 0 if it did not exist.
    std::uint64_t revisionBefore = 0;
    // Absent if the entity did not exist before the change, or does not exist after it.
    std::optional<v1::Entity> before;
    std::optional<v1::Entity> after;
};

struct field_difference
{
    std::string field;
    // Values in protobuf text format; an absent entity counts as one with default values.
    std::string before;
    std::string after;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const field_difference &) const = default;
};

// The fields in which two entities of one kind differ; an empty entity stands for an absent one.
[[nodiscard]] auto differences(const v1::Entity &before, const v1::Entity &after)
    -> std::vector<field_difference>;

// An entity as of some offset; revision 0 and no entity if it did not exist.
struct entity_state
{
    std::uint64_t revision = 0;
    std::optional<v1::Entity> entity;
};

struct configuration_history_options
{
    std::size_t maxChanges = 1'000;
};

class configuration_history
{
public:
    // Registers itself as the configuration's `onAccept` and `onGap` observer.
    configuration_history(configuration &config, configuration_history_options options);

    // All held changes, oldest first.
    [[nodiscard]] auto changes() const -> const std::deque<entity_change> & { return m_changes; }

    // The offset up to which changes are missing; 0 if none is.
    [[nodiscard]] auto missingThrough() const -> std::uint64_t { return m_missingThrough; }

    // The entity as of that offset; no value if it cannot be derived from the held changes.
    [[nodiscard]] auto stateAt(v1::EntityKind kind, std::string_view id, std::uint64_t offset) const
        -> std::optional<entity_state>;

    // The changes of one entity, oldest first; pointers are valid until the next change.
    [[nodiscard]] auto changesOf(v1::EntityKind kind, std::string_view id) const
        -> std::vector<const entity_change *>;

private:
    auto recordChange(std::uint64_t offset, const v1::ConfigurationChange &change) -> void;
    auto recordGap(std::uint64_t through) -> void;
    auto dropOldest() -> void;
    [[nodiscard]] auto stateAfter(v1::EntityKind kind, std::string_view id,
                                  std::uint64_t offset) const -> entity_state;

    configuration &m_config;
    configuration_history_options m_options;
    std::deque<entity_change> m_changes;
    std::uint64_t m_missingThrough = 0;
};

} // namespace mustardline
