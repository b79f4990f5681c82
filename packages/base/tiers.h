#pragma once

// Service tiers of client accounts: 1 is the highest, `lowestTier` the lowest.

#include <cstdint>

namespace mustardline {

inline constexpr std::uint32_t lowestTier = 6;

} // namespace mustardline
