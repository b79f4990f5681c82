#pragma once

// Keeps the configuration of an entry process up to date from the log, or from its peers while the
// log is unreachable, and serves it to agents and peers.
//
//     configuration_follower follower(loop, http, log, config, leases,
//                                     {.entryName = "entry-1", .logAddress = address,
//                                      .peers = peerControlAddresses});
//     follower.onAdvanced = [&] { ... };
//     follower.start();
//     reply = follower.answer(sender, itsOffset, catchUpRequest);
//
// The process that holds the lease "snapshot/configuration" appends snapshots to the stream before
// the log deletes the records that they cover.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/log.h"
#include "control.pb.h"
#include "coordination/configuration.h"
#include "coordination/configuration_feed.h"
#include "coordination/configuration_gossip.h"
#include "entry/duty_leases.h"
#include "entry/record_namer.h"
#include "entry/stream_follower.h"
#include "net/control_socket.h"

namespace mustardline {

struct configuration_follower_options
{
    std::string entryName;
    socket_address logAddress;
    // Control addresses of the other entry processes.
    std::vector<socket_address> peers;
};

class configuration_follower
{
public:
    configuration_follower(event_loop &loop, http_client &http, logger &log, configuration &config,
                           duty_leases &leases, configuration_follower_options options);

    auto start() -> void { m_stream.start(); }

    // Queries peers and writes snapshots; to be called several times a second.
    auto tick() -> void;

    // Appends a record to the configuration stream.
    auto append(v1::LogRecord record) -> void;

    // Returns records that the requester lacks, or a part of a snapshot.
    [[nodiscard]] auto answer(const v1::CatchUpRequest &request) -> v1::CatchUpReply
    {
        return m_feed.answer(request);
    }

    // Handles the configuration offset reported in a message of another process.
    auto observeOffset(const std::string &sender, std::uint64_t offset) -> void;

    // Whether a configuration is loaded, from the log or, during an outage of the log, from a peer.
    [[nodiscard]] auto isUsable() const -> bool
    {
        return m_stream.isCaughtUp() || m_config.offset() > 0;
    }

    // Called after the configuration's offset has advanced.
    std::function<auto()->void> onAdvanced;

private:
    auto applyEntries(std::span<const v1::LogEntry> entries) -> void;
    auto restore(const complete_snapshot &snapshot) -> void;
    auto sendQuery(const catch_up_query &query) -> void;
    auto handleCatchUpReply(const std::string &peer, const result<std::string> &reply) -> void;
    auto writeSnapshotIfDue() -> void;

    event_loop &m_loop;
    logger &m_log;
    configuration &m_config;
    configuration_follower_options m_options;
    system_runtime_clock m_clock;
    configuration_feed m_feed;
    configuration_gossip m_gossip;
    record_namer m_namer;
    snapshot_schedule m_snapshots{{}};
    time_point m_dropSnapshotAt{};
    const lease_holder &m_snapshotLease;
    std::map<std::string, std::unique_ptr<control_client>> m_peers;
    stream_follower m_stream;
};

} // namespace mustardline
