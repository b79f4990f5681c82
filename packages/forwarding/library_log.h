#pragma once

// Passes on what libraries print, libevent and protobuf, to the log of the process.
//
//     logger log;
//     const library_log libraries(log);   // until it is destroyed; one at a time
//
// By default they write to standard error, without a bound and waiting for its reader: an error
// that repeats fills a disk, and a reader that stops holds up the process. Here at most a few lines
// a second are written; the next one says how many were left out.

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/log.h"

namespace mustardline {

class library_log
{
public:
    explicit library_log(logger &log);
    ~library_log();
    library_log(const library_log &) = delete;
    auto operator=(const library_log &) -> library_log & = delete;

    // Writes a message of a library, as far as the bound permits.
    auto write(std::string_view library, std::string_view text) -> void;

private:
    logger &m_log;
    system_runtime_clock m_clock;
    time_point m_secondBegan{};
    int m_linesInSecond = 0;
    std::uint64_t m_leftOut = 0;
};

} // namespace mustardline
