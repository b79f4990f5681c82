#include "forwarding/rollout_record.h"

#include <algorithm>

namespace mustardline {

auto rollout_record::tick(time_point now, const rollout_wish &wish) -> std::optional<rollout_action>
{
    if (m_wished != wish.status.verdict) {
        m_wished = wish.status.verdict;
        m_wishedAt = now;
    }
    if (m_isActionInProgress || now < m_retryAt || (isFinal() && m_isInLog))
        return std::nullopt;
    if (!m_isKnown)
        return read();
    const auto isDue = !isWritten(wish) && now - std::max(m_wishedAt, m_renewedAt) >= wish.delay;
    const auto isOld = m_mustRead || now - m_readAt > m_options.maxReadAge;
    const auto isPollDue = wish.isFinalExpected && now - m_readAt >= m_options.pollInterval;
    if ((isDue && isOld) || isPollDue)
        return read();
    if (!isDue)
        return std::nullopt;
    m_isActionInProgress = true;
    // A final verdict that the log has lost is written again, whatever this process thinks now.
    m_appended = isFinal() ? *m_status : wish.status;
    return append_rollout{.at = m_end, .status = m_appended};
}

auto rollout_record::read() -> rollout_action
{
    m_isActionInProgress = true;
    return read_rollout();
}

auto rollout_record::onRead(const std::optional<rollout_status> &status, const log_position &end,
                            time_point now) -> void
{
    m_isActionInProgress = false;
    m_isKnown = true;
    m_mustRead = false;
    m_readAt = now;
    m_end = end;
    // The record may still be that of an earlier roll-out.
    const bool isOwn = status && isAnswer(*status);
    m_isInLog = isOwn && (!isFinal() || status->verdict == m_status->verdict);
    // Reads may be stale.
    if (isFinal())
        return;
    m_status = isOwn ? status : std::nullopt;
    if (m_status)
        m_status->order = m_order;
}

auto rollout_record::isAnswer(const rollout_status &status) const -> bool
{
    if (status.order == m_order)
        return true;
    return log_position::eraOf(status.order) < log_position::eraOf(m_order)
           && status.version == m_version;
}

auto rollout_record::renew(std::uint64_t order, time_point now) -> void
{
    m_order = order;
    m_renewedAt = now;
    if (m_status)
        m_status->order = order;
    m_isInLog = false;
    m_mustRead = true;
    // An answer to a call of the earlier era is not awaited any more.
    m_isActionInProgress = false;
}

auto rollout_record::onReadFailed(time_point now) -> void
{
    m_isActionInProgress = false;
    m_retryAt = now + m_options.retryAfter;
}

auto rollout_record::onAppend(const log_append_outcome &outcome, time_point now) -> void
{
    m_isActionInProgress = false;
    if (const auto *appended = std::get_if<log_appended>(&outcome)) {
        m_status = m_appended;
        m_isInLog = true;
        m_end = appended->end;
        m_readAt = now;
        return;
    }
    // The append may have taken effect, or another process has written.
    m_mustRead = true;
    if (std::holds_alternative<log_unavailable>(outcome))
        m_retryAt = now + m_options.retryAfter;
}

} // namespace mustardline
