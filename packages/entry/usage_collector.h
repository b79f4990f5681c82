#pragma once

// Appends the usage that agents metered to the log's usage stream.
//
// Agents push their deltas repeatedly until a reply acknowledges them as durable. Each push starts
// after the last acknowledged delta, so a successful append makes all deltas up to its last one
// durable without a gap. The ledger discards deltas that are appended more than once, by one entry
// process or several, so this class does not need to read the usage stream.

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/log.h"
#include "control.pb.h"
#include "entry/record_namer.h"
#include "entry/stream_follower.h"

namespace mustardline {

struct usage_collector_options
{
    std::string entryName;
};

class usage_collector
{
public:
    usage_collector(logger &log, stream_follower &stream, usage_collector_options options);

    // Handles a push of one agent; the reply acknowledges the deltas that are durable so far.
    [[nodiscard]] auto push(const std::string &agent, std::uint64_t boot,
                            const v1::UsagePushRequest &request) -> v1::UsagePushReply;

    // Whether an append is in progress.
    [[nodiscard]] auto isBusy() const -> bool { return m_appending > 0; }

private:
    using agent_boot = std::pair<std::string, std::uint64_t>;

    struct agent_position
    {
        // Sequence of the newest delta that is known to be in the log together with all before it.
        std::uint64_t durable = 0;
        bool isAppending = false;
    };

    logger &m_log;
    stream_follower &m_stream;
    record_namer m_namer;
    std::map<agent_boot, agent_position> m_positions;
    std::size_t m_appending = 0;
};

} // namespace mustardline
