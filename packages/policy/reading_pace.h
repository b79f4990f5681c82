#pragma once

// How fast the endpoints of one model or service read prompts, learned from first tokens.
//
// Load pattern: endpoints that read long prompts behind many entries. What one entry sees of one
// endpoint is too little to learn from in time, and what other entries sent there just before makes
// any single answer late. So all answers count together, and quantiles are followed rather than
// means: a few answers that were late by seconds change little.
//
//     reading_pace pace;
//     pace.firstToken(latency, tokensAhead);   // of a request that stood behind so many tokens
//     const auto time = pace.timeFor(tokens);

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/clock.h"
#include "policy/durations.h"

namespace mustardline {

// Follows the value below which a share of the samples lies; positive samples of any scale.
class quantile_follower
{
public:
    explicit quantile_follower(double share) : m_share(share) {}

    auto add(double sample) -> void
    {
        const auto step = std::max(leastStep, firstStep / ++m_count);
        if (m_count == 1)
            m_value = std::max(sample, leastValue);
        else if (sample > m_value)
            m_value *= std::exp(step * m_share);
        else
            m_value *= std::exp(-step * (1 - m_share));
    }

    [[nodiscard]] auto isKnown() const -> bool { return m_count > 0; }
    // 0 before the first sample.
    [[nodiscard]] auto value() const -> double { return m_value; }

private:
    // Changes of the logarithm for a sample: that of the second, as many times smaller for each
    // later one, and the least.
    static constexpr double firstStep = 2;
    static constexpr double leastStep = 0.08;
    // Keeps the value positive.
    static constexpr double leastValue = 1e-9;

    double m_share;
    double m_value = 0;
    std::uint32_t m_count = 0;
};

class reading_pace
{
public:
    // `latency` is the time from sending to the first token of a request that stood behind
    // `tokens` of prompts, its own among them.
    auto firstToken(duration latency, std::uint32_t tokens) -> void
    {
        const auto seconds = toSeconds(latency);
        if (tokens >= telling)
            m_perToken.add(std::max(seconds - m_rest.value(), 0.0) / tokens);
        else
            m_rest.add(std::max(seconds - secondsPerToken() * tokens, 0.0));
    }

    [[nodiscard]] auto timeFor(double tokens) const -> duration
    {
        return fromSeconds(secondsPerToken() * tokens);
    }

private:
    // Prompts of so many tokens and more tell of the pace, shorter ones of the rest of the time.
    static constexpr std::uint32_t telling = 2000;
    // Taken before the first long prompt was answered.
    static constexpr double assumedSecondsPerToken = 1e-5;
    // Most answers are late by what others sent; few are earlier than the endpoint's own pace.
    static constexpr double paceShare = 0.35;
    static constexpr double restShare = 0.25;

    [[nodiscard]] auto secondsPerToken() const -> double
    {
        return m_perToken.isKnown() ? m_perToken.value() : assumedSecondsPerToken;
    }

    quantile_follower m_perToken{paceShare};
    // Of a first token that no prompt delays.
    quantile_follower m_rest{restShare};
};

} // namespace mustardline
