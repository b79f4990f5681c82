#pragma once

// This entry's part of the repeats that all entries together may send to one service.
//
// The bound: in any window, repeats are at most `ratio` times the requests plus `slack`, summed
// over all entries. Each entry keeps to the ratio of its own requests and to its part of the slack,
// so the sum holds without talk between them, whatever the balancer's spread.
//
//     shared_allowance allowance({.ratio = 0.2, .slack = 58, .window = 10s});
//     allowance.requested(now);
//     if (allowance.take(entryCount, now)) ...

#include <algorithm>
#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace mustardline {

// This entry's part of the connections that an endpoint takes from all entries together. An
// endpoint resets those beyond its number, so some are left over for entries that are not known
// yet.
[[nodiscard]] inline auto connectionShare(std::uint32_t whole, std::uint32_t entryCount)
    -> std::uint32_t
{
    constexpr std::uint32_t usedTenths = 9;
    constexpr std::uint32_t tenths = 10;
    return std::max(whole * usedTenths / tenths / std::max(entryCount, 1U), 1U);
}

struct shared_allowance_options
{
    double ratio = 0.2;
    double slack = 20;
    duration window = std::chrono::seconds(10);
    // The part of the bound that is used, because entries learn of each other late.
    double usedPart = 0.7;
};

class shared_allowance
{
public:
    explicit shared_allowance(shared_allowance_options options) : m_options(options) {}

    auto requested(time_point now) -> void
    {
        roll(now);
        ++m_current.requests;
    }

    // Counts a repeat if it is within this entry's part.
    auto take(std::uint32_t entryCount, time_point now) -> bool
    {
        roll(now);
        double requests = m_current.requests;
        double repeats = m_current.repeats;
        for (const auto &each : m_past) {
            requests += each.requests;
            repeats += each.repeats;
        }
        const auto bound = requests * m_options.ratio + m_options.slack / entryCount;
        if (repeats + 1 > bound * m_options.usedPart)
            return false;
        ++m_current.repeats;
        return true;
    }

private:
    static constexpr std::int64_t spansPerWindow = 10;

    struct span
    {
        std::int64_t index = 0;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    auto roll(time_point now) -> void
    {
        const auto index = now.nanoseconds / (m_options.window.count() / spansPerWindow);
        if (index != m_current.index) {
            m_past.push_back(m_current);
            m_current = {.index = index};
        }
        while (!m_past.empty() && m_past.front().index <= index - spansPerWindow)
            m_past.pop_front();
    }

    shared_allowance_options m_options;
    span m_current;
    std::deque<span> m_past;
};

} // namespace mustardline
