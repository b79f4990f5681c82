#pragma once

// This process's share of the retries that all entry processes together may send to one service.
//
// The limit: in any window, the retries of all entry processes number at most `ratio` times their
// requests plus `slack`. Each process applies the ratio to its own requests and takes an equal
// share of the slack, so that the limit holds without coordination, however unevenly the load
// balancer spreads requests.
//
//     shared_retry_budget budget({.ratio = 0.2, .slack = 58, .window = 10s});
//     budget.recordRequest(now);
//     if (budget.tryAcquire(entryCount, now)) ...

#include <algorithm>
#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace mustardline {

// This process's share of an endpoint's connection limit, which applies to all entry processes
// together. An endpoint resets connections beyond its limit, so one tenth is left unused for
// processes that are not known yet.
[[nodiscard]] inline auto connectionShare(std::uint32_t total, std::uint32_t entryCount)
    -> std::uint32_t
{
    constexpr std::uint32_t usedTenths = 9;
    constexpr std::uint32_t tenths = 10;
    return std::max(total * usedTenths / tenths / std::max(entryCount, 1U), 1U);
}

struct shared_retry_budget_options
{
    double ratio = 0.2;
    double slack = 20;
    duration window = std::chrono::seconds(10);
    // Fraction of the limit that is used, because entry processes discover each other with a delay.
    double usedFraction = 0.7;
};

class shared_retry_budget
{
public:
    explicit shared_retry_budget(shared_retry_budget_options options) : m_options(options) {}

    auto recordRequest(time_point now) -> void
    {
        advance(now);
        ++m_current.requests;
    }

    // Counts a retry and returns true if it is within this process's share.
    auto tryAcquire(std::uint32_t entryCount, time_point now) -> bool
    {
        if (!hasLeft(entryCount, now))
            return false;
        ++m_current.retries;
        return true;
    }

    // Whether another retry would be within this process's share.
    [[nodiscard]] auto hasLeft(std::uint32_t entryCount, time_point now) -> bool
    {
        advance(now);
        double requests = m_current.requests;
        double retries = m_current.retries;
        for (const auto &each : m_past) {
            requests += each.requests;
            retries += each.retries;
        }
        const auto limit = requests * m_options.ratio + m_options.slack / entryCount;
        return retries + 1 <= limit * m_options.usedFraction;
    }

private:
    static constexpr std::int64_t bucketsPerWindow = 10;

    struct bucket
    {
        std::int64_t index = 0;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    auto advance(time_point now) -> void
    {
        const auto index = now.nanoseconds / (m_options.window.count() / bucketsPerWindow);
        if (index != m_current.index) {
            m_past.push_back(m_current);
            m_current = {.index = index};
        }
        while (!m_past.empty() && m_past.front().index <= index - bucketsPerWindow)
            m_past.pop_front();
    }

    shared_retry_budget_options m_options;
    bucket m_current;
    std::deque<bucket> m_past;
};

} // namespace mustardline
