#pragma once

// Estimates how fast the endpoints of one target prefill prompts, from the times to the first
// token.
//
// Load pattern: endpoints that prefill long prompts behind many entry processes. One process sees
// too few samples of one endpoint for an estimate in time, and prompts that other processes sent
// there just before can make any single response late. So the samples of all endpoints of a target
// are combined, and quantiles are estimated rather than means: a few responses that were late by
// seconds have little influence.
//
//     prefill_estimator estimator;
//     estimator.firstToken(latency, tokensAhead);   // tokens to prefill, its own included
//     const auto time = estimator.timeFor(tokens);

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/clock.h"
#include "policy/durations.h"

namespace mustardline {

// Estimates a quantile of a stream of positive samples of any scale: it moves by a step of the
// logarithm, up for a larger sample and down for a smaller one.
class quantile_estimator
{
public:
    explicit quantile_estimator(double quantile) : m_quantile(quantile) {}

    auto add(double sample) -> void
    {
        const auto step = std::max(minStep, firstStep / ++m_count);
        if (m_count == 1)
            m_value = std::max(sample, minValue);
        else if (sample > m_value)
            m_value *= std::exp(step * m_quantile);
        else
            m_value *= std::exp(-step * (1 - m_quantile));
    }

    [[nodiscard]] auto count() const -> std::uint32_t { return m_count; }
    [[nodiscard]] auto isKnown() const -> bool { return m_count > 0; }
    // Returns 0 before the first sample.
    [[nodiscard]] auto value() const -> double { return m_value; }

private:
    // Step of the logarithm for the n-th sample: firstStep / n, but at least minStep.
    static constexpr double firstStep = 2;
    static constexpr double minStep = 0.08;
    // Keeps the value positive.
    static constexpr double minValue = 1e-9;

    double m_quantile;
    double m_value = 0;
    std::uint32_t m_count = 0;
};

class prefill_estimator
{
public:
    // `latency` is the time from sending a request to its first token, when `tokens` prompt tokens
    // were to be prefilled, including its own.
    auto firstToken(duration latency, std::uint32_t tokens) -> void
    {
        const auto seconds = toSeconds(latency);
        if (tokens >= minTokensForRate)
            m_perToken.add(std::max(seconds - m_fixedLatency.value(), 0.0) / tokens);
        else
            m_fixedLatency.add(std::max(seconds - secondsPerToken() * tokens, 0.0));
    }

    [[nodiscard]] auto timeFor(double tokens) const -> duration
    {
        return fromSeconds(secondsPerToken() * tokens);
    }

private:
    // Samples with at least this many tokens update the time per token, smaller ones the fixed
    // latency.
    static constexpr std::uint32_t minTokensForRate = 2000;
    // Used until the first sample with enough tokens.
    static constexpr double assumedSecondsPerToken = 1e-5;
    // Below the median, because most responses are delayed by prompts of other entry processes and
    // few are faster than the endpoint's own prefill speed, through cached prefixes.
    static constexpr double perTokenQuantile = 0.35;
    static constexpr double fixedLatencyQuantile = 0.25;

    [[nodiscard]] auto secondsPerToken() const -> double
    {
        return m_perToken.isKnown() ? m_perToken.value() : assumedSecondsPerToken;
    }

    quantile_estimator m_perToken{perTokenQuantile};
    // Time to the first token without prefill.
    quantile_estimator m_fixedLatency{fixedLatencyQuantile};
};

} // namespace mustardline
