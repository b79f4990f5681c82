#pragma once

// Keeps a configuration up to date from the log or from peers, and serves it to peers.
//
//     configuration_feed feed(config, {});
//     feed.add(entries);                            // from the log or a CatchUpReply
//     reply = feed.answer(request);                 // to a CatchUpRequest
//     feed.applyReply(reply);                       // a peer's answer to feed.request()
//
// The newest records are retained. A peer that lacks only retained records gets those, in replies
// of bounded size; one that is further behind gets a snapshot, in parts of bounded size that it
// requests one by one. Records are forwarded byte for byte, so every process applies the same
// records; only the data of snapshot parts, which does not affect the configuration, is removed.

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
    // Size of the records retained for peers.
    std::size_t maxRetainedBytes = 2U << 20U;
    // Size of the records in one reply; a single larger record is sent alone.
    std::size_t maxReplyBytes = 32U << 10U;
    snapshot_split_options snapshotSplit;
};

class configuration_feed
{
public:
    configuration_feed(configuration &config, configuration_feed_options options)
        : m_config(config), m_options(options)
    {}

    // Applies and retains the records that directly follow the configuration's offset; others are
    // ignored. Returns whether the configuration's offset has changed.
    auto add(std::span<const v1::LogEntry> entries) -> bool;

    // Restores a snapshot if it is newer; returns whether it was.
    auto restore(v1::ConfigurationSnapshot snapshot) -> bool;

    [[nodiscard]] auto answer(const v1::CatchUpRequest &request) -> v1::CatchUpReply;

    // The next request to send: for records after the own offset, or for the next snapshot part.
    [[nodiscard]] auto request() const -> v1::CatchUpRequest;

    // Applies a peer's reply. Returns whether the configuration's offset has changed or a snapshot
    // part was accepted, so that the next request should be sent at once.
    auto applyReply(const v1::CatchUpReply &reply) -> bool;

    [[nodiscard]] auto offset() const -> std::uint64_t { return m_config.offset(); }

    // Whether a snapshot is partly fetched; its next part must come from the same peer.
    [[nodiscard]] auto isFetching() const -> bool { return m_nextPart != 0; }

    // Frees the snapshot that is cached for peers; to be called periodically.
    auto dropSnapshot() -> void { m_servedParts.clear(); }

    [[nodiscard]] auto retainedBytes() const -> std::size_t { return m_retainedBytes; }

private:
    auto applyEntry(const v1::LogEntry &entry) -> bool;
    auto retain(v1::LogEntry entry) -> void;
    auto addRecords(std::uint64_t after, v1::CatchUpReply &reply) const -> void;
    auto addSnapshotPart(const v1::CatchUpRequest &request, v1::CatchUpReply &reply) -> void;
    auto applyPart(const v1::SnapshotPart &part) -> bool;
    [[nodiscard]] auto hasRecordsAfter(std::uint64_t offset) const -> bool;

    configuration &m_config;
    configuration_feed_options m_options;
    std::deque<v1::LogEntry> m_retained;
    std::size_t m_retainedBytes = 0;
    // The cached snapshot that is served to peers.
    std::vector<v1::SnapshotPart> m_servedParts;
    // The snapshot that this process is fetching.
    std::uint64_t m_fetchedOffset = 0;
    std::uint32_t m_nextPart = 0;
    std::string m_fetchedData;
};

} // namespace mustardline
