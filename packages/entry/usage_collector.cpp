#include "entry/usage_collector.h"

#include "entry/events.h"

namespace mustardline {

usage_collector::usage_collector(logger &log, stream_follower &stream,
                                 usage_collector_options options)
    : m_log(log), m_stream(stream), m_namer(std::move(options.entryName))
{}

auto usage_collector::push(const std::string &agent, std::uint64_t boot,
                           const v1::UsagePushRequest &request) -> v1::UsagePushReply
{
    const agent_boot name(agent, boot);
    auto &position = m_positions[name];
    v1::UsagePushReply reply;
    reply.set_durable_through_sequence(position.durable);
    // At most one append per agent is in progress. Otherwise, if an earlier append failed after a
    // later one had succeeded, the reply would acknowledge usage that is not in the log. This also
    // bounds the memory used during an outage of the log.
    if (position.isAppending)
        return reply;
    v1::LogRecord record;
    auto &batch = *record.mutable_usage_batch();
    for (const auto &delta : request.deltas()) {
        if (delta.sequence() > position.durable)
            *batch.add_deltas() = delta;
    }
    if (batch.deltas().empty())
        return reply;
    const auto through = batch.deltas().rbegin()->sequence();
    position.isAppending = true;
    ++m_appending;
    m_stream.append(m_namer.finish(std::move(record)), [this, name, through](
                                                           const result<std::uint64_t> &outcome) {
        auto &appended = m_positions[name];
        appended.isAppending = false;
        --m_appending;
        if (const auto *failure = failed(outcome)) {
            // The agent's next push contains the same deltas.
            m_log.write(usageDelayed, field("agent", name.first),
                        field("reason", failure->message));
            return;
        }
        appended.durable = through;
        m_log.write(usageAppended, field("agent", name.first), field("through", through));
    });
    return reply;
}

} // namespace mustardline
