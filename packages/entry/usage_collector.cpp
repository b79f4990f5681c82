#include "entry/usage_collector.h"

#include <algorithm>

#include "entry/events.h"

namespace mustardline {

usage_collector::usage_collector(logger &log, stream_follower &stream, const usage_ledger &ledger,
                                 usage_collector_options options)
    : m_log(log), m_stream(stream), m_ledger(ledger), m_namer(std::move(options.entryName))
{}

auto usage_collector::push(const std::string &agent, std::uint64_t boot,
                           const v1::UsagePushRequest &request) -> v1::UsagePushReply
{
    const auto counted = m_ledger.durableThrough(agent, boot);
    v1::UsagePushReply reply;
    reply.set_durable_through_sequence(counted);
    const agent_boot name(agent, boot);
    // One append per agent at a time bounds what an outage of the log can pile up here.
    if (m_appending.contains(name))
        return reply;
    v1::LogRecord record;
    auto &batch = *record.mutable_usage_batch();
    for (const auto &delta : request.deltas()) {
        if (delta.sequence() > counted)
            *batch.add_deltas() = delta;
    }
    if (batch.deltas().empty())
        return reply;
    const auto through = batch.deltas().rbegin()->sequence();
    m_appending[name] = through;
    m_stream.append(m_namer.finish(std::move(record), m_ledger.offset()),
                    [this, name, through](const result<std::uint64_t> &outcome) {
                        m_appending.erase(name);
                        if (const auto *fault = failed(outcome)) {
                            // The next push brings the same deltas again.
                            m_log.write(usageDelayed, field("agent", name.first),
                                        field("reason", fault->message));
                            return;
                        }
                        m_log.write(usageAppended, field("agent", name.first),
                                    field("through", through));
                    });
    return reply;
}

} // namespace mustardline
