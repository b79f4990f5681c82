#include "coordination/lease_table.h"

namespace mustardline {

auto lease_table::apply(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (offset <= m_offset)
        return;
    m_offset = offset;
    if (record.has_lease_claim())
        applyClaim(offset, record.lease_claim());
    else if (record.has_lease_release())
        applyRelease(offset, record.lease_release());
}

auto lease_table::find(std::string_view duty) const -> const lease *
{
    const auto found = m_duties.find(duty);
    if (found == m_duties.end() || !found->second.known || found->second.current.offset == 0)
        return nullptr;
    return &found->second.current;
}

auto lease_table::newestRecordOffset(std::string_view duty) const -> std::uint64_t
{
    const auto found = m_duties.find(duty);
    return found == m_duties.end() ? m_firstOffset - 1 : found->second.newestRecordOffset;
}

auto lease_table::isCurrent(std::string_view duty, std::uint64_t fencing) const -> bool
{
    const auto *held = find(duty);
    return held != nullptr && !held->released && held->fencing == fencing;
}

auto lease_table::stateOf(const std::string &duty) -> duty_state &
{
    const auto [found, added] = m_duties.try_emplace(duty);
    if (added) {
        found->second.known = coversWholeStream();
        found->second.newestRecordOffset = m_firstOffset - 1;
    }
    return found->second;
}

auto lease_table::applyClaim(std::uint64_t offset, const v1::LeaseClaim &claim) -> void
{
    auto &duty = stateOf(claim.duty());
    const auto coversAllRecords = claim.previous_offset() >= duty.newestRecordOffset;
    const auto accepted
        = duty.known ? duty.current.offset <= claim.previous_offset() : coversAllRecords;
    duty.newestRecordOffset = offset;
    if (!accepted)
        return;
    const auto isHeld = duty.known && duty.current.offset != 0 && !duty.current.released;
    const auto isRenewal = isHeld && duty.current.holder == claim.holder();
    auto fencing = offset;
    if (isRenewal)
        fencing = duty.current.fencing;
    else if (!duty.known && claim.fencing() != 0)
        fencing = claim.fencing();
    duty.known = true;
    duty.current = {.holder = claim.holder(),
                    .offset = offset,
                    .previousOffset = claim.previous_offset(),
                    .fencing = fencing,
                    .term = std::chrono::milliseconds(claim.term_ms())};
}

auto lease_table::applyRelease(std::uint64_t offset, const v1::LeaseRelease &release) -> void
{
    auto &duty = stateOf(release.duty());
    duty.newestRecordOffset = offset;
    const auto accepted = duty.known && duty.current.offset == release.previous_offset()
                          && duty.current.holder == release.holder();
    if (!accepted)
        return;
    duty.current.offset = offset;
    duty.current.previousOffset = release.previous_offset();
    duty.current.released = true;
}

} // namespace mustardline
