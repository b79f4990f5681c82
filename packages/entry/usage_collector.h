#pragma once

// Makes the usage that agents metered durable in the log's usage stream.
//
// Agents push what they hold again and again until the reply says that it is durable, which is what
// the ledger has counted. What two entries append, or one appends twice, the ledger drops.

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/log.h"
#include "control.pb.h"
#include "entry/record_namer.h"
#include "entry/stream_follower.h"
#include "platform/usage_ledger.h"

namespace mustardline {

struct usage_collector_options
{
    std::string entryName;
};

class usage_collector
{
public:
    usage_collector(logger &log, stream_follower &stream, const usage_ledger &ledger,
                    usage_collector_options options);

    // Takes a push of one agent; replies what is durable so far.
    [[nodiscard]] auto push(const std::string &agent, std::uint64_t boot,
                            const v1::UsagePushRequest &request) -> v1::UsagePushReply;

    // Whether an append is under way.
    [[nodiscard]] auto isBusy() const -> bool { return !m_appending.empty(); }

private:
    using agent_boot = std::pair<std::string, std::uint64_t>;

    logger &m_log;
    stream_follower &m_stream;
    const usage_ledger &m_ledger;
    record_namer m_namer;
    // The newest delta of each agent's boot in the append that is under way.
    std::map<agent_boot, std::uint64_t> m_appending;
};

} // namespace mustardline
