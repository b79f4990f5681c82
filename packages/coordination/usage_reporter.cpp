#include "coordination/usage_reporter.h"

#include <fmt/format.h>

#include "base/hashing.h"

namespace mustardline {

auto usage_reporter::tick(const usage_ledger &ledger, const usage_tick &tick) -> usage_actions
{
    usage_actions actions;
    if (!tick.holdsLease) {
        // A holder starts from the state of the ledger alone, and so will this process if it holds
        // the lease again.
        m_sealAttempts.clear();
        m_reportProgress.clear();
        return actions;
    }
    removeReported(ledger);
    for (const auto &[id, account] : ledger.accounts()) {
        if (!ownsAccount(id))
            continue;
        if (actions.records.size() < m_options.maxPerTick)
            sealNext(id, account, ledger, tick, actions);
        reportSealed(id, account, ledger, tick, actions);
    }
    return actions;
}

auto usage_reporter::answered(const usage_report &report, bool accepted) -> void
{
    const auto found = m_reportProgress.find(
        {.clientAccount = report.clientAccount, .start = report.windowStart});
    if (found == m_reportProgress.end() || !accepted || found->second.accepted)
        return;
    found->second = {.accepted = true};
}

auto usage_reporter::ownsAccount(std::string_view clientAccount) const -> bool
{
    return m_options.shards <= 1 || fastHash(clientAccount) % m_options.shards == m_options.shard;
}

auto usage_reporter::sealNext(const std::string &id, const usage_account &account,
                              const usage_ledger &ledger, const usage_tick &tick,
                              usage_actions &actions) -> void
{
    const auto closeDelay = toMilliseconds(m_options.closeDelay);
    const auto closedBefore = std::min(tick.unixNow, tick.caughtUpUnix) - closeDelay;
    const auto newestClosed = ledger.windowOf(closedBefore) - ledger.windowLength();
    auto start = newestClosed;
    usage_figures figures;
    if (!account.open.empty() && account.open.begin()->first <= newestClosed) {
        start = account.open.begin()->first;
        figures = account.open.begin()->second;
    } else if (account.late.isZero() || newestClosed <= account.sealedThrough) {
        return;
    }
    const auto [attempt, isNew] = m_sealAttempts.try_emplace(id);
    const auto isRepeat = !isNew && attempt->second.start == start;
    if (isRepeat && tick.now < attempt->second.sentAt + m_options.retryAfter)
        return;
    attempt->second = {.start = start, .sentAt = tick.now};
    auto &sealed = *actions.records.emplace_back().mutable_usage_sealed();
    sealed.set_client_account(id);
    sealed.set_window_start_unix_ms(start);
    *sealed.mutable_figures() = toMessage(figures);
    *sealed.mutable_adjustment() = toMessage(account.late);
    sealed.set_covers_offset(ledger.offset());
    sealed.set_fencing(tick.fencing);
}

auto usage_reporter::reportSealed(const std::string &id, const usage_account &account,
                                  const usage_ledger &ledger, const usage_tick &tick,
                                  usage_actions &actions) -> void
{
    for (const auto &[start, sealed] : account.sealed) {
        const auto isTickFull = actions.reports.size() >= m_options.maxPerTick
                                || actions.records.size() >= m_options.maxPerTick;
        const auto progress
            = m_reportProgress.try_emplace({.clientAccount = id, .start = start}).first;
        const auto &sentAt = progress->second.sentAt;
        if (isTickFull || (sentAt && tick.now < *sentAt + m_options.retryAfter))
            continue;
        progress->second.sentAt = tick.now;
        if (progress->second.accepted) {
            auto &mark = *actions.records.emplace_back().mutable_usage_reported();
            mark.set_client_account(id);
            mark.set_window_start_unix_ms(start);
            mark.set_fencing(tick.fencing);
            continue;
        }
        actions.reports.push_back({.reportId = fmt::format("{}/{}", id, start),
                                   .clientAccount = id,
                                   .windowStart = start,
                                   .windowLength = ledger.windowLength(),
                                   .figures = sealed.figures,
                                   .adjustment = sealed.adjustment,
                                   .fencing = tick.fencing});
    }
}

auto usage_reporter::removeReported(const usage_ledger &ledger) -> void
{
    std::erase_if(m_reportProgress, [&](const auto &item) {
        const auto *account = ledger.account(item.first.clientAccount);
        return account == nullptr || !account->sealed.contains(item.first.start);
    });
}

} // namespace mustardline
