#pragma once

// The leases of this entry: contends for duties and tells whether it may act on them.
//
//     duty_leases leases(loop, http, log, {.entryName = "entry-1", .logAddress = address});
//     const auto &lease = leases.contend("usage/0");
//     leases.start();
//     ...
//     leases.tick();
//     if (lease.holds(clock.now()))
//         act(lease.fencing());
//
// The rules of the protocol are in coordination/lease_holder.h; here its records are carried to the
// log and back.

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

    // Contends for a duty from now on. The reference holds for the life of this object.
    auto contend(const std::string &duty) -> const lease_holder &;

    auto start() -> void { m_stream.start(); }

    // Claims, renews and gives back; call some times a second.
    auto tick() -> void;

    // Gives all leases back and claims no more.
    auto release() -> void;
    [[nodiscard]] auto isReleased() const -> bool;
    [[nodiscard]] auto isReachable() const -> bool { return m_stream.isReachable(); }
    // Whether the stream is read to its head, as far as this process can tell.
    [[nodiscard]] auto isAtHead() const -> bool { return m_stream.isCaughtUp() && isReachable(); }

    [[nodiscard]] auto table() const -> const lease_table & { return m_table; }

    // Appends a record to the stream of the leases.
    auto append(v1::LogRecord record) -> void;

    // Called with each record of the stream, after the lease table has folded it.
    std::function<auto(std::uint64_t offset, const v1::LogRecord &)->void> onRecord;

private:
    struct contender
    {
        std::string duty;
        lease_holder holder;
        bool held = false;
    };

    auto fold(std::span<const v1::LogEntry> entries) -> void;
    auto logChange(contender &item, time_point now) -> void;

    logger &m_log;
    duty_leases_options m_options;
    system_runtime_clock m_clock;
    std::string m_holderName;
    record_namer m_namer;
    lease_table m_table;
    std::deque<contender> m_contenders;
    stream_follower m_stream;
};

} // namespace mustardline
