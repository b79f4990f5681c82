#pragma once

// A histogram of times, printed with the counters in the Prometheus text form.
//
//     latency_histogram took(metrics, {.name = "mustardline_forward_seconds", .help = "..."});
//     took.observe(now - arrivedAt);
//
// The buckets double from 5 ms to 20 s, which is the span of what callers wait for.

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
    static constexpr std::array<std::int64_t, 13> bounds{5,   10,   20,   40,   80,    160,  320,
                                                         640, 1280, 2560, 5120, 10240, 20480};

    std::array<counter *, bounds.size()> m_buckets{};
    counter *m_all;
    counter *m_sumMilliseconds;
};

} // namespace mustardline
