#include "coordination/snapshot_parts.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Incomplete snapshots held at once. One stays incomplete if its writer failed midway.
constexpr std::size_t maxPartialSnapshots = 4;
constexpr std::uint32_t maxParts = 65'536;

} // namespace

auto splitSnapshot(std::string_view data, std::uint64_t coversOffset,
                   snapshot_split_options options) -> std::vector<v1::SnapshotPart>
{
    const auto count
        = std::max<std::size_t>(1, (data.size() + options.maxPartBytes - 1) / options.maxPartBytes);
    // Two writers may write a snapshot of the same offset: with equal data they share the id, so
    // their parts are interchangeable; with different data the ids must differ.
    const auto id = fmt::format("{}-{:016x}", coversOffset, fastHash(data));
    std::vector<v1::SnapshotPart> parts(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto &part = parts[i];
        part.set_snapshot_id(id);
        part.set_part(static_cast<std::uint32_t>(i));
        part.set_parts(static_cast<std::uint32_t>(count));
        part.set_covers_offset(coversOffset);
        part.set_data(std::string(data.substr(i * options.maxPartBytes, options.maxPartBytes)));
    }
    return parts;
}

auto snapshot_assembler::add(const v1::SnapshotPart &part) -> std::optional<complete_snapshot>
{
    const auto isValid = part.parts() > 0 && part.parts() <= maxParts && part.part() < part.parts();
    if (!isValid || part.covers_offset() <= m_completeOffset)
        return std::nullopt;
    const auto [found, isNew] = m_partials.try_emplace(part.snapshot_id());
    auto &partial = found->second;
    if (isNew) {
        partial.parts.resize(part.parts());
        partial.missing = part.parts();
        m_order.push_back(part.snapshot_id());
    }
    if (partial.parts.size() != part.parts())
        return std::nullopt;
    auto &slot = partial.parts[part.part()];
    if (slot.empty() && !part.data().empty()) {
        slot = part.data();
        --partial.missing;
    }
    const auto isComplete = partial.missing == 0 || (part.parts() == 1 && part.data().empty());
    if (!isComplete) {
        if (m_order.size() > maxPartialSnapshots) {
            m_partials.erase(m_order.front());
            m_order.pop_front();
        }
        return std::nullopt;
    }
    complete_snapshot complete{.coversOffset = part.covers_offset()};
    for (const auto &data : partial.parts)
        complete.data += data;
    m_completeOffset = part.covers_offset();
    m_partials.clear();
    m_order.clear();
    return complete;
}

auto replay_start::add(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (!record.has_snapshot_part()) {
        m_tail.emplace_back(offset, record);
        return;
    }
    auto &kept = m_tail.emplace_back(offset, record).second;
    kept.mutable_snapshot_part()->clear_data();
    auto complete = m_assembler.add(record.snapshot_part());
    if (!complete || complete->coversOffset + 1 < m_oldestOffset)
        return;
    while (!m_tail.empty() && m_tail.front().first <= complete->coversOffset)
        m_tail.pop_front();
    m_snapshot = std::move(complete);
}

auto snapshot_schedule::observe(const v1::LogRecord &record) -> void
{
    if (!record.has_snapshot_part())
        return;
    auto part = record.snapshot_part();
    if (!part.data().empty())
        part.set_data("x");
    if (const auto complete = m_assembler.add(part))
        m_coveredOffset = complete->coversOffset;
}

auto snapshot_schedule::isDue(std::uint64_t offset) const -> bool
{
    return offset >= std::max(m_coveredOffset, m_startedOffset) + m_options.interval;
}

} // namespace mustardline
