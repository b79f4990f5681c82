#pragma once

// The HTTP log service of the stand-in platform: appends, reads and long polls on the in-memory
// streams `configuration`, `leases`, `usage` and `claims`.
//
//     platform_log log(loop, gate);
//     log.addRoutes(routes);

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standin/fault_gate.h"
#include "standin/log_stream.h"

namespace mustardline::standin {

class platform_log
{
public:
    platform_log(event_loop &loop, fault_gate &gate) : m_gate(gate), m_timers(loop) {}

    auto addRoutes(route_table &routes) -> void;

    // Null if there is no stream of that name.
    [[nodiscard]] auto find(const std::string &stream) -> log_stream *;

    // Completes all pending long polls now, so that an outage that has just begun applies to them
    // too.
    auto endLongPolls() -> void;

private:
    // A long poll that waits for its first entry.
    struct waiting_read
    {
        exchange_ptr exchange;
        std::uint64_t from = 0;
        std::size_t max = 0;
    };

    struct served_stream
    {
        log_stream records;
        std::map<std::uint64_t, waiting_read> waiting;
    };

    auto append(served_stream &stream, const exchange_ptr &exchange) -> void;
    auto read(served_stream &stream, const exchange_ptr &exchange) -> void;
    auto wait(served_stream &stream, waiting_read read, std::uint64_t waitMs) -> void;
    auto respondToRead(const log_stream &records, const waiting_read &read) -> void;
    auto wakeReaders(served_stream &stream) -> void;

    fault_gate &m_gate;
    timer_set m_timers;
    std::map<std::string, served_stream> m_streams;
    std::uint64_t m_nextWait = 0;
};

} // namespace mustardline::standin
