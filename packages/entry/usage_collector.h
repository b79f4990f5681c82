#pragma once

// Makes the usage that agents metered durable in the log's usage stream.
//
// Agents push what they hold again and again until the reply says that it is durable. The collector
// appends each delta once for itself; what another entry appended too is dropped by the fold.

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/log.h"
#include "control.pb.h"
#include "platform/log_client.h"

namespace mustardline {

struct usage_collector_options
{
    std::string entryName;
};

class usage_collector
{
public:
    usage_collector(logger &log, log_client &stream, usage_collector_options options);

    // Takes a push of one agent; replies what is durable so far.
    [[nodiscard]] auto push(const std::string &agent, std::uint64_t boot,
                            const v1::UsagePushRequest &request) -> v1::UsagePushReply;

    // Whether an append is under way.
    [[nodiscard]] auto isBusy() const -> bool { return m_appending > 0; }

private:
    struct agent_position
    {
        std::uint64_t appended = 0;
        std::uint64_t durable = 0;
    };

    logger &m_log;
    log_client &m_stream;
    usage_collector_options m_options;
    std::uint64_t m_boot;
    std::uint64_t m_sequence = 0;
    std::size_t m_appending = 0;
    std::map<std::pair<std::string, std::uint64_t>, agent_position> m_positions;
};

} // namespace mustardline
