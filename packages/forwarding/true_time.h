#pragma once

// True time on a VM whose time of day may jump by seconds, and back again.
//
//     true_time time(clock.now(), clock.unixNow());
//     const auto unixNow = time.read(clock.now(), clock.unixNow());
//
// True time advances with the monotonic clock. The time of day is followed while it drifts, not
// when it jumps. A process that started in the midst of a jump is set right by what the other edges
// say: if more than half of three or more agree among each other and not with it, theirs is taken.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace mustardline {

class true_time
{
public:
    true_time(time_point now, unix_milliseconds unixNow) : m_offset(unixNow - milliseconds(now)) {}

    [[nodiscard]] auto read(time_point now, unix_milliseconds unixNow) -> unix_milliseconds
    {
        const auto offset = unixNow - milliseconds(now);
        if (std::abs(offset - m_offset) <= largestDrift)
            m_offset = offset;
        return milliseconds(now) + m_offset;
    }

    // Another edge's reckoning, as it arrived at `now`.
    auto heard(const std::string &edge, time_point now, unix_milliseconds theirs) -> void
    {
        m_others[edge] = {.offset = theirs - milliseconds(now), .at = now};
        std::erase_if(m_others, [now](const auto &item) { return now - item.second.at > memory; });
        std::vector<std::int64_t> offsets;
        for (const auto &[name, reading] : m_others)
            offsets.push_back(reading.offset);
        std::ranges::sort(offsets);
        if (offsets.size() < fewestOthers)
            return;
        const auto middle = offsets[offsets.size() / 2];
        const auto agreeing = std::ranges::count_if(
            offsets, [middle](auto offset) { return std::abs(offset - middle) <= agreement; });
        const bool isMajority = 2 * static_cast<std::size_t>(agreeing) > offsets.size();
        if (isMajority && std::abs(m_offset - middle) > agreement)
            m_offset = middle;
    }

private:
    // Milliseconds that the time of day may drift between two readings.
    static constexpr std::int64_t largestDrift = 20;
    // Milliseconds by which the readings of VMs in order may differ.
    static constexpr std::int64_t agreement = 250;
    static constexpr std::size_t fewestOthers = 2;
    static constexpr duration memory = std::chrono::seconds(5);

    struct reading
    {
        std::int64_t offset = 0;
        time_point at{};
    };

    static auto milliseconds(time_point value) -> std::int64_t
    {
        return toMilliseconds(duration(value.nanoseconds));
    }

    // What is added to the monotonic clock.
    std::int64_t m_offset;
    std::map<std::string, reading> m_others;
};

} // namespace mustardline
