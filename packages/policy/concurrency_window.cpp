#include "policy/concurrency_window.h"

#include <algorithm>
#include <bit>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr double congestedRatio = 2.0; // of the baseline
constexpr double warmRatio = 1.4;      // of what is usual at other endpoints
constexpr double collapsedRatio = 4.0; // of the baseline
constexpr double baselineRise = 1.01;  // per sample
constexpr double typicalWeight = 0.2;  // of a new sample
constexpr double congestedShrink = 0.8;
constexpr double failedShrink = 0.5;
// The fraction of the window that must have been in use for it to grow. Until the endpoint is known
// to be warm, that is the whole window; otherwise two simultaneous responses would grow it twice,
// though both ran in the smaller window.
constexpr double warmFillRatio = 0.5;
constexpr double coldFillRatio = 1.0;
// A latency up to this is never late, because timers and scheduling dominate it.
constexpr duration maxIgnoredLatency = std::chrono::milliseconds(5);
constexpr duration minShrinkInterval = std::chrono::milliseconds(50);

// Lengths with the same bit width share a baseline.
auto octaveOf(std::uint32_t tokens) -> std::size_t
{
    return std::min<std::size_t>(std::bit_width(tokens), 23);
}

// Takes the minimum, after raising the old baseline slightly so that old minima expire.
auto updateBaseline(duration &baseline, duration sample) -> void
{
    baseline = baseline.count() == 0 ? sample : std::min(sample, scaled(baseline, baselineRise));
}

// Updates an exponential moving average; the first sample becomes the mean.
auto updateMean(duration &mean, duration sample) -> void
{
    mean = mean.count() == 0 ? sample : mean + scaled(sample - mean, typicalWeight);
}

} // namespace

concurrency_window::concurrency_window(concurrency_window_options options)
    : m_options(options), m_size(std::clamp(options.initial, 1U, std::max(1U, options.highest)))
{}

auto concurrency_window::succeeded(const first_token_sample &sample, std::uint32_t running,
                                   time_point now) -> void
{
    const bool isCongested = congested(sample);
    const bool isCollapsed = collapsed(sample);
    auto &octave = m_octaves[octaveOf(sample.promptTokens)];
    updateBaseline(octave.baseline, sample.latency);
    updateMean(octave.typical, sample.latency);
    updateMean(m_typical, sample.latency);
    if (isCollapsed)
        shrink(0, now);
    else if (isCongested)
        shrink(congestedShrink, now);
    else
        growIfFull(sample, running, now);
}

auto concurrency_window::answeredWhole(const first_token_sample &sample, std::uint32_t tokens,
                                       std::uint32_t running, time_point now) -> void
{
    if (tokens == 0)
        return;
    const auto perToken = sample.latency / tokens;
    auto &baseline = m_responseBaselines[octaveOf(sample.promptTokens)][octaveOf(tokens)];
    const auto isOver
        = [&](double ratio) { return baseline.count() > 0 && perToken > scaled(baseline, ratio); };
    if (isOver(collapsedRatio))
        shrink(0, now);
    else if (isOver(congestedRatio))
        shrink(congestedShrink, now);
    else
        growIfFull(sample, running, now);
    updateBaseline(baseline, perToken);
}

auto concurrency_window::growIfFull(const first_token_sample &sample, std::uint32_t running,
                                    time_point now) -> void
{
    if (!mayBeCold(sample, now) && static_cast<double>(running) >= m_size * fillRatio())
        grow();
}

auto concurrency_window::fillRatio() const -> double
{
    return m_isWarm ? warmFillRatio : coldFillRatio;
}

auto concurrency_window::outstanding(const first_token_sample &sample, time_point now) -> void
{
    if (collapsed(sample))
        shrink(0, now);
}

auto concurrency_window::failed(time_point now) -> void
{
    shrink(failedShrink, now);
}

auto concurrency_window::size() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_size);
}

auto concurrency_window::typicalLatency(std::uint32_t promptTokens) const -> duration
{
    const auto &octave = m_octaves[octaveOf(promptTokens)];
    return octave.typical.count() > 0 ? octave.typical : m_typical;
}

auto concurrency_window::mayBeCold(const first_token_sample &sample, time_point now) -> bool
{
    if (m_isWarm)
        return false;
    if (!m_hasSample)
        m_firstSampleAt = now;
    m_hasSample = true;
    const auto age = now - m_firstSampleAt;
    m_isWarm
        = age >= m_options.warmUpTime
          || (sample.expected.count() > 0 && sample.latency <= scaled(sample.expected, warmRatio));
    return !m_isWarm && (sample.expected.count() > 0 || age < m_options.holdTime);
}

auto concurrency_window::congested(const first_token_sample &sample) const -> bool
{
    if (sample.latency <= maxIgnoredLatency)
        return false;
    if (sample.target.count() > 0 && sample.latency > sample.target)
        return true;
    const auto baseline = m_octaves[octaveOf(sample.promptTokens)].baseline;
    return baseline.count() > 0 && sample.latency > scaled(baseline, congestedRatio);
}

// True if the endpoint must have turned cold: the latency is far above the baseline, and above half
// of the target if there is one; without a baseline, above the target.
auto concurrency_window::collapsed(const first_token_sample &sample) const -> bool
{
    const auto baseline = m_octaves[octaveOf(sample.promptTokens)].baseline;
    if (sample.latency <= maxIgnoredLatency || baseline.count() == 0)
        return sample.target.count() > 0 && sample.latency > sample.target;
    return sample.latency > scaled(baseline, collapsedRatio)
           && (sample.target.count() == 0 || sample.latency > sample.target / 2);
}

auto concurrency_window::grow() -> void
{
    m_size += m_slowStart ? 1.0 : 1.0 / m_size;
    m_size = std::min(m_size, static_cast<double>(std::max(1U, m_options.highest)));
}

auto concurrency_window::shrink(double factor, time_point now) -> void
{
    if (now < m_nextShrinkAt && factor > 0)
        return;
    m_slowStart = factor == 0;
    m_size = std::max(1.0, m_size * factor);
    m_nextShrinkAt = now + std::max(minShrinkInterval, m_typical);
}

} // namespace mustardline
