#include "forwarding/usage_windows.h"

#include <algorithm>

namespace mustardline {

namespace {

// Longer names are mistakes of the sender.
constexpr std::size_t maxNameBytes = 255;
// Memory for a count, without its name, and its part of the memory for its edge.
constexpr std::size_t itemBytes = 200;

auto bytesOf(const std::string &edge, std::string_view account) -> std::size_t
{
    return itemBytes + edge.size() + account.size();
}

} // namespace

auto usage_windows::countsFor(std::int64_t window, const std::string &edge) -> account_counts &
{
    auto &row = m_windows[window][edge];
    const auto newest = m_windows.rbegin()->first;
    while (m_windows.begin()->first <= newest - m_options.keptWindows
           && m_windows.begin()->first != window)
        discardOldest();
    return row;
}

// Windows that were reported long ago give way to the counts of later ones.
auto usage_windows::makeRoom(std::size_t added, std::int64_t window) -> void
{
    // Those that are not reported yet, also if an edge names one ahead of the present.
    const auto windowsInUse = m_options.aheadWindows + 4;
    while (m_peerBytes + added > m_options.maxPeerBytes && !m_windows.empty()
           && m_windows.begin()->first <= window - windowsInUse)
        discardOldest();
}

auto usage_windows::discardOldest() -> void
{
    for (const auto &[edge, row] : m_windows.begin()->second) {
        if (edge == m_options.self)
            continue;
        for (const auto &[account, count] : row)
            m_peerBytes -= bytesOf(edge, account);
    }
    m_windows.erase(m_windows.begin());
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
    if (edge == m_options.self || edge.size() > maxNameBytes || account.size() > maxNameBytes)
        return;
    const auto added = bytesOf(edge, account);
    makeRoom(added, window);
    if (m_peerBytes + added > m_options.maxPeerBytes)
        return;
    auto &row = countsFor(window, edge);
    const auto [found, isNew] = row.try_emplace(std::string(account), count);
    if (isNew)
        m_peerBytes += added;
    else
        found->second = std::max(found->second, count);
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
