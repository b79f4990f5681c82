#include "coordination/configuration_feed.h"

namespace mustardline {

namespace {

// The record without the data of a snapshot part.
auto withoutSnapshotData(const v1::LogRecord &record) -> std::string
{
    auto stub = record;
    stub.mutable_snapshot_part()->clear_data();
    return stub.SerializeAsString();
}

} // namespace

auto configuration_feed::add(std::span<const v1::LogEntry> entries) -> bool
{
    auto moved = false;
    for (const auto &entry : entries)
        moved = addOne(entry) || moved;
    return moved;
}

auto configuration_feed::addOne(const v1::LogEntry &entry) -> bool
{
    if (entry.offset() != m_config.offset() + 1)
        return false;
    v1::LogRecord record;
    // A record that cannot be read takes its offset and has no other effect, everywhere alike.
    const auto isReadable = record.ParseFromString(entry.record());
    m_config.apply(entry.offset(), isReadable ? record : v1::LogRecord());
    auto kept = entry;
    if (isReadable && record.has_snapshot_part())
        kept.set_record(withoutSnapshotData(record));
    keep(std::move(kept));
    return true;
}

auto configuration_feed::keep(v1::LogEntry entry) -> void
{
    m_keptBytes += entry.record().size();
    m_kept.push_back(std::move(entry));
    while (m_keptBytes > m_options.maxKeptBytes && m_kept.size() > 1) {
        m_keptBytes -= m_kept.front().record().size();
        m_kept.pop_front();
    }
}

auto configuration_feed::restore(v1::ConfigurationSnapshot snapshot) -> bool
{
    if (snapshot.offset() <= m_config.offset())
        return false;
    m_config.restore(std::move(snapshot));
    m_kept.clear();
    m_keptBytes = 0;
    m_parts.clear();
    return true;
}

auto configuration_feed::answer(const v1::CatchUpRequest &request) -> v1::CatchUpReply
{
    v1::CatchUpReply reply;
    const auto isFetching = request.snapshot_offset() != 0 && !m_parts.empty()
                            && request.snapshot_offset() == m_parts.front().covers_offset();
    if (isFetching || !keepsAfter(request.after_offset()))
        answerPart(request, reply);
    else
        answerRecords(request.after_offset(), reply);
    return reply;
}

auto configuration_feed::keepsAfter(std::uint64_t offset) const -> bool
{
    if (offset >= m_config.offset())
        return true;
    return !m_kept.empty() && m_kept.front().offset() <= offset + 1;
}

auto configuration_feed::answerRecords(std::uint64_t after, v1::CatchUpReply &reply) const -> void
{
    if (after >= m_config.offset())
        return;
    std::size_t bytes = 0;
    for (auto i = after + 1 - m_kept.front().offset(); i < m_kept.size(); ++i) {
        const auto &entry = m_kept[i];
        bytes += entry.record().size();
        if (bytes > m_options.maxReplyBytes && !reply.records().empty()) {
            reply.set_more(true);
            return;
        }
        *reply.add_records() = entry;
    }
}

auto configuration_feed::answerPart(const v1::CatchUpRequest &request, v1::CatchUpReply &reply)
    -> void
{
    // A kept snapshot serves as long as the records after it are kept too.
    if (m_parts.empty() || !keepsAfter(m_parts.front().covers_offset()))
        m_parts = splitSnapshot(m_config.snapshot().SerializeAsString(), m_config.offset(),
                                m_options.snapshotSplit);
    const auto isSame = request.snapshot_offset() == m_parts.front().covers_offset();
    const auto index
        = isSame && request.snapshot_part() < m_parts.size() ? request.snapshot_part() : 0;
    *reply.mutable_part() = m_parts[index];
    reply.set_more(true);
}

auto configuration_feed::request() const -> v1::CatchUpRequest
{
    v1::CatchUpRequest request;
    request.set_after_offset(m_config.offset());
    if (m_nextPart != 0) {
        request.set_snapshot_offset(m_fetchedOffset);
        request.set_snapshot_part(m_nextPart);
    }
    return request;
}

auto configuration_feed::take(const v1::CatchUpReply &reply) -> bool
{
    if (reply.has_part())
        return takePart(reply.part());
    auto moved = false;
    if (reply.has_snapshot())
        moved = restore(reply.snapshot());
    for (const auto &entry : reply.records())
        moved = addOne(entry) || moved;
    return moved;
}

auto configuration_feed::takePart(const v1::SnapshotPart &part) -> bool
{
    if (part.covers_offset() <= m_config.offset()) {
        m_nextPart = 0;
        return false;
    }
    if (part.part() == 0) {
        m_fetchedOffset = part.covers_offset();
        m_nextPart = 0;
        m_fetched.clear();
    }
    const auto isNext = part.covers_offset() == m_fetchedOffset && part.part() == m_nextPart;
    if (!isNext)
        return false;
    m_fetched += part.data();
    ++m_nextPart;
    if (m_nextPart < part.parts())
        return true;
    v1::ConfigurationSnapshot snapshot;
    const auto isReadable = snapshot.ParseFromString(m_fetched);
    m_nextPart = 0;
    m_fetched = {};
    return isReadable && restore(std::move(snapshot));
}

} // namespace mustardline
