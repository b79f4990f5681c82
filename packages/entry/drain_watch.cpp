#include "entry/drain_watch.h"

#include <algorithm>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr std::uint32_t maxDoublings = 10;

} // namespace

auto drain_watch::duePolls(time_point now, const ownership_test &isOwned)
    -> std::vector<std::string>
{
    std::vector<std::string> due;
    for (auto &[id, item] : m_endpoints) {
        if (now < item.nextPollAt)
            continue;
        if (!isOwned(id)) {
            item = {.silence = item.silence, .lastResponseAt = now};
            item.nextPollAt = now + m_options.pollInterval;
            continue;
        }
        due.push_back(id);
        const auto pause = doubled(m_options.pollInterval, item.unanswered++, maxDoublings);
        item.nextPollAt = now + std::min(pause, m_options.maxPollInterval);
    }
    return due;
}

auto drain_watch::recordLoad(const std::string &endpoint, std::uint32_t load, time_point now)
    -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    auto &item = found->second;
    item.lastResponseAt = now;
    item.unanswered = 0;
    item.nextPollAt = std::min(item.nextPollAt, now + m_options.pollInterval);
    item.load = load;
    if (load > 0) {
        item.emptySince.reset();
        item.isEmpty = false;
        return;
    }
    if (!item.emptySince)
        item.emptySince = now;
    item.isEmpty = now - *item.emptySince >= m_options.settleTime;
}

auto drain_watch::takeDrained(time_point now) -> std::vector<std::string>
{
    std::vector<std::string> empty;
    for (const auto &[id, item] : m_endpoints) {
        const auto isGone = item.silence == silence_meaning::gone
                            && now - item.lastResponseAt >= m_options.silenceTimeout;
        if (item.isEmpty || isGone)
            empty.push_back(id);
    }
    for (const auto &id : empty)
        m_endpoints.erase(id);
    return empty;
}

auto drain_watch::load(std::string_view endpoint) const -> std::uint32_t
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? 0 : found->second.load;
}

} // namespace mustardline
