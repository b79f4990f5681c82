#pragma once

// Keeps the entry's configuration at the head of the log, and passes it on to agents.
//
//     configuration_follower follower(loop, http, log, config, {.logAddress = address});
//     follower.onRecord = [&] { ... };
//     follower.start();
//     reply = follower.answer(catchUpRequest);
//
// Recent records are kept, so that an agent that is a little behind gets just those; one that is
// further behind gets a snapshot.

#include <cstdint>
#include <deque>
#include <functional>

#include "base/log.h"
#include "control.pb.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "platform/configuration.h"
#include "platform/log_client.h"

namespace mustardline {

struct configuration_follower_options
{
    socket_address logAddress;
    // Records kept for agents that are behind.
    std::size_t maxRecentRecords = 4096;
    // Records sent in one answer.
    std::size_t maxRecordsPerAnswer = 512;
};

class configuration_follower
{
public:
    configuration_follower(event_loop &loop, http_client &http, logger &log, configuration &config,
                           configuration_follower_options options);

    auto start() -> void;

    // Records that the asker lacks, or a snapshot.
    [[nodiscard]] auto answer(const v1::CatchUpRequest &request) const -> v1::CatchUpReply;

    // Whether the head of the log has been reached once.
    [[nodiscard]] auto isCaughtUp() const -> bool { return m_caughtUp; }

    // Called after records were folded.
    std::function<auto()->void> onFolded;

    // The client of the stream, for appends.
    [[nodiscard]] auto stream() -> log_client & { return m_stream; }

private:
    auto fold(std::span<const v1::LogEntry> entries) -> void;

    logger &m_log;
    configuration &m_config;
    configuration_follower_options m_options;
    log_client m_stream;
    std::deque<v1::LogEntry> m_recent;
    bool m_caughtUp = false;
};

} // namespace mustardline
