#pragma once

// What this process uses of its VM at the moment.
//
//     gauge.set(static_cast<std::int64_t>(residentBytes()));

#include <cstddef>
#include <cstdint>

namespace mustardline {

// Memory of this process that is in use, in bytes; 0 if the kernel does not tell.
[[nodiscard]] auto residentBytes() -> std::uint64_t;

// Open descriptors of this process; 0 if the kernel does not tell. Takes time in proportion.
[[nodiscard]] auto openDescriptors() -> std::size_t;

} // namespace mustardline
