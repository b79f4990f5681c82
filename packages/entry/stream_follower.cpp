#include "entry/stream_follower.h"

#include <vector>

#include "entry/events.h"

namespace mustardline {

stream_follower::stream_follower(event_loop &loop, http_client &http, logger &log,
                                 log_client_options options, stream_callbacks callbacks)
    : m_log(log),
      m_stream(options.stream),
      m_callbacks(std::move(callbacks)),
      m_client(loop, http, std::move(options))
{}

auto stream_follower::start() -> void
{
    m_readBegan = m_clock.unixNow();
    follow(m_callbacks.offset() + 1);
}

auto stream_follower::follow(std::uint64_t from) -> void
{
    m_client.follow(
        from,
        {.onEntries = [this](std::span<const v1::LogEntry> entries) { applyEntries(entries); },
         .onExpired = [this](std::uint64_t oldest) { restart(oldest); },
         .onNextOffset = [this](std::uint64_t next) { updateCaughtUp(next); }});
}

auto stream_follower::applyEntries(std::span<const v1::LogEntry> entries) -> void
{
    if (m_start)
        findSnapshot(entries);
    else
        m_callbacks.onEntries(entries);
}

auto stream_follower::findSnapshot(std::span<const v1::LogEntry> entries) -> void
{
    for (const auto &entry : entries) {
        v1::LogRecord record;
        if (!record.ParseFromString(entry.record()))
            record.Clear();
        m_start->add(entry.offset(), record);
        m_buffered.push_back(entry);
    }
    if (!m_start->isReady())
        return;
    const auto &snapshot = *m_start->snapshot();
    m_callbacks.onSnapshot(snapshot);
    std::vector<v1::LogEntry> after;
    for (auto &entry : m_buffered) {
        if (entry.offset() > snapshot.coversOffset)
            after.push_back(std::move(entry));
    }
    m_buffered.clear();
    m_start.reset();
    m_callbacks.onEntries(after);
}

auto stream_follower::restart(std::uint64_t oldestOffset) -> void
{
    m_log.write(streamTruncated, field("stream", m_stream), field("offset", m_callbacks.offset()),
                field("oldest", oldestOffset));
    if (m_callbacks.onTruncated) {
        m_callbacks.onTruncated(oldestOffset);
    } else {
        m_start.emplace(oldestOffset);
        m_buffered.clear();
    }
    follow(oldestOffset);
}

auto stream_follower::updateCaughtUp(std::uint64_t nextOffset) -> void
{
    if (!m_start && m_callbacks.offset() + 1 >= nextOffset)
        m_caughtUpUnix = m_readBegan;
    m_readBegan = m_clock.unixNow();
}

} // namespace mustardline
