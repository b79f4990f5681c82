#pragma once

// How many requests of each client account began to run in each usage window, over all edges.
//
//     usage_windows usage({.window = 5s});
//     usage.count("kartkalkan", unixNow);
//     usage.merge(boot, window, "kartkalkan", 41); // what another edge says of itself
//     const auto totals = usage.totals(window);
//
// Counts only grow, so the greater of two figures of one edge is the later one, whatever order they
// arrive in. Each start of an edge counts apart.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace mustardline {

struct usage_windows_options
{
    duration window = std::chrono::seconds(5);
    // Windows kept; older ones are forgotten.
    std::int64_t keptWindows = 24;
    // The name of this edge's start.
    std::string self = "self";
};

class usage_windows
{
public:
    using account_counts = std::map<std::string, std::uint64_t, std::less<>>;

    explicit usage_windows(usage_windows_options options) : m_options(std::move(options)) {}

    // The number of the window that holds that time, from 1970 on.
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

    // Of this edge alone; empty if nothing was counted.
    [[nodiscard]] auto own(std::int64_t window) const -> account_counts;
    [[nodiscard]] auto totals(std::int64_t window) const -> account_counts;

private:
    auto rowOf(std::int64_t window, const std::string &edge) -> account_counts &;

    usage_windows_options m_options;
    std::map<std::int64_t, std::map<std::string, account_counts>> m_windows;
};

} // namespace mustardline
