#include "forwarding/usage_windows.h"

#include <algorithm>

namespace mustardline {

auto usage_windows::rowOf(std::int64_t window, const std::string &edge) -> account_counts &
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
    auto &row = rowOf(windowOf(time), m_options.self);
    const auto known = row.find(account);
    if (known == row.end())
        row.emplace(account, 1);
    else
        ++known->second;
}

auto usage_windows::merge(const std::string &edge, std::int64_t window, std::string_view account,
                          std::uint64_t count) -> void
{
    if (edge == m_options.self)
        return;
    auto &row = rowOf(window, edge);
    auto &known = row[std::string(account)];
    known = std::max(known, count);
}

auto usage_windows::own(std::int64_t window) const -> account_counts
{
    const auto known = m_windows.find(window);
    if (known == m_windows.end())
        return {};
    const auto row = known->second.find(m_options.self);
    return row == known->second.end() ? account_counts() : row->second;
}

auto usage_windows::totals(std::int64_t window) const -> account_counts
{
    account_counts totals;
    const auto known = m_windows.find(window);
    if (known == m_windows.end())
        return totals;
    for (const auto &[edge, row] : known->second) {
        for (const auto &[account, count] : row)
            totals[account] += count;
    }
    return totals;
}

} // namespace mustardline
