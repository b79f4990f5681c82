#pragma once

// Estimates of how many tokens an answer will have, learnt from the answers that ended.
//
// Lengths are counted in buckets that grow by half an octave, per class and per account within it.
// An account's own distribution is used once it has enough answers, else that of the class. Old
// counts fade by halving, so that a change of habit is followed. While tokens arrive the estimate
// is taken from the answers that were at least as long:
//
//     size_estimator sizes;
//     sizes.learn(requestClass, account, 180);
//     sizes.quantile(requestClass, account, 0.9);      // before the first token
//     sizes.quantile(requestClass, account, 0.9, 120); // after 120 tokens

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mustardline {

// Counts of lengths in buckets of half an octave.
class length_histogram
{
public:
    auto add(std::uint32_t tokens) -> void;

    // The length that the part `share` of answers longer than `atLeast` does not exceed; 0 if
    // nothing is known.
    [[nodiscard]] auto quantile(double share, std::uint32_t atLeast) const -> std::uint32_t;
    [[nodiscard]] auto mean() const -> std::uint32_t;
    [[nodiscard]] auto total() const -> std::uint32_t { return m_total; }

private:
    static constexpr std::size_t bucketCount = 36;

    std::array<std::uint16_t, bucketCount> m_counts{};
    std::uint32_t m_total = 0;
    float m_mean = 0;
};

class size_estimator
{
public:
    auto learn(std::uint32_t requestClass, std::uint32_t account, std::uint32_t tokens) -> void;

    // 0 if no answer of the class has ended yet.
    [[nodiscard]] auto quantile(std::uint32_t requestClass, std::uint32_t account, double share,
                                std::uint32_t atLeast = 0) const -> std::uint32_t;
    [[nodiscard]] auto mean(std::uint32_t requestClass, std::uint32_t account) const
        -> std::uint32_t;

private:
    [[nodiscard]] auto histogramFor(std::uint32_t requestClass, std::uint32_t account) const
        -> const length_histogram *;

    std::vector<length_histogram> m_classes;
    std::unordered_map<std::uint64_t, length_histogram> m_accounts;
};

} // namespace mustardline
