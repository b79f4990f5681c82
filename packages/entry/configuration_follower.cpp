#include "entry/configuration_follower.h"

#include "entry/events.h"

namespace mustardline {

configuration_follower::configuration_follower(event_loop &loop, http_client &http, logger &log,
                                               configuration &config,
                                               configuration_follower_options options)
    : m_log(log),
      m_config(config),
      m_options(std::move(options)),
      m_stream(loop, http, {.address = m_options.logAddress, .stream = "configuration"})
{}

auto configuration_follower::start() -> void
{
    m_stream.follow(m_config.offset() + 1,
                    {.onEntries = [this](std::span<const v1::LogEntry> entries) { fold(entries); },
                     .onExpired =
                         [this](std::uint64_t oldest) {
                             m_log.write(configurationExpired, field("offset", m_config.offset()),
                                         field("oldest", oldest));
                         },
                     .onPosition =
                         [this](std::uint64_t next) {
                             m_caughtUp = m_caughtUp || m_config.offset() + 1 >= next;
                         }});
}

auto configuration_follower::answer(const v1::CatchUpRequest &request) const -> v1::CatchUpReply
{
    v1::CatchUpReply reply;
    if (request.after_offset() >= m_config.offset())
        return reply;
    const auto held = !m_recent.empty() && request.after_offset() + 1 >= m_recent.front().offset();
    if (!held) {
        *reply.mutable_snapshot() = m_config.snapshot();
        return reply;
    }
    for (const auto &entry : m_recent) {
        if (entry.offset() <= request.after_offset())
            continue;
        if (static_cast<std::size_t>(reply.records_size()) == m_options.maxRecordsPerAnswer) {
            reply.set_more(true);
            break;
        }
        *reply.add_records() = entry;
    }
    return reply;
}

auto configuration_follower::fold(std::span<const v1::LogEntry> entries) -> void
{
    for (const auto &entry : entries) {
        v1::LogRecord record;
        // A record that cannot be read is skipped alike everywhere, so all folds still agree.
        if (!record.ParseFromString(entry.record()))
            record.Clear();
        m_config.apply(entry.offset(), record);
        m_recent.push_back(entry);
        if (m_recent.size() > m_options.maxRecentRecords)
            m_recent.pop_front();
    }
    if (onFolded)
        onFolded();
}

} // namespace mustardline
