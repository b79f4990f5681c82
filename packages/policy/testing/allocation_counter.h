#pragma once

// Counts the bytes that the program holds on the heap, for the cost and slope programs.

#include <cstdint>

namespace mustardline {

[[nodiscard]] auto heldHeapBytes() -> std::int64_t;

} // namespace mustardline
