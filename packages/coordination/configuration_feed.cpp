#include "coordination/configuration_feed.h"

namespace mustardline {

namespace {

// Serialises the record without the data of its snapshot part.
auto withoutSnapshotData(const v1::LogRecord &record) -> std::string
{
    auto copy = record;
    copy.mutable_snapshot_part()->clear_data();
    return copy.SerializeAsString();
}

} // namespace

auto configuration_feed::add(std::span<const v1::LogEntry> entries) -> bool
{
    auto advanced = false;
    for (const auto &entry : entries)
        advanced = applyEntry(entry) || advanced;
    return advanced;
}

auto configuration_feed::applyEntry(const v1::LogEntry &entry) -> bool
{
    if (entry.offset() != m_config.offset() + 1)
        return false;
    v1::LogRecord record;
    // A record that cannot be parsed advances the offset and has no other effect in any process.
    const auto isReadable = record.ParseFromString(entry.record());
    m_config.apply(entry.offset(), isReadable ? record : v1::LogRecord());
    auto retained = entry;
    if (isReadable && record.has_snapshot_part())
        retained.set_record(withoutSnapshotData(record));
    retain(std::move(retained));
    return true;
}

auto configuration_feed::retain(v1::LogEntry entry) -> void
{
    m_retainedBytes += entry.record().size();
    m_retained.push_back(std::move(entry));
    while (m_retainedBytes > m_options.maxRetainedBytes && m_retained.size() > 1) {
        m_retainedBytes -= m_retained.front().record().size();
        m_retained.pop_front();
    }
}

auto configuration_feed::restore(v1::ConfigurationSnapshot snapshot) -> bool
{
    if (snapshot.offset() <= m_config.offset())
        return false;
    m_config.restore(std::move(snapshot));
    m_retained.clear();
    m_retainedBytes = 0;
    m_servedParts.clear();
    return true;
}

auto configuration_feed::answer(const v1::CatchUpRequest &request) -> v1::CatchUpReply
{
    v1::CatchUpReply reply;
    const auto isFetching = request.snapshot_offset() != 0 && !m_servedParts.empty()
                            && request.snapshot_offset() == m_servedParts.front().covers_offset();
    if (isFetching || !hasRecordsAfter(request.after_offset()))
        addSnapshotPart(request, reply);
    else
        addRecords(request.after_offset(), reply);
    return reply;
}

auto configuration_feed::hasRecordsAfter(std::uint64_t offset) const -> bool
{
    if (offset >= m_config.offset())
        return true;
    return !m_retained.empty() && m_retained.front().offset() <= offset + 1;
}

auto configuration_feed::addRecords(std::uint64_t after, v1::CatchUpReply &reply) const -> void
{
    if (after >= m_config.offset())
        return;
    std::size_t bytes = 0;
    for (auto i = after + 1 - m_retained.front().offset(); i < m_retained.size(); ++i) {
        const auto &entry = m_retained[i];
        bytes += entry.record().size();
        if (bytes > m_options.maxReplyBytes && !reply.records().empty()) {
            reply.set_more(true);
            return;
        }
        *reply.add_records() = entry;
    }
}

auto configuration_feed::addSnapshotPart(const v1::CatchUpRequest &request, v1::CatchUpReply &reply)
    -> void
{
    // A cached snapshot can be served as long as all records after it are retained.
    if (m_servedParts.empty() || !hasRecordsAfter(m_servedParts.front().covers_offset()))
        m_servedParts = splitSnapshot(m_config.snapshot().SerializeAsString(), m_config.offset(),
                                      m_options.snapshotSplit);
    const auto isSameSnapshot = request.snapshot_offset() == m_servedParts.front().covers_offset();
    const auto index = isSameSnapshot && request.snapshot_part() < m_servedParts.size()
                           ? request.snapshot_part()
                           : 0;
    *reply.mutable_part() = m_servedParts[index];
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

auto configuration_feed::applyReply(const v1::CatchUpReply &reply) -> bool
{
    if (reply.has_part())
        return applyPart(reply.part());
    auto advanced = false;
    if (reply.has_snapshot())
        advanced = restore(reply.snapshot());
    for (const auto &entry : reply.records())
        advanced = applyEntry(entry) || advanced;
    return advanced;
}

auto configuration_feed::applyPart(const v1::SnapshotPart &part) -> bool
{
    if (part.covers_offset() <= m_config.offset()) {
        m_nextPart = 0;
        return false;
    }
    if (part.part() == 0) {
        m_fetchedOffset = part.covers_offset();
        m_nextPart = 0;
        m_fetchedData.clear();
    }
    const auto isNext = part.covers_offset() == m_fetchedOffset && part.part() == m_nextPart;
    if (!isNext)
        return false;
    m_fetchedData += part.data();
    ++m_nextPart;
    if (m_nextPart < part.parts())
        return true;
    v1::ConfigurationSnapshot snapshot;
    const auto isReadable = snapshot.ParseFromString(m_fetchedData);
    m_nextPart = 0;
    m_fetchedData = {};
    return isReadable && restore(std::move(snapshot));
}

} // namespace mustardline
