#pragma once

// Snapshots in a log stream: splitting, reassembly, and the starting point of a new reader.
//
// A snapshot is any serialised state together with the offset up to which it includes the stream.
// It is too large for one record, so it is appended in parts, and is usable once all its parts are
// in the log.
//
//     for (const auto &part : splitSnapshot(bytes, offset, {})) log.append(recordOf(part));
//
//     replay_start start(oldestOffset);             // a new reader of a stream
//     start.add(offset, record);                    // records in offset order, from the oldest
//     if (start.isReady())
//         restore(start.snapshot()), apply(start.tail());
//
//     snapshot_schedule schedule({});               // the process that writes the snapshots
//     schedule.observe(record);
//     if (schedule.isDue(offset)) ...

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "log.pb.h"

namespace mustardline {

struct complete_snapshot
{
    std::uint64_t coversOffset = 0;
    std::string data;
};

struct snapshot_split_options
{
    std::size_t maxPartBytes = 64U << 10U;
};

// Splits a snapshot into parts, at least one.
[[nodiscard]] auto splitSnapshot(std::string_view data, std::uint64_t coversOffset,
                                 snapshot_split_options options) -> std::vector<v1::SnapshotPart>;

// Reassembles snapshots from parts, which may arrive in any order and more than once.
class snapshot_assembler
{
public:
    // Adds one part; returns the snapshot if this part completes it. Parts of a snapshot that does
    // not cover more than the last complete one are ignored.
    auto add(const v1::SnapshotPart &part) -> std::optional<complete_snapshot>;

private:
    struct partial_snapshot
    {
        std::vector<std::string> parts;
        std::size_t missing = 0;
    };

    std::uint64_t m_completeOffset = 0;
    std::map<std::string, partial_snapshot> m_partials;
    // Ids of incomplete snapshots in the order of their first part; the oldest are discarded.
    std::deque<std::string> m_order;
};

// Finds the snapshot and records from which to rebuild the state of a stream whose first records
// may have expired.
class replay_start
{
public:
    explicit replay_start(std::uint64_t oldestOffset) : m_oldestOffset(oldestOffset) {}

    auto add(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // Whether the state can be rebuilt: from the first record of the stream, or from a complete
    // snapshot after which no record is missing.
    [[nodiscard]] auto isReady() const -> bool { return m_oldestOffset == 1 || m_snapshot; }

    // The snapshot to restore first; none if the records start at the first of the stream.
    [[nodiscard]] auto snapshot() const -> const std::optional<complete_snapshot> &
    {
        return m_snapshot;
    }

    // The records to apply after it.
    [[nodiscard]] auto tail() const -> const std::deque<std::pair<std::uint64_t, v1::LogRecord>> &
    {
        return m_tail;
    }

private:
    std::uint64_t m_oldestOffset;
    snapshot_assembler m_assembler;
    std::optional<complete_snapshot> m_snapshot;
    std::deque<std::pair<std::uint64_t, v1::LogRecord>> m_tail;
};

struct snapshot_schedule_options
{
    // Offsets between snapshots; must be well below the number of records that the log retains.
    std::uint64_t interval = 20'000;
};

// Determines when the process that holds the lease for a stream's snapshots must write the next
// one.
class snapshot_schedule
{
public:
    explicit snapshot_schedule(snapshot_schedule_options options) : m_options(options) {}

    // Processes a record of the stream, which may complete a snapshot.
    auto observe(const v1::LogRecord &record) -> void;

    // Whether a snapshot should be written, given that the stream was applied up to `offset`. After
    // `markStarted`, the next one is due only after a full interval, even if that snapshot was
    // never completed.
    [[nodiscard]] auto isDue(std::uint64_t offset) const -> bool;
    auto markStarted(std::uint64_t offset) -> void { m_startedOffset = offset; }

private:
    snapshot_schedule_options m_options;
    snapshot_assembler m_assembler;
    std::uint64_t m_coveredOffset = 0;
    std::uint64_t m_startedOffset = 0;
};

} // namespace mustardline
