#pragma once

// The configuration: the state that results from applying the records of the log's configuration
// stream in offset order.
//
//     configuration config;
//     config.apply(offset, record);              // records in offset order
//     const auto *account = config.clientAccount("kartkalkan");
//
// Applying records is deterministic: the same records give the same configuration in every process.
// A change is accepted if every entity it names still has the revision it was based on and the
// resulting configuration is valid (configuration_rules.h); otherwise none of it takes effect.
// Revisions only grow, so an accepted change is never undone by a stale one.
//
// Duplicate records are recognised by writer, boot and sequence, and ignored. A record that carries
// a base offset is rejected if it lands more than `recordLifetime` offsets after it. A writer's
// position can therefore be discarded at that age: any duplicate that could still arrive from it
// would be rejected as too old. Positions of writers that ever omitted the base offset are kept for
// good. The removal of an entity is remembered for the same number of offsets, so that a change
// written before the removal cannot recreate the entity; ids of removed keys are never reused.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "configuration.pb.h"
#include "log.pb.h"

namespace mustardline {

// The decision on one change.
struct change_decision
{
    std::uint64_t offset = 0;
    // `ok`, `conflict` or `invalid_entity`.
    result_code code = result_code::ok;
    std::string message;
};

struct configuration_options
{
    // The greatest distance, in offsets, between a record and its base offset.
    std::uint64_t recordLifetime = 50'000;
    // How many of the newest decisions are remembered.
    std::size_t maxDecisions = 10'000;
};

class configuration
{
public:
    explicit configuration(configuration_options options = {}) : m_options(options) {}

    // Applies one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // Replaces the whole state by a snapshot, unless the snapshot is not newer.
    auto restore(v1::ConfigurationSnapshot snapshot) -> void;
    [[nodiscard]] auto snapshot() const -> v1::ConfigurationSnapshot;

    // The offset of the last applied record; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    // The decision on a change that this object has applied as a record; snapshots carry no
    // decisions, and only the newest `maxDecisions` are kept. Once a change id is accepted, it
    // stays so, even if another record repeats it.
    [[nodiscard]] auto decision(std::string_view changeId) const -> std::optional<change_decision>;

    // Succeeds if the change would be accepted now.
    [[nodiscard]] auto check(const v1::ConfigurationChange &change) const -> status;

    // Entities by id; null if absent. Pointers are valid until the next `apply` or `restore`.
    [[nodiscard]] auto dataCentre(std::string_view id) const -> const v1::DataCentre *;
    [[nodiscard]] auto clientAccount(std::string_view id) const -> const v1::ClientAccount *;
    [[nodiscard]] auto key(std::string_view id) const -> const v1::Key *;
    [[nodiscard]] auto requestClass(std::string_view id) const -> const v1::RequestClass *;
    [[nodiscard]] auto route(std::string_view id) const -> const v1::Route *;
    [[nodiscard]] auto endpoint(std::string_view id) const -> const v1::Endpoint *;
    [[nodiscard]] auto modelScaling(std::string_view id) const -> const v1::ModelScaling *;

    // The route whose id is the longest prefix of `path`; null if there is none.
    [[nodiscard]] auto routeFor(std::string_view path) const -> const v1::Route *;

    [[nodiscard]] auto find(v1::EntityKind kind, std::string_view id) const
        -> const v1::RevisedEntity *;

    // All entities of a kind, ordered by id.
    [[nodiscard]] auto entities(v1::EntityKind kind) const
        -> std::vector<const v1::RevisedEntity *>;

    // Called after each accepted change, once for every entity that it set or removed.
    using change_observer = std::function<auto(v1::EntityKind, const std::string &id)->void>;
    auto onChange(change_observer observer) -> void { m_changeObserver = std::move(observer); }

    // Called before an accepted change is applied.
    using accept_observer
        = std::function<auto(std::uint64_t offset, const v1::ConfigurationChange &)->void>;
    auto onAccept(accept_observer observer) -> void { m_acceptObserver = std::move(observer); }

    // Called when changes up to `through` were not reported to `onAccept`, because a snapshot was
    // restored or records were skipped.
    using gap_observer = std::function<auto(std::uint64_t through)->void>;
    auto onGap(gap_observer observer) -> void { m_gapObserver = std::move(observer); }

    // The number of entities that refer to this one.
    [[nodiscard]] auto referenceCount(v1::EntityKind kind, std::string_view id) const
        -> std::uint32_t;

    // Whether a key with this id existed and was removed.
    [[nodiscard]] auto isRetiredKey(std::string_view id) const -> bool;

    // The number of writers whose positions are remembered.
    [[nodiscard]] auto writerCount() const -> std::size_t { return m_writers.size(); }

private:
    using entity_table = std::map<std::string, v1::RevisedEntity, std::less<>>;
    using removed_table = std::map<std::string, std::uint64_t, std::less<>>;
    using reference_table = std::map<std::string, std::uint32_t, std::less<>>;

    [[nodiscard]] auto table(v1::EntityKind kind) const -> const entity_table *;
    [[nodiscard]] auto isRepeat(const v1::LogRecord &record) const -> bool;
    [[nodiscard]] auto isTooOld(std::uint64_t offset, std::uint64_t baseOffset) const -> bool;
    [[nodiscard]] auto checkRecord(std::uint64_t offset, const v1::LogRecord &record) const
        -> status;
    auto updateWriterPosition(std::uint64_t offset, const v1::LogRecord &record) -> void;
    auto applyChange(std::uint64_t offset, const v1::LogRecord &record) -> void;
    auto applyEntity(std::uint64_t offset, const v1::EntityChange &item) -> void;
    auto adjustReferenceCounts(const v1::Entity &entity, std::int32_t delta) -> void;
    auto recordDecision(change_decision decision, const std::string &changeId) -> void;
    auto removeExpired() -> void;
    auto notifyRestored(const std::map<v1::EntityKind, entity_table> &before) -> void;

    configuration_options m_options;
    std::uint64_t m_offset = 0;
    std::map<v1::EntityKind, entity_table> m_tables;
    std::map<v1::EntityKind, reference_table> m_references;
    std::map<v1::EntityKind, removed_table> m_removed;
    std::map<std::pair<std::string, std::uint64_t>, v1::WriterPosition> m_writers;
    std::unordered_map<std::string, change_decision> m_decisions;
    std::deque<std::string> m_decisionOrder;
    change_observer m_changeObserver;
    accept_observer m_acceptObserver;
    gap_observer m_gapObserver;
};

// The kind of an entity; unspecified if none is set.
[[nodiscard]] auto kindOf(const v1::Entity &entity) -> v1::EntityKind;

// The id of an entity; empty if no entity is set.
[[nodiscard]] auto idOf(const v1::Entity &entity) -> const std::string &;

} // namespace mustardline
