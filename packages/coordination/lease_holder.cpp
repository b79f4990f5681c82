#include "coordination/lease_holder.h"

#include <algorithm>

namespace mustardline {

lease_holder::lease_holder(lease_holder_options options, time_point now)
    : m_duty(std::move(options.duty)),
      m_holder(std::move(options.holder)),
      m_term(options.term),
      m_margin(options.margin),
      m_renewAfter(options.renewAfter),
      m_retryAfter(options.retryAfter),
      m_newestReadAt(now)
{}

auto lease_holder::observe(const lease_table &leases, time_point now) -> void
{
    const auto newest = leases.newestRecord(m_duty);
    if (newest != m_newestRecord) {
        m_newestRecord = newest;
        m_newestReadAt = now;
    }
    const auto *current = leases.find(m_duty);
    m_neverClaimed = leases.sawBeginning() && newest == 0;
    if (current == nullptr || current->offset == m_seen.offset)
        return;
    m_seen = *current;
    m_heldFrom.reset();
    // A claim of ours counts only from an instant that is known to lie before it was sent.
    if (isMine() && m_sent && m_sent->previousOffset == m_seen.previousOffset)
        m_heldFrom = m_sent->firstSentAt;
}

auto lease_holder::tick(time_point now) -> std::optional<v1::LogRecord>
{
    if (m_releasing)
        return giveBack(now);
    if (!shouldClaim(now))
        return std::nullopt;
    return claim(now);
}

auto lease_holder::holds(time_point now) const -> bool
{
    return isMine() && !m_releasing && m_heldFrom && now < *m_heldFrom + m_term - m_margin;
}

auto lease_holder::isMine() const -> bool
{
    return m_seen.offset != 0 && !m_seen.released && m_seen.holder == m_holder;
}

auto lease_holder::shouldClaim(time_point now) const -> bool
{
    const auto sameAsSent = m_sent && m_sent->previousOffset == m_newestRecord;
    if (sameAsSent && now < m_sent->lastSentAt + m_retryAfter)
        return false;
    if (isMine())
        return !m_heldFrom || now >= *m_heldFrom + m_renewAfter;
    const auto isFree = m_neverClaimed || (m_seen.released && m_seen.offset == m_newestRecord);
    return isFree || now >= m_newestReadAt + std::max(m_term, m_seen.term) + m_margin;
}

auto lease_holder::claim(time_point now) -> v1::LogRecord
{
    if (!m_sent || m_sent->previousOffset != m_newestRecord)
        m_sent = sent_claim{.previousOffset = m_newestRecord, .firstSentAt = now};
    m_sent->lastSentAt = now;
    v1::LogRecord record;
    auto &claim = *record.mutable_lease_claim();
    claim.set_duty(m_duty);
    claim.set_holder(m_holder);
    claim.set_previous_offset(m_newestRecord);
    claim.set_term_ms(static_cast<std::uint32_t>(toMilliseconds(m_term)));
    if (isMine())
        claim.set_fencing(m_seen.fencing);
    return record;
}

auto lease_holder::giveBack(time_point now) -> std::optional<v1::LogRecord>
{
    if (!isMine() || (m_releaseSentAt && now < *m_releaseSentAt + m_retryAfter))
        return std::nullopt;
    m_releaseSentAt = now;
    v1::LogRecord record;
    auto &release = *record.mutable_lease_release();
    release.set_duty(m_duty);
    release.set_holder(m_holder);
    release.set_previous_offset(m_seen.offset);
    return record;
}

} // namespace mustardline
