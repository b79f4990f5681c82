#pragma once

// How many requests an endpoint may run at once, learnt from the time to the first token.
//
// A new window is small. It grows by one for each first token that came in time until the first
// congestion, and by one for each window of them afterwards. It shrinks as soon as the first token
// is late against the baseline, also while the token is still outstanding, because an endpoint may
// turn cold without warning:
//
//     concurrency_window window({.highest = 32});
//     window.succeeded(latency, target, now);
//     if (oldestOutstanding)
//         window.outstanding(now - *oldestOutstanding, target, now);
//
// The baseline is the fastest first token seen, rising slowly so that it forgets. A first token
// later than its target never lets the window grow, whatever the baseline, so that an endpoint that
// starts cold is not taken for a slow but healthy one.

#include <cstdint>

#include "base/clock.h"

namespace mustardline {

struct concurrency_window_options
{
    std::uint32_t initial = 2;
    std::uint32_t highest = 1;
};

class concurrency_window
{
public:
    explicit concurrency_window(concurrency_window_options options);

    // A request was started when `running` others were running and its first token took `latency`.
    auto succeeded(duration latency, duration target, std::uint32_t running, time_point now)
        -> void;

    // A running request has waited for its first token for `waited` so far.
    auto outstanding(duration waited, duration target, time_point now) -> void;

    // The endpoint did not answer a request properly.
    auto failed(time_point now) -> void;

    [[nodiscard]] auto size() const -> std::uint32_t;

    // Typical time to the first token; zero if nothing was measured.
    [[nodiscard]] auto typicalLatency() const -> duration;

private:
    [[nodiscard]] auto congested(duration latency, duration target) const -> bool;
    [[nodiscard]] auto collapsed(duration latency, duration target) const -> bool;
    auto grow() -> void;
    auto shrink(double factor, time_point now) -> void;

    concurrency_window_options m_options;
    double m_size;
    bool m_slowStart = true;
    duration m_baseline{};
    duration m_typical{};
    // Shrinks are spaced, so that one slow batch counts once.
    time_point m_nextShrink{};
};

} // namespace mustardline
