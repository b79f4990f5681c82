#pragma once

// Estimates the number of tokens of an answer from the lengths of earlier answers.
//
// Lengths are counted in histograms with buckets of half an octave, one per class and one per
// account within a class. The distribution of the account is used once it has enough answers, that
// of the class until then. Counts are halved from time to time, so that the estimate follows
// changes in the traffic. While an answer is being generated, the estimate is taken from answers
// that were at least as long:
//
//     size_estimator sizes;
//     sizes.record(requestClass, account, 180);
//     sizes.quantile(requestClass, account, 0.9);      // before the first token
//     sizes.quantile(requestClass, account, 0.9, 120); // after 120 tokens

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mustardline {

// Histogram of answer lengths with buckets of half an octave.
class length_histogram
{
public:
    auto add(std::uint32_t tokens) -> void;

    // The `fraction` quantile of the lengths of answers of at least `atLeast` tokens; `atLeast` if
    // there are none.
    [[nodiscard]] auto quantile(double fraction, std::uint32_t atLeast) const -> std::uint32_t;
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
    auto record(std::uint32_t requestClass, std::uint32_t account, std::uint32_t tokens) -> void;

    // `quantile` returns `atLeast`, and `mean` 0, if no answer of the class was recorded.
    [[nodiscard]] auto quantile(std::uint32_t requestClass, std::uint32_t account, double fraction,
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
