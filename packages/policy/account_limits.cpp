#include "policy/account_limits.h"

#include <algorithm>
#include <cmath>

namespace mustardline {

namespace {

// Number of standard deviations allowed for an uneven distribution over the entry processes. The
// number of requests that reach one of them varies by about its square root.
constexpr double allowedDeviations = 1.0;
constexpr duration concurrencyRetryAfter = std::chrono::seconds(1);

} // namespace

auto account_limits::setEntryCount(std::uint32_t count) -> void
{
    m_entryCount = std::max(1U, count);
}

auto account_limits::share(std::uint32_t limit) const -> double
{
    return static_cast<double>(limit) / m_entryCount;
}

auto account_limits::admit(std::uint32_t account, const account_limit &limit, time_point now)
    -> limit_verdict
{
    if (account >= m_rows.size())
        m_rows.resize(account + 1);
    auto &row = m_rows[account];
    if (limit.concurrentRequests > 0) {
        const auto allowed = share(limit.concurrentRequests);
        const auto slack = m_entryCount > 1 ? allowedDeviations * std::sqrt(allowed) : 0.0;
        const auto bound = std::min<double>(std::ceil(allowed + slack), limit.concurrentRequests);
        if (row.openRequests >= static_cast<std::uint32_t>(bound))
            return {.code = result_code::concurrency_limited, .retryAfter = concurrencyRetryAfter};
    }
    if (limit.requestsPerSecond > 0) {
        const auto rate = share(limit.requestsPerSecond);
        row.rate.configure({.perSecond = rate, .burst = std::max(1.0, rate)}, now);
        if (!row.rate.take(now))
            return {.code = result_code::rate_limited, .retryAfter = row.rate.timeToNext()};
    }
    ++row.openRequests;
    return {};
}

auto account_limits::ended(std::uint32_t account) -> void
{
    if (account < m_rows.size() && m_rows[account].openRequests > 0)
        --m_rows[account].openRequests;
}

auto account_limits::openRequests(std::uint32_t account) const -> std::uint32_t
{
    return account < m_rows.size() ? m_rows[account].openRequests : 0;
}

} // namespace mustardline
