#include "policy/size_estimator.h"

#include <algorithm>
#include <bit>

namespace mustardline {

namespace {

constexpr std::uint32_t halvingCount = 1024;    // total count at which all counts are halved
constexpr std::uint32_t minAccountAnswers = 32; // of an account before its own distribution is used
constexpr float meanWeight = 1.0F / 32;         // of a new sample

// Bucket bounds are half octaves apart: 1, 2, 3, 4, 6, 8, 12, ...
auto bucketOf(std::uint32_t tokens) -> std::size_t
{
    if (tokens < 2)
        return 0;
    const auto octave = static_cast<std::uint32_t>(std::bit_width(tokens)) - 1;
    const auto upperHalf = (tokens >> (octave - 1)) & 1U;
    return 2 * octave + upperHalf - 1;
}

// The lower bound of the next bucket.
auto bucketEnd(std::size_t bucket) -> std::uint32_t
{
    const auto octave = (bucket + 1) / 2;
    const auto start = 1U << octave;
    return bucket % 2 == 1 ? start + start / 2 : start * 2;
}

auto keyOf(std::uint32_t requestClass, std::uint32_t account) -> std::uint64_t
{
    return (static_cast<std::uint64_t>(requestClass) << 32) | account;
}

} // namespace

auto length_histogram::add(std::uint32_t tokens) -> void
{
    m_mean = m_total == 0 ? static_cast<float>(tokens)
                          : m_mean + (static_cast<float>(tokens) - m_mean) * meanWeight;
    ++m_counts[std::min(bucketOf(tokens), bucketCount - 1)];
    if (++m_total < halvingCount)
        return;
    m_total = 0;
    for (auto &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

auto length_histogram::quantile(double fraction, std::uint32_t atLeast) const -> std::uint32_t
{
    const auto first = std::min(bucketOf(atLeast), bucketCount - 1);
    std::uint32_t considered = 0;
    for (auto bucket = first; bucket < bucketCount; ++bucket)
        considered += m_counts[bucket];
    if (considered == 0)
        return atLeast;
    const auto wantedCount = fraction * considered;
    std::uint32_t cumulative = 0;
    auto bucket = first;
    for (; bucket + 1 < bucketCount; ++bucket) {
        cumulative += m_counts[bucket];
        if (cumulative >= wantedCount)
            break;
    }
    return std::max(bucketEnd(bucket), atLeast);
}

auto length_histogram::mean() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_mean);
}

auto size_estimator::record(std::uint32_t requestClass, std::uint32_t account, std::uint32_t tokens)
    -> void
{
    if (requestClass >= m_classes.size())
        m_classes.resize(requestClass + 1);
    m_classes[requestClass].add(tokens);
    m_accounts[keyOf(requestClass, account)].add(tokens);
}

auto size_estimator::histogramFor(std::uint32_t requestClass, std::uint32_t account) const
    -> const length_histogram *
{
    const auto own = m_accounts.find(keyOf(requestClass, account));
    if (own != m_accounts.end() && own->second.total() >= minAccountAnswers)
        return &own->second;
    return requestClass < m_classes.size() ? &m_classes[requestClass] : nullptr;
}

auto size_estimator::quantile(std::uint32_t requestClass, std::uint32_t account, double fraction,
                              std::uint32_t atLeast) const -> std::uint32_t
{
    const auto *lengths = histogramFor(requestClass, account);
    return lengths == nullptr ? atLeast : lengths->quantile(fraction, atLeast);
}

auto size_estimator::mean(std::uint32_t requestClass, std::uint32_t account) const -> std::uint32_t
{
    const auto *lengths = histogramFor(requestClass, account);
    return lengths == nullptr ? 0 : lengths->mean();
}

} // namespace mustardline
