#pragma once

// Gives the log records of one writer unique ids, so that a retried append has no second effect.
//
//     record_namer namer("entry-1");
//     log.append(namer.finish(record, config.offset()), done);
//
// Each stream needs its own instance: readers expect the sequence numbers of a (writer, boot) pair
// within a stream in ascending order.

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/hashing.h"
#include "log.pb.h"

namespace mustardline {

class record_namer
{
public:
    explicit record_namer(std::string writer) : m_writer(std::move(writer)), m_boot(randomBits()) {}

    // Fills in the record's id (writer, boot, sequence) and serialises the record. `baseOffset` is
    // the writer's applied offset in the stream, or 0 if the writer does not read the stream.
    [[nodiscard]] auto finish(v1::LogRecord record, std::uint64_t baseOffset = 0) -> std::string
    {
        record.set_writer(m_writer);
        record.set_boot(m_boot);
        record.set_sequence(++m_sequence);
        record.set_written_unix_ms(system_runtime_clock().unixNow());
        record.set_base_offset(baseOffset);
        return record.SerializeAsString();
    }

private:
    std::string m_writer;
    std::uint64_t m_boot;
    std::uint64_t m_sequence = 0;
};

} // namespace mustardline
