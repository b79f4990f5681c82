#pragma once

// Makes the usage that agents metered durable in the log's usage stream.
//
// Agents push what they hold again and again until the reply says that it is durable. Each push
// begins after the last delta that the agent was told is durable, so an append that was answered
// makes everything up to its last delta durable without a gap. What two entries append, or one
// appends twice, the ledger drops. An entry needs not read the usage stream for this.

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

    // Takes a push of one agent; replies what is durable so far.
    [[nodiscard]] auto push(const std::string &agent, std::uint64_t boot,
                            const v1::UsagePushRequest &request) -> v1::UsagePushReply;

    // Whether an append is under way.
    [[nodiscard]] auto isBusy() const -> bool { return m_appending > 0; }

private:
    using agent_boot = std::pair<std::string, std::uint64_t>;

    struct agent_position
    {
        // The newest delta that this entry knows to be in the log with all before it.
        std::uint64_t durable = 0;
        // An append is under way.
        bool isAppending = false;
    };

    logger &m_log;
    stream_follower &m_stream;
    record_namer m_namer;
    std::map<agent_boot, agent_position> m_positions;
    std::size_t m_appending = 0;
};

} // namespace mustardline
