#pragma once

// Usage of all client accounts: builds the ledger from the log and, while this entry process holds
// the lease of a shard, closes windows and reports them to the platform.
//
//     usage_duty usage(loop, http, log, leases, {.entryName = "entry-1", ...});
//     usage.start();
//     usage.tick();                                   // several times a second

#include <cstdint>
#include <deque>
#include <span>
#include <string>

#include "base/log.h"
#include "coordination/usage_client.h"
#include "coordination/usage_ledger.h"
#include "coordination/usage_reporter.h"
#include "entry/duty_leases.h"
#include "entry/record_namer.h"
#include "entry/stream_follower.h"
#include "operator.pb.h"

namespace mustardline {

struct usage_duty_options
{
    std::string entryName;
    socket_address logAddress;
    socket_address usageAddress;
    // The window length must be the same in the whole fleet.
    duration window = std::chrono::seconds(60);
    duration closeDelay = std::chrono::minutes(2);
    std::uint32_t shards = 1;
};

class usage_duty
{
public:
    usage_duty(event_loop &loop, http_client &http, logger &log, duty_leases &leases,
               usage_duty_options options);

    auto start() -> void { m_stream.start(); }

    // Closes and reports the windows that are due.
    auto tick() -> void;

    // The stream of usage records, for appends.
    [[nodiscard]] auto stream() -> stream_follower & { return m_stream; }
    [[nodiscard]] auto ledger() const -> const usage_ledger & { return m_ledger; }

    // Fills in the windows of a client account that the ledger holds: reported, sealed, then open
    // ones.
    auto describe(const v1::UsageRequest &request, v1::UsageResponse &response) const -> void;

private:
    struct shard
    {
        usage_reporter reporter;
        const lease_holder &lease;
    };

    auto applyRecords(std::span<const v1::LogEntry> entries) -> void;
    auto restore(const complete_snapshot &snapshot) -> void;
    auto tickShard(shard &item) -> void;
    auto writeSnapshotIfDue() -> void;

    logger &m_log;
    usage_duty_options m_options;
    system_runtime_clock m_clock;
    usage_ledger m_ledger;
    usage_client m_client;
    record_namer m_namer;
    snapshot_schedule m_snapshots{{}};
    std::deque<shard> m_shards;
    stream_follower m_stream;
};

} // namespace mustardline
