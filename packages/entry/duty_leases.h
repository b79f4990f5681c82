#pragma once

// The leases of this entry process: contends for duties and reports whether it holds them.
//
//     duty_leases leases(loop, http, log, {.entryName = "entry-1", .logAddress = address});
//     const auto &lease = leases.contend("usage/0");
//     leases.start();
//     ...
//     leases.tick();
//     if (lease.holds(clock.now()))
//         act(lease.fencing());
//
// coordination/lease_holder.h holds the rules of the protocol; this class appends its records to
// the log and passes on those that it reads.

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>

#include "base/log.h"
#include "coordination/lease_holder.h"
#include "coordination/lease_table.h"
#include "entry/record_namer.h"
#include "entry/stream_follower.h"

namespace mustardline {

struct duty_leases_options
{
    std::string entryName;
    socket_address logAddress;
    duration term = std::chrono::seconds(10);
};

class duty_leases
{
public:
    duty_leases(event_loop &loop, http_client &http, logger &log, duty_leases_options options);

    // Contends for a duty from now on. The reference is valid for the life of this object.
    auto contend(const std::string &duty) -> const lease_holder &;

    auto start() -> void { m_stream.start(); }

    // Claims, renews and releases leases; call several times a second.
    auto tick() -> void;

    // Releases all leases and stops claiming.
    auto release() -> void;
    [[nodiscard]] auto isReleased() const -> bool;
    [[nodiscard]] auto isReachable() const -> bool { return m_stream.isReachable(); }
    // Whether the stream has been read to its head, as far as this process can tell.
    [[nodiscard]] auto isAtHead() const -> bool { return m_stream.isCaughtUp() && isReachable(); }

    [[nodiscard]] auto table() const -> const lease_table & { return m_table; }

    // Appends a record to the lease stream.
    auto append(v1::LogRecord record) -> void;

    // Called with each record of the stream, after the lease table has applied it.
    std::function<auto(std::uint64_t offset, const v1::LogRecord &)->void> onRecord;

private:
    struct candidate
    {
        std::string duty;
        lease_holder holder;
        bool held = false;
    };

    auto applyRecords(std::span<const v1::LogEntry> entries) -> void;
    auto logChange(candidate &item, time_point now) -> void;

    logger &m_log;
    duty_leases_options m_options;
    system_runtime_clock m_clock;
    std::string m_holderName;
    record_namer m_namer;
    lease_table m_table;
    std::deque<candidate> m_candidates;
    stream_follower m_stream;
};

} // namespace mustardline
