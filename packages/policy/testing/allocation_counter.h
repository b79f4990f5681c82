#pragma once

// Counts the bytes allocated on the heap, for policy_cost and policy_slopes.

#include <cstdint>

namespace mustardline {

[[nodiscard]] auto allocatedHeapBytes() -> std::int64_t;

} // namespace mustardline
