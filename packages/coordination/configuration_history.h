#pragma once

// The newest accepted changes, for operators: who changed what, and from what to what.
//
//     configuration_history history(config, {});    // observes the configuration from now on
//     for (const auto *change : history.of(v1::ENTITY_KIND_KEY, "abc")) ...
//     for (const auto &line : differences(before, after)) ...
//
// It holds what this process folded since it started, up to a bound; the log is the full record, as
// far as it is kept. What is not held is told to be missing: of an entity at an offset, only what
// the held changes and the present revision prove is answered.

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
    // Absent if the entity did not exist before, or does not any more.
    std::optional<v1::Entity> before;
    std::optional<v1::Entity> after;
};

struct field_difference
{
    std::string field;
    // Text form of the values; an entity that is absent counts as one with all defaults.
    std::string before;
    std::string after;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const field_difference &) const = default;
};

// The fields in which two entities of a kind differ; an empty entity stands for none.
[[nodiscard]] auto differences(const v1::Entity &before, const v1::Entity &after)
    -> std::vector<field_difference>;

// An entity as it was at some offset; absent with revision 0 if it did not exist.
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
    // Takes the configuration's `onAccept` and `onGap`.
    configuration_history(configuration &config, configuration_history_options options);

    // All remembered changes, oldest first.
    [[nodiscard]] auto changes() const -> const std::deque<entity_change> & { return m_changes; }

    // Changes up to this offset are not held; 0 if none is missing.
    [[nodiscard]] auto missingThrough() const -> std::uint64_t { return m_missingThrough; }

    // The entity after that offset; nothing if what is held does not prove it.
    [[nodiscard]] auto at(v1::EntityKind kind, std::string_view id, std::uint64_t offset) const
        -> std::optional<entity_state>;

    // The changes of one entity, oldest first; they hold until the next change.
    [[nodiscard]] auto of(v1::EntityKind kind, std::string_view id) const
        -> std::vector<const entity_change *>;

private:
    auto note(std::uint64_t offset, const v1::ConfigurationChange &change) -> void;
    auto noteGap(std::uint64_t through) -> void;
    auto dropOldest() -> void;
    [[nodiscard]] auto stateAfter(v1::EntityKind kind, std::string_view id,
                                  std::uint64_t offset) const -> entity_state;

    configuration &m_config;
    configuration_history_options m_options;
    std::deque<entity_change> m_changes;
    std::uint64_t m_missingThrough = 0;
};

} // namespace mustardline
