#pragma once

// The configuration, folded from the log's configuration stream.
//
//     configuration config;
//     config.apply(offset, record);              // records in offset order
//     const auto *account = config.clientAccount("kartkalkan");
//
// The fold is deterministic: the same records give the same configuration everywhere. A change is
// accepted if every entity it names still has the revision it was based on and the whole result is
// valid (configuration_rules.h); otherwise all of it has no effect. Revisions only grow, so an
// accepted change never reverts.
//
// Repeats of a record are dropped by its writer, boot and sequence. A record that tells its base
// offset is void once it lands more than `recordLifetime` offsets after it. So a writer's position
// can be forgotten when it is that old: whatever could still be repeated from it is void by age.
// Writers that ever left the base offset out are remembered for ever. For the same time a removed
// entity is remembered, so that a change written before the removal cannot make it again; the ids
// of removed keys are never used again.

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

// What the fold decided about a change.
struct change_decision
{
    std::uint64_t offset = 0;
    // `ok`, `conflict` or `invalid_entity`.
    result_code code = result_code::ok;
    std::string message;
};

struct configuration_options
{
    // Offsets that a record may land behind its base offset.
    std::uint64_t recordLifetime = 50'000;
    // Decisions remembered, the newest.
    std::size_t maxDecisions = 10'000;
};

class configuration
{
public:
    explicit configuration(configuration_options options = {}) : m_options(options) {}

    // Folds one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // Replaces everything by a snapshot; one that is older than this configuration is ignored.
    auto restore(v1::ConfigurationSnapshot snapshot) -> void;
    [[nodiscard]] auto snapshot() const -> v1::ConfigurationSnapshot;

    // The newest folded offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    // What became of a change that was folded since this process started or its snapshot; the
    // newest `maxDecisions` are known. A repeat of an accepted change, under whatever name, stays
    // accepted.
    [[nodiscard]] auto decision(std::string_view changeId) const -> std::optional<change_decision>;

    // Whether the change would be accepted now.
    [[nodiscard]] auto check(const v1::ConfigurationChange &change) const -> status;

    // Entities; null if absent. Pointers hold until the next `apply` or `restore`.
    [[nodiscard]] auto dataCentre(std::string_view id) const -> const v1::DataCentre *;
    [[nodiscard]] auto clientAccount(std::string_view id) const -> const v1::ClientAccount *;
    [[nodiscard]] auto key(std::string_view id) const -> const v1::Key *;
    [[nodiscard]] auto requestClass(std::string_view id) const -> const v1::RequestClass *;
    [[nodiscard]] auto route(std::string_view id) const -> const v1::Route *;
    [[nodiscard]] auto endpoint(std::string_view id) const -> const v1::Endpoint *;
    [[nodiscard]] auto modelScaling(std::string_view id) const -> const v1::ModelScaling *;

    // The route with the longest id that is a prefix of `path`.
    [[nodiscard]] auto routeFor(std::string_view path) const -> const v1::Route *;

    [[nodiscard]] auto find(v1::EntityKind kind, std::string_view id) const
        -> const v1::RevisedEntity *;

    // All entities of a kind in the order of their ids.
    [[nodiscard]] auto entities(v1::EntityKind kind) const
        -> std::vector<const v1::RevisedEntity *>;

    // Called after each accepted change with every entity that it set or removed.
    using change_observer = std::function<auto(v1::EntityKind, const std::string &id)->void>;
    auto onChange(change_observer observer) -> void { m_observer = std::move(observer); }

    // Called before an accepted change is applied.
    using accept_observer
        = std::function<auto(std::uint64_t offset, const v1::ConfigurationChange &)->void>;
    auto onAccept(accept_observer observer) -> void { m_acceptObserver = std::move(observer); }

    // Called when changes up to that offset took effect without `onAccept`: by a snapshot, or
    // because records are missing.
    using gap_observer = std::function<auto(std::uint64_t through)->void>;
    auto onGap(gap_observer observer) -> void { m_gapObserver = std::move(observer); }

    // How many entities refer to this one.
    [[nodiscard]] auto referenceCount(v1::EntityKind kind, std::string_view id) const
        -> std::uint32_t;

    // Whether a key of that id was removed.
    [[nodiscard]] auto isRetiredKey(std::string_view id) const -> bool;

    // Writers whose positions are remembered.
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
    auto notePosition(std::uint64_t offset, const v1::LogRecord &record) -> void;
    auto applyChange(std::uint64_t offset, const v1::LogRecord &record) -> void;
    auto applyEntity(std::uint64_t offset, const v1::EntityChange &item) -> void;
    auto countReferences(const v1::Entity &entity, std::int32_t by) -> void;
    auto decide(change_decision decision, const std::string &changeId) -> void;
    auto forgetOld() -> void;
    auto announce(const std::map<v1::EntityKind, entity_table> &before) -> void;

    configuration_options m_options;
    std::uint64_t m_offset = 0;
    std::map<v1::EntityKind, entity_table> m_tables;
    std::map<v1::EntityKind, reference_table> m_references;
    std::map<v1::EntityKind, removed_table> m_removed;
    std::map<std::pair<std::string, std::uint64_t>, v1::WriterPosition> m_writers;
    std::unordered_map<std::string, change_decision> m_decisions;
    std::deque<std::string> m_decisionOrder;
    change_observer m_observer;
    accept_observer m_acceptObserver;
    gap_observer m_gapObserver;
};

// The kind of an entity, or unspecified if it is empty.
[[nodiscard]] auto kindOf(const v1::Entity &entity) -> v1::EntityKind;

// The id of an entity; empty if it is empty.
[[nodiscard]] auto idOf(const v1::Entity &entity) -> const std::string &;

} // namespace mustardline
