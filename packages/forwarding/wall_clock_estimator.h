#pragma once

// Estimates the correct wall-clock time on a VM whose system clock may jump by seconds, and back.
//
//     wall_clock_estimator clock(steadyNow, unixNow);
//     const auto corrected = clock.estimate(steadyNow, unixNow);
//
// The estimate advances with the monotonic clock. It follows the system clock's drift but not its
// jumps. A process that started during a jump is corrected by the other edges: if more than half of
// their estimates, of which there must be at least two, agree with each other but not with this
// one, theirs is adopted.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace mustardline {

class wall_clock_estimator
{
public:
    wall_clock_estimator(time_point now, unix_milliseconds unixNow)
        : m_offset(unixNow - milliseconds(now))
    {}

    [[nodiscard]] auto estimate(time_point now, unix_milliseconds unixNow) -> unix_milliseconds
    {
        const auto offset = unixNow - milliseconds(now);
        if (std::abs(offset - m_offset) <= maxDriftMs)
            m_offset = offset;
        return milliseconds(now) + m_offset;
    }

    // Another edge's estimate, as received at `now`.
    auto addPeerReading(const std::string &edge, time_point now, unix_milliseconds peerUnixTime)
        -> void
    {
        m_peerReadings[edge] = {.offset = peerUnixTime - milliseconds(now), .at = now};
        std::erase_if(m_peerReadings,
                      [now](const auto &item) { return now - item.second.at > readingTtl; });
        std::vector<std::int64_t> offsets;
        for (const auto &[name, reading] : m_peerReadings)
            offsets.push_back(reading.offset);
        std::ranges::sort(offsets);
        if (offsets.size() < minPeers)
            return;
        const auto median = offsets[offsets.size() / 2];
        const auto agreeing = std::ranges::count_if(
            offsets, [median](auto offset) { return std::abs(offset - median) <= toleranceMs; });
        const bool isMajority = 2 * static_cast<std::size_t>(agreeing) > offsets.size();
        if (isMajority && std::abs(m_offset - median) > toleranceMs)
            m_offset = median;
    }

private:
    // Maximum drift of the system clock between two readings, in milliseconds.
    static constexpr std::int64_t maxDriftMs = 20;
    // Maximum difference between correct estimates of different VMs, in milliseconds.
    static constexpr std::int64_t toleranceMs = 250;
    static constexpr std::size_t minPeers = 2;
    static constexpr duration readingTtl = std::chrono::seconds(5);

    struct reading
    {
        std::int64_t offset = 0;
        time_point at{};
    };

    static auto milliseconds(time_point value) -> std::int64_t
    {
        return toMilliseconds(duration(value.nanoseconds));
    }

    // Offset of the estimate from the monotonic clock.
    std::int64_t m_offset;
    std::map<std::string, reading> m_peerReadings;
};

} // namespace mustardline
