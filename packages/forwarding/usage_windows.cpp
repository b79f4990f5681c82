#include "forwarding/usage_windows.h"

#include <algorithm>

namespace mustardline {

auto usage_windows::countsFor(std::int64_t window, const std::string &edge) -> account_counts &
{
    auto &row = m_windows[window][edge];
    const auto newest = m_windows.rbegin()->first;
    while (m_windows.begin()->first <= newest - m_options.keptWindows
           && m_windows.begin()->first != window)
        m_windows.erase(m_windows.begin());
    return row;
}

auto usage_windows::count(std::string_view account, unix_milliseconds time) -> void
{
    auto &row = countsFor(windowOf(time), m_options.self);
    const auto found = row.find(account);
    if (found == row.end())
        row.emplace(account, 1);
    else
        ++found->second;
}

auto usage_windows::merge(const std::string &edge, std::int64_t window, std::string_view account,
                          std::uint64_t count) -> void
{
    if (edge == m_options.self)
        return;
    auto &row = countsFor(window, edge);
    auto &found = row[std::string(account)];
    found = std::max(found, count);
}

auto usage_windows::ownCounts(std::int64_t window) const -> account_counts
{
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return {};
    const auto row = found->second.find(m_options.self);
    return row == found->second.end() ? account_counts() : row->second;
}

auto usage_windows::totals(std::int64_t window) const -> account_counts
{
    account_counts totals;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return totals;
    for (const auto &[edge, row] : found->second) {
        for (const auto &[account, count] : row)
            totals[account] += count;
    }
    return totals;
}

} // namespace mustardline
