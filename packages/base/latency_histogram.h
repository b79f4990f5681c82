#pragma once

// A latency histogram, exported with the counters in the Prometheus text format.
//
//     latency_histogram latency(metrics, {.name = "mustardline_forward_seconds", .help = "..."});
//     latency.observe(now - arrivedAt);
//
// The bucket bounds double from 5 ms to 20.48 s, the range of times that callers wait.

#include <array>

#include "base/clock.h"
#include "base/counters.h"

namespace mustardline {

class latency_histogram
{
public:
    latency_histogram(counters &registry, const counter_options &options);

    auto observe(duration value) -> void;

private:
    // Upper bounds in milliseconds.
    static constexpr std::array<std::int64_t, 13> bucketBounds{
        5, 10, 20, 40, 80, 160, 320, 640, 1280, 2560, 5120, 10240, 20480};

    std::array<counter *, bucketBounds.size()> m_buckets{};
    counter *m_total;
    counter *m_sumMilliseconds;
};

} // namespace mustardline
