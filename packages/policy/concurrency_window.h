#pragma once

// How many requests an endpoint may run at once, learnt from the time to the first token.
//
// A new window is small. It grows by one for each first token that came in time until the first
// congestion, and by one for each window of them afterwards. It shrinks as soon as the first token
// is late against the baseline, also while the token is still outstanding, because an endpoint may
// turn cold without warning:
//
//     concurrency_window window({.highest = 32});
//     window.succeeded({.latency = latency, .target = target, .promptTokens = 800}, running, now);
//     window.outstanding({.latency = now - startedAt, .target = target}, now);
//
// An answer that comes as a whole shows no first token. Its time for each of its tokens is compared
// with that of answers of about its size, so that a long answer is not taken for a late first
// token:
//
//     window.answeredWhole({.latency = latency, .promptTokens = 800}, 200, running, now);
//
// A new endpoint does not grow while it is slower than others usually are, because it cannot be
// told from a cold one. The baseline is the fastest first token seen for prompts of that size,
// rising slowly so that it forgets. A first token later than its target never lets the window grow,
// whatever the baseline, so that an endpoint that starts cold is not taken for a slow but healthy
// one.

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace mustardline {

struct concurrency_window_options
{
    std::uint32_t initial = 2;
    std::uint32_t highest = 1;
    // A new endpoint that is slower than others is taken to be cold for this long.
    duration warmUpTime = std::chrono::seconds(60);
    // It does not grow for this long without word of what is usual at other endpoints.
    duration holdTime{};
};

// The time to a first token, or the time for which it has been outstanding.
struct first_token_sample
{
    duration latency{};
    // Zero for none.
    duration target{};
    std::uint32_t promptTokens = 0;
    // Usual at other endpoints for such a request; zero if not known.
    duration expected{};
};

class concurrency_window
{
public:
    explicit concurrency_window(concurrency_window_options options);

    // The first token came of a request that was started as one of `running`.
    auto succeeded(const first_token_sample &sample, std::uint32_t running, time_point now) -> void;

    // A whole answer of `tokens` came after `sample.latency`. The first-token target does not
    // count.
    auto answeredWhole(const first_token_sample &sample, std::uint32_t tokens,
                       std::uint32_t running, time_point now) -> void;

    // A running request still has no first token.
    auto outstanding(const first_token_sample &sample, time_point now) -> void;

    // The endpoint did not answer a request properly.
    auto failed(time_point now) -> void;

    [[nodiscard]] auto size() const -> std::uint32_t;

    // Typical time to the first token; zero if nothing was measured.
    [[nodiscard]] auto typicalLatency() const -> duration { return m_typical; }
    // The same for prompts of about that size.
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
    // It has been as fast as others or has run for its warm-up time.
    bool m_isWarm = false;
    bool m_hasSample = false;
    time_point m_firstSampleAt{};
    // First-token times of the prompts of one octave of length.
    struct octave_row
    {
        duration baseline{};
        duration typical{};
    };

    static constexpr std::size_t octaveCount = 24;
    std::array<octave_row, octaveCount> m_octaves{};
    // The least time per token of whole answers, by the octaves of their prompts and lengths.
    std::array<std::array<duration, octaveCount>, octaveCount> m_wholeBaselines{};
    duration m_typical{};
    // Shrinks are spaced, so that one slow batch counts once.
    time_point m_nextShrink{};
};

} // namespace mustardline
