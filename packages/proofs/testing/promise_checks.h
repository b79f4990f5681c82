#pragma once

// Checks of promises 1 and 2 over a series of placement decisions. They are applied to the log
// lines of real processes and to naive dispatchers that must fail them:
//
//     traffic_decisions decisions{{.kind = decision_kind::arrived, .tier = 6}, ...};
//     EXPECT_EQ(lossesAboveLowestTier(decisions, 6), 0U);
//     EXPECT_LE(mostPassedOver(decisions, 6), turnPlacements);

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace mustardline::proofs {

enum class decision_kind { arrived, placed, refused, stopped };

struct traffic_decision
{
    decision_kind kind = decision_kind::placed;
    std::uint32_t tier = 0;
};

using traffic_decisions = std::vector<traffic_decision>;

// How many placements of other tiers may precede one of a waiting tier while the requests placed
// first have time to spare; stated in docs/design/policy.md.
inline constexpr std::size_t turnPlacements = 16;

// P1: counts refusals and preemptions of requests above the lowest tier.
[[nodiscard]] inline auto lossesAboveLowestTier(std::span<const traffic_decision> decisions,
                                                std::uint32_t lowest) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(decisions, [&](const auto &decision) {
        const auto isLoss
            = decision.kind == decision_kind::refused || decision.kind == decision_kind::stopped;
        return isLoss && decision.tier < lowest;
    }));
}

// P2: the longest run of placements of other tiers while a request of `tier` was waiting.
[[nodiscard]] inline auto mostPassedOver(std::span<const traffic_decision> decisions,
                                         std::uint32_t tier) -> std::size_t
{
    std::size_t waiting = 0;
    std::size_t passedOver = 0;
    std::size_t longest = 0;
    for (const auto &decision : decisions) {
        if (decision.tier == tier) {
            passedOver = 0;
            waiting += decision.kind == decision_kind::arrived ? 1 : 0;
            waiting -= decision.kind != decision_kind::arrived && waiting > 0 ? 1 : 0;
        } else if (decision.kind == decision_kind::placed && waiting > 0) {
            longest = std::max(longest, ++passedOver);
        }
    }
    return longest;
}

} // namespace mustardline::proofs
