#pragma once

// What promises 1 and 2 say of a series of decisions. The same checks judge the log lines of real
// processes and cores that decide naively:
//
//     traffic_decisions decisions{{.what = decided::arrived, .tier = 6}, ...};
//     EXPECT_EQ(againstHigherTiers(decisions, 6), 0U);
//     EXPECT_LE(longestPassedOver(decisions, 6), turnPlacements);

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace mustardline::proofs {

enum class decided { arrived, placed, refused, stopped };

struct traffic_decision
{
    decided what = decided::placed;
    std::uint32_t tier = 0;
};

using traffic_decisions = std::vector<traffic_decision>;

// Placements that may pass over a waiting tier while those before it have time to spare; stated in
// docs/design/policy.md.
inline constexpr std::size_t turnPlacements = 16;

// P1: refusals and stops of requests above the lowest tier.
[[nodiscard]] inline auto againstHigherTiers(std::span<const traffic_decision> decisions,
                                             std::uint32_t lowest) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(decisions, [&](const auto &decision) {
        const auto isLoss = decision.what == decided::refused || decision.what == decided::stopped;
        return isLoss && decision.tier < lowest;
    }));
}

// P2: the most placements of other tiers in a row while a request of `tier` waited.
[[nodiscard]] inline auto longestPassedOver(std::span<const traffic_decision> decisions,
                                            std::uint32_t tier) -> std::size_t
{
    std::size_t waiting = 0;
    std::size_t passed = 0;
    std::size_t longest = 0;
    for (const auto &decision : decisions) {
        if (decision.tier == tier) {
            passed = 0;
            waiting += decision.what == decided::arrived ? 1 : 0;
            waiting -= decision.what != decided::arrived && waiting > 0 ? 1 : 0;
        } else if (decision.what == decided::placed && waiting > 0) {
            longest = std::max(longest, ++passed);
        }
    }
    return longest;
}

} // namespace mustardline::proofs
