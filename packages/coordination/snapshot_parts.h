#pragma once

// Snapshots in a log stream: splitting, reassembly, and where a new reader begins.
//
// A snapshot is any serialised state with the offset that it covers. It is too large for one
// record, so it is appended in parts, and counts once all its parts are in the log.
//
//     for (const auto &part : splitSnapshot(bytes, offset, {})) log.append(recordOf(part));
//
//     stream_start start(oldestOffset);             // a new reader of a stream
//     start.add(offset, record);                    // records in offset order, from the oldest
//     if (start.isReady())
//         restore(start.snapshot()), fold(start.tail());
//
//     snapshot_schedule schedule({});               // whoever writes the snapshots
//     schedule.note(record);
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

struct whole_snapshot
{
    std::uint64_t coversOffset = 0;
    std::string data;
};

struct snapshot_split_options
{
    std::size_t maxPartBytes = 64U << 10U;
};

// The parts of a snapshot; there is at least one.
[[nodiscard]] auto splitSnapshot(std::string_view data, std::uint64_t coversOffset,
                                 snapshot_split_options options) -> std::vector<v1::SnapshotPart>;

// Puts parts together, in whatever order and however often they come.
class snapshot_assembler
{
public:
    // Takes one part, and gives the snapshot if this one made it whole. A snapshot that covers less
    // than one already whole is dropped.
    auto add(const v1::SnapshotPart &part) -> std::optional<whole_snapshot>;

private:
    struct collection
    {
        std::vector<std::string> parts;
        std::size_t missing = 0;
    };

    std::uint64_t m_wholeOffset = 0;
    std::map<std::string, collection> m_collections;
    // In the order of their first part; the oldest are given up.
    std::deque<std::string> m_order;
};

// Finds where to begin the fold of a stream whose beginning may have expired.
class stream_start
{
public:
    explicit stream_start(std::uint64_t oldestOffset) : m_oldestOffset(oldestOffset) {}

    auto add(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // Whether the fold can begin: at the first record, or at a snapshot that no gap follows.
    [[nodiscard]] auto isReady() const -> bool { return m_oldestOffset == 1 || m_snapshot; }

    // The snapshot to begin with; empty if the fold begins at the first record.
    [[nodiscard]] auto snapshot() const -> const std::optional<whole_snapshot> &
    {
        return m_snapshot;
    }

    // The records to fold after it.
    [[nodiscard]] auto tail() const -> const std::deque<std::pair<std::uint64_t, v1::LogRecord>> &
    {
        return m_tail;
    }

private:
    std::uint64_t m_oldestOffset;
    snapshot_assembler m_assembler;
    std::optional<whole_snapshot> m_snapshot;
    std::deque<std::pair<std::uint64_t, v1::LogRecord>> m_tail;
};

struct snapshot_schedule_options
{
    // Offsets between snapshots; well under what the log keeps.
    std::uint64_t every = 20'000;
};

// Tells the lease holder of a stream's snapshots when the next one is due.
class snapshot_schedule
{
public:
    explicit snapshot_schedule(snapshot_schedule_options options) : m_options(options) {}

    // Takes note of a record of the stream.
    auto note(const v1::LogRecord &record) -> void;

    // Whether a snapshot should be written now that the stream was folded up to `offset`. Once
    // started, the same snapshot is not due again before as many offsets have gone by.
    [[nodiscard]] auto isDue(std::uint64_t offset) const -> bool;
    auto started(std::uint64_t offset) -> void { m_startedAt = offset; }

private:
    snapshot_schedule_options m_options;
    snapshot_assembler m_assembler;
    std::uint64_t m_covered = 0;
    std::uint64_t m_startedAt = 0;
};

} // namespace mustardline
