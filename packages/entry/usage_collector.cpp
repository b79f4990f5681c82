#include "entry/usage_collector.h"

#include "base/clock.h"
#include "base/hashing.h"
#include "entry/events.h"

namespace mustardline {

usage_collector::usage_collector(logger &log, log_client &stream, usage_collector_options options)
    : m_log(log), m_stream(stream), m_options(std::move(options)), m_boot(randomBits())
{}

auto usage_collector::push(const std::string &agent, std::uint64_t boot,
                           const v1::UsagePushRequest &request) -> v1::UsagePushReply
{
    const auto name = std::pair(agent, boot);
    auto &position = m_positions[name];
    v1::UsagePushReply reply;
    reply.set_durable_through_sequence(position.durable);
    // One append per agent at a time: were an earlier one to fail after a later one succeeded, the
    // reply would call usage durable that is not in the log. It also bounds what an outage of the
    // log can pile up here.
    if (position.appended != position.durable)
        return reply;
    v1::LogRecord record;
    auto &batch = *record.mutable_usage_batch();
    for (const auto &delta : request.deltas()) {
        // Agents push in ascending order without gaps.
        if (delta.sequence() <= position.appended)
            continue;
        position.appended = delta.sequence();
        *batch.add_deltas() = delta;
    }
    if (!batch.deltas().empty()) {
        record.set_writer(m_options.entryName);
        record.set_boot(m_boot);
        record.set_sequence(++m_sequence);
        record.set_written_unix_ms(system_runtime_clock().unixNow());
        const auto through = position.appended;
        ++m_appending;
        m_stream.append(record.SerializeAsString(), [this, name, through](const auto &outcome) {
            --m_appending;
            auto &current = m_positions[name];
            if (const auto *fault = failed(outcome)) {
                // The next push brings the same deltas again.
                current.appended = current.durable;
                m_log.write(usageDelayed, field("agent", name.first),
                            field("reason", fault->message));
                return;
            }
            current.durable = through;
            m_log.write(usageAppended, field("agent", name.first), field("through", through));
        });
    }
    return reply;
}

} // namespace mustardline
