#include "coordination/snapshot_parts.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Unfinished snapshots that are kept at once; their writers may have died half way.
constexpr std::size_t maxCollections = 4;
constexpr std::uint32_t maxParts = 65'536;

} // namespace

auto splitSnapshot(std::string_view data, std::uint64_t coversOffset,
                   snapshot_split_options options) -> std::vector<v1::SnapshotPart>
{
    const auto count
        = std::max<std::size_t>(1, (data.size() + options.maxPartBytes - 1) / options.maxPartBytes);
    // Two writers may take the same snapshot; equal ones share their id, others must not.
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

auto snapshot_assembler::add(const v1::SnapshotPart &part) -> std::optional<whole_snapshot>
{
    const auto isSane = part.parts() > 0 && part.parts() <= maxParts && part.part() < part.parts();
    if (!isSane || part.covers_offset() <= m_wholeOffset)
        return std::nullopt;
    const auto [found, isNew] = m_collections.try_emplace(part.snapshot_id());
    auto &collected = found->second;
    if (isNew) {
        collected.parts.resize(part.parts());
        collected.missing = part.parts();
        m_order.push_back(part.snapshot_id());
    }
    if (collected.parts.size() != part.parts())
        return std::nullopt;
    auto &place = collected.parts[part.part()];
    if (place.empty() && !part.data().empty()) {
        place = part.data();
        --collected.missing;
    }
    const auto isWhole = collected.missing == 0 || (part.parts() == 1 && part.data().empty());
    if (!isWhole) {
        if (m_order.size() > maxCollections) {
            m_collections.erase(m_order.front());
            m_order.pop_front();
        }
        return std::nullopt;
    }
    whole_snapshot whole{.coversOffset = part.covers_offset()};
    for (const auto &data : collected.parts)
        whole.data += data;
    m_wholeOffset = part.covers_offset();
    m_collections.clear();
    m_order.clear();
    return whole;
}

auto stream_start::add(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (!record.has_snapshot_part()) {
        m_tail.emplace_back(offset, record);
        return;
    }
    auto &kept = m_tail.emplace_back(offset, record).second;
    kept.mutable_snapshot_part()->clear_data();
    auto whole = m_assembler.add(record.snapshot_part());
    if (!whole || whole->coversOffset + 1 < m_oldestOffset)
        return;
    while (!m_tail.empty() && m_tail.front().first <= whole->coversOffset)
        m_tail.pop_front();
    m_snapshot = std::move(whole);
}

auto snapshot_schedule::note(const v1::LogRecord &record) -> void
{
    if (!record.has_snapshot_part())
        return;
    auto part = record.snapshot_part();
    if (!part.data().empty())
        part.set_data("x");
    if (const auto whole = m_assembler.add(part))
        m_covered = whole->coversOffset;
}

auto snapshot_schedule::isDue(std::uint64_t offset) const -> bool
{
    return offset >= std::max(m_covered, m_startedAt) + m_options.every;
}

} // namespace mustardline
