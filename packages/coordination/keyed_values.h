#pragma once

// The newest known record of each key of a topic, over all eras of a service that can come back
// from an older copy. Decides which records are reported, and what is kept although the service
// has lost it. Does no I/O.
//
//     keyed_values values({.compare = compareVersions});
//     values.beginLoad();
//     for (const auto &record : page) if (values.applyLoaded(record, now)) report(record);
//     values.finishLoad(end, now);
//     for (const auto &record : values.takeDecided(now)) report(record); // from time to time
//     if (values.apply(record)) report(record);                          // appended records
//
// Within one era, the record at the later offset is the newer one. After the service came back from
// an older copy, the newest values that are read may be older than the known ones. `compare`
// decides where it can: a newer value is taken at once, and an older one never. Where it cannot,
// and for a key that the service has lost, the known value is kept for `rewriteTime`: its writer
// writes it again. What the service holds afterwards counts. A deleted key stays deleted for that
// time if the service holds the deleted value, or an older one; a value that cannot be compared
// with it counts at once. So does a record that is appended in the new era.

#include <compare>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/shared_log.h"

namespace mustardline {

struct keyed_values_options
{
    // Time for writers to write again what the service has lost.
    duration rewriteTime = std::chrono::milliseconds(2500);
    // Time for which a deletion is remembered. It must exceed the age of a copy.
    duration deletionMemory = std::chrono::seconds(60);
    // Orders two records of a key by their values, both of which are present. Unordered if that
    // cannot be told.
    std::function<auto(const keyed_record &, const keyed_record &)->std::partial_ordering> compare
        = [](const auto &, const auto &) { return std::partial_ordering::unordered; };
};

class keyed_values
{
public:
    using key_set = std::set<std::string, std::less<>>;

    explicit keyed_values(keyed_values_options options) : m_options(std::move(options)) {}

    // Applies a record that was appended, or that another process has read. Returns whether it is
    // to be reported: it is not older than the known one.
    auto apply(const keyed_record &record, time_point now) -> bool;

    // Begins to read the newest values of all keys, anew.
    auto beginLoad() -> void { m_loaded.clear(); }
    // Applies one of the newest values; returns whether it is to be reported.
    auto applyLoaded(const keyed_record &record, time_point now) -> bool;
    // All newest values were applied; `end` is the end of the topic before the first one was read.
    // A load that may have missed keys deletes none.
    auto finishLoad(const log_position &end, time_point now, bool mayHaveMissed = false) -> void;

    // Records that take the place of values which were kept for `rewriteTime`, to be reported.
    [[nodiscard]] auto takeDecided(time_point now) -> std::vector<keyed_record>;

    // Applies a record of another process that knows more than the service does: a value that is
    // newer, or that the service has lost. `end` is where this process reads on. Returns whether it
    // is to be reported.
    auto learn(const keyed_record &record, const log_position &end, time_point now) -> bool;

    // Keeps the key, but not its value: nobody can use it, and it would take memory for as long as
    // the key exists.
    auto discardValue(const std::string &key) -> void;

    // Forgets all.
    auto clear() -> void;

    // The keys that have a value, and the records of those whose value was not discarded.
    [[nodiscard]] auto keys() const -> key_set;
    [[nodiscard]] auto records() const -> std::vector<keyed_record>;
    // The number of values that are kept although the service holds others, or none.
    [[nodiscard]] auto keptCount() const -> std::size_t { return m_kept.size(); }

private:
    // What the service holds instead of a kept value, and when that counts.
    struct kept_state
    {
        keyed_record held;
        // Never, if the held value is older.
        std::optional<time_point> until;
    };
    struct entry
    {
        // The known record; without a value if the key was deleted.
        keyed_record known;
        // The last value of a deleted key.
        std::optional<std::string> deletedValue;
        // The known value was discarded: whatever is loaded takes its place.
        bool isDiscarded = false;
    };

    auto set(entry &target, const keyed_record &record, time_point now) -> void;
    auto keep(const std::string &key, keyed_record held, std::optional<time_point> until) -> void;
    // Compares a record of a later era with the known state.
    [[nodiscard]] auto compare(const keyed_record &record, const entry &known) const
        -> std::partial_ordering;
    auto forgetDeletions(time_point now) -> void;

    keyed_values_options m_options;
    std::unordered_map<std::string, entry> m_entries;
    std::unordered_map<std::string, kept_state> m_kept;
    // Keys that the load in progress has named.
    key_set m_loaded;
    // When keys were deleted, in order.
    std::deque<std::pair<time_point, std::string>> m_deletions;
};

} // namespace mustardline
