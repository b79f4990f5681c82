#include "forwarding/rollout_record.h"

namespace mustardline {

auto rollout_record::tick(time_point now, const rollout_wish &wish) -> std::optional<rollout_action>
{
    if (m_wished != wish.status.verdict) {
        m_wished = wish.status.verdict;
        m_wishedAt = now;
    }
    if (m_isActionInProgress || now < m_retryAt || isFinal())
        return std::nullopt;
    if (!m_isKnown)
        return read();
    const auto isDue = !isWritten(wish) && now - m_wishedAt >= wish.delay;
    const auto isOld = m_mustRead || now - m_readAt > m_options.maxReadAge;
    const auto isPollDue = wish.isFinalExpected && now - m_readAt >= m_options.pollInterval;
    if ((isDue && isOld) || isPollDue)
        return read();
    if (!isDue)
        return std::nullopt;
    m_isActionInProgress = true;
    m_appended = wish.status;
    return append_rollout{.at = m_end, .status = wish.status};
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
    // Reads may be stale.
    if (isFinal())
        return;
    // The record may still be that of an earlier roll-out.
    const bool isOwn = status && status->order == m_order;
    m_status = isOwn ? status : std::nullopt;
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
