#pragma once

// Adapts the number of requests that an endpoint may run at once to the time to the first token.
//
// A new window is small. In slow start, until the first congestion, it grows by one for each first
// token that arrives in time; afterwards by one for each full window of them. It shrinks when a
// first token is late relative to the baseline, and also while it is still outstanding, because an
// endpoint may turn cold without warning:
//
//     concurrency_window window({.highest = 32});
//     window.succeeded({.latency = latency, .target = target, .promptTokens = 800}, running, now);
//     window.outstanding({.latency = now - startedAt, .target = target}, now);
//
// A response that is not streamed has no first token. Its time per token is compared with that of
// responses of similar size, so that a long response is not taken for a late first token:
//
//     window.answeredWhole({.latency = latency, .promptTokens = 800}, 200, running, now);
//
// The window of a new endpoint does not grow while the endpoint is slower than others usually are,
// because it may be cold. The baseline is the fastest first token seen for prompts of similar
// size; it rises slowly with each sample so that old minima expire. A first token later than its
// target never lets the window grow, whatever the baseline, so that an endpoint that starts cold is
// not taken for a slow but healthy one.

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace mustardline {

struct concurrency_window_options
{
    std::uint32_t initial = 2;
    std::uint32_t highest = 1;
    // A new endpoint that is slower than others counts as cold for this long.
    duration warmUpTime = std::chrono::seconds(60);
    // While the usual latency at other endpoints is not known, the window does not grow for this
    // long.
    duration holdTime{};
};

// The time to a first token, or the time for which it has been outstanding.
struct first_token_sample
{
    duration latency{};
    // Zero for none.
    duration target{};
    std::uint32_t promptTokens = 0;
    // Usual latency of such a request at other endpoints; zero if not known.
    duration expected{};
};

class concurrency_window
{
public:
    explicit concurrency_window(concurrency_window_options options);

    // The first token arrived of a request; `running` requests ran when it started, including
    // itself.
    auto succeeded(const first_token_sample &sample, std::uint32_t running, time_point now) -> void;

    // A complete response of `tokens` tokens that was not streamed arrived after `sample.latency`.
    // The first-token target is ignored.
    auto answeredWhole(const first_token_sample &sample, std::uint32_t tokens,
                       std::uint32_t running, time_point now) -> void;

    // A running request has no first token yet.
    auto outstanding(const first_token_sample &sample, time_point now) -> void;

    // A request failed at the endpoint.
    auto failed(time_point now) -> void;

    [[nodiscard]] auto size() const -> std::uint32_t;

    // Typical time to the first token; zero if nothing was measured.
    [[nodiscard]] auto typicalLatency() const -> duration { return m_typical; }
    // The same for prompts of similar size.
    [[nodiscard]] auto typicalLatency(std::uint32_t promptTokens) const -> duration;

private:
    [[nodiscard]] auto fillRatio() const -> double;
    [[nodiscard]] auto mayBeCold(const first_token_sample &sample, time_point now) -> bool;
    [[nodiscard]] auto congested(const first_token_sample &sample) const -> bool;
    [[nodiscard]] auto collapsed(const first_token_sample &sample) const -> bool;
    auto growIfFull(const first_token_sample &sample, std::uint32_t running, time_point now)
        -> void;
    auto grow() -> void;
    auto shrink(double factor, time_point now) -> void;

    concurrency_window_options m_options;
    double m_size;
    bool m_slowStart = true;
    // The endpoint has been as fast as others or has run for its warm-up time.
    bool m_isWarm = false;
    bool m_hasSample = false;
    time_point m_firstSampleAt{};
    // First-token times of prompts whose lengths have the same bit width.
    struct octave_stats
    {
        duration baseline{};
        duration typical{};
    };

    static constexpr std::size_t octaveCount = 24;
    std::array<octave_stats, octaveCount> m_octaves{};
    // Baseline time per token of responses that are not streamed, by the octaves of prompt and
    // response length.
    std::array<std::array<duration, octaveCount>, octaveCount> m_responseBaselines{};
    duration m_typical{};
    // Minimum spacing of shrinks, so that one slow batch counts only once.
    time_point m_nextShrinkAt{};
};

} // namespace mustardline
