#pragma once

// Counts, over all edges, the requests of each client account whose execution started in each usage
// window.
//
//     usage_windows usage({.window = 5s});
//     usage.count("kartkalkan", unixNow);
//     usage.merge(boot, window, "kartkalkan", 41); // another edge's own count
//     const auto totals = usage.totals(window);
//
// Counts only grow, so the larger of two counts of one edge is the later one, regardless of the
// order of arrival. Each process start of an edge is counted separately.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace mustardline {

struct usage_windows_options
{
    duration window = std::chrono::seconds(5);
    // Number of windows that are kept; older ones are discarded.
    std::int64_t keptWindows = 24;
    // Number of windows ahead of this process's clock that others may count.
    std::int64_t aheadWindows = 3;
    // Memory for the counts of other edges. Old windows give way; what is beyond it is ignored.
    std::size_t maxPeerBytes = 32U << 20U;
    // Identifies this edge's process start.
    std::string self = "self";
};

class usage_windows
{
public:
    using account_counts = std::map<std::string, std::uint64_t, std::less<>>;

    explicit usage_windows(usage_windows_options options) : m_options(std::move(options)) {}

    // Number of the window that contains the time, counted from 1970.
    [[nodiscard]] auto windowOf(unix_milliseconds time) const -> std::int64_t
    {
        return time / toMilliseconds(m_options.window);
    }
    [[nodiscard]] auto endOf(std::int64_t window) const -> unix_milliseconds
    {
        return (window + 1) * toMilliseconds(m_options.window);
    }

    auto count(std::string_view account, unix_milliseconds time) -> void;
    auto merge(const std::string &edge, std::int64_t window, std::string_view account,
               std::uint64_t count) -> void;
    // Whether counts of another edge for this window are to be merged at `time`. A window far ahead
    // would make those of the present the oldest ones.
    [[nodiscard]] auto accepts(std::int64_t window, unix_milliseconds time) const -> bool
    {
        const auto current = windowOf(time);
        return window > current - m_options.keptWindows
               && window <= current + m_options.aheadWindows;
    }

    // Counts of this edge only; empty if there are none.
    [[nodiscard]] auto ownCounts(std::int64_t window) const -> account_counts;
    [[nodiscard]] auto totals(std::int64_t window) const -> account_counts;

private:
    // Discards old windows, as far as counts of `added` bytes for `window` need their memory.
    auto makeRoom(std::size_t added, std::int64_t window) -> void;
    auto discardOldest() -> void;
    auto countsFor(std::int64_t window, const std::string &edge) -> account_counts &;

    usage_windows_options m_options;
    // Approximate memory for the counts of other edges.
    std::size_t m_peerBytes = 0;
    std::map<std::int64_t, std::map<std::string, account_counts>> m_windows;
};

} // namespace mustardline
