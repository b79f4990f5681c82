#pragma once

// The configuration with its newest records, fed from the log or from peers, and served to peers.
//
//     configuration_feed feed(config, {});
//     feed.add(entries);                            // from the log or a CatchUpReply
//     reply = feed.answer(request);                 // to a CatchUpRequest
//     feed.take(reply);                             // what a peer answered
//
// A peer that is a little behind gets the records that it lacks, bounded in bytes; one that is
// further behind gets a snapshot in parts of bounded size, asked for one by one. Records are passed
// on as they came, so every process folds the same bytes; only the data of snapshot parts, which
// the fold does not look at, is left out.

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>

#include "control.pb.h"
#include "coordination/configuration.h"
#include "coordination/snapshot_parts.h"

namespace mustardline {

struct configuration_feed_options
{
    // Records kept for peers.
    std::size_t maxKeptBytes = 2U << 20U;
    // Records in one answer.
    std::size_t maxReplyBytes = 32U << 10U;
    snapshot_split_options snapshotSplit;
};

class configuration_feed
{
public:
    configuration_feed(configuration &config, configuration_feed_options options)
        : m_config(config), m_options(options)
    {}

    // Folds records that follow the configuration's offset and keeps them; others are dropped.
    // Answers whether the configuration has moved.
    auto add(std::span<const v1::LogEntry> entries) -> bool;

    // Restores a snapshot, if it is newer.
    auto restore(v1::ConfigurationSnapshot snapshot) -> bool;

    [[nodiscard]] auto answer(const v1::CatchUpRequest &request) -> v1::CatchUpReply;

    // What to ask next: records after the own offset, or the next part of a snapshot.
    [[nodiscard]] auto request() const -> v1::CatchUpRequest;

    // Takes a peer's answer. Answers whether the configuration has moved or a part was taken, so
    // that asking on at once is worthwhile.
    auto take(const v1::CatchUpReply &reply) -> bool;

    [[nodiscard]] auto offset() const -> std::uint64_t { return m_config.offset(); }

    // Whether part of a snapshot was taken and its next part is to be asked of the same peer.
    [[nodiscard]] auto isFetching() const -> bool { return m_nextPart != 0; }

    // Frees the snapshot kept for peers; call it now and then.
    auto dropSnapshot() -> void { m_parts.clear(); }

    [[nodiscard]] auto keptBytes() const -> std::size_t { return m_keptBytes; }

private:
    auto addOne(const v1::LogEntry &entry) -> bool;
    auto keep(v1::LogEntry entry) -> void;
    auto answerRecords(std::uint64_t after, v1::CatchUpReply &reply) const -> void;
    auto answerPart(const v1::CatchUpRequest &request, v1::CatchUpReply &reply) -> void;
    auto takePart(const v1::SnapshotPart &part) -> bool;
    [[nodiscard]] auto keepsAfter(std::uint64_t offset) const -> bool;

    configuration &m_config;
    configuration_feed_options m_options;
    std::deque<v1::LogEntry> m_kept;
    std::size_t m_keptBytes = 0;
    // The snapshot that peers are fetching.
    std::vector<v1::SnapshotPart> m_parts;
    // The snapshot that this process is fetching.
    std::uint64_t m_fetchedOffset = 0;
    std::uint32_t m_nextPart = 0;
    std::string m_fetched;
};

} // namespace mustardline
