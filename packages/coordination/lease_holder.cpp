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
      m_newestRecordReadAt(now)
{}

auto lease_holder::observe(const lease_table &leases, time_point now) -> void
{
    const auto newest = leases.newestRecordOffset(m_duty);
    if (newest != m_newestRecordOffset) {
        m_newestRecordOffset = newest;
        m_newestRecordReadAt = now;
    }
    const auto *current = leases.find(m_duty);
    m_neverClaimed = leases.coversWholeStream() && newest == 0;
    if (current == nullptr || current->offset == m_observed.offset)
        return;
    m_observed = *current;
    m_termStart.reset();
    // The term is counted from when the accepted claim was first sent. If that is not known, the
    // lease is not used before a claim with a known send time is accepted.
    if (isHolder() && m_sentClaim && m_sentClaim->previousOffset == m_observed.previousOffset)
        m_termStart = m_sentClaim->firstSentAt;
}

auto lease_holder::tick(time_point now) -> std::optional<v1::LogRecord>
{
    if (m_releasing)
        return makeRelease(now);
    if (!shouldClaim(now))
        return std::nullopt;
    return makeClaim(now);
}

auto lease_holder::holds(time_point now) const -> bool
{
    return isHolder() && !m_releasing && m_termStart && now < *m_termStart + m_term - m_margin;
}

auto lease_holder::isHolder() const -> bool
{
    return m_observed.offset != 0 && !m_observed.released && m_observed.holder == m_holder;
}

auto lease_holder::shouldClaim(time_point now) const -> bool
{
    const auto isAlreadySent = m_sentClaim && m_sentClaim->previousOffset == m_newestRecordOffset;
    if (isAlreadySent && now < m_sentClaim->lastSentAt + m_retryAfter)
        return false;
    if (isHolder())
        return !m_termStart || now >= *m_termStart + m_renewAfter;
    const auto isFree
        = m_neverClaimed || (m_observed.released && m_observed.offset == m_newestRecordOffset);
    return isFree || now >= m_newestRecordReadAt + std::max(m_term, m_observed.term) + m_margin;
}

auto lease_holder::makeClaim(time_point now) -> v1::LogRecord
{
    if (!m_sentClaim || m_sentClaim->previousOffset != m_newestRecordOffset)
        m_sentClaim = sent_claim{.previousOffset = m_newestRecordOffset, .firstSentAt = now};
    m_sentClaim->lastSentAt = now;
    v1::LogRecord record;
    auto &claim = *record.mutable_lease_claim();
    claim.set_duty(m_duty);
    claim.set_holder(m_holder);
    claim.set_previous_offset(m_newestRecordOffset);
    claim.set_term_ms(static_cast<std::uint32_t>(toMilliseconds(m_term)));
    if (isHolder())
        claim.set_fencing(m_observed.fencing);
    return record;
}

auto lease_holder::makeRelease(time_point now) -> std::optional<v1::LogRecord>
{
    if (!isHolder() || (m_releaseSentAt && now < *m_releaseSentAt + m_retryAfter))
        return std::nullopt;
    m_releaseSentAt = now;
    v1::LogRecord record;
    auto &release = *record.mutable_lease_release();
    release.set_duty(m_duty);
    release.set_holder(m_holder);
    release.set_previous_offset(m_observed.offset);
    return record;
}

} // namespace mustardline
