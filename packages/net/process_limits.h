#pragma once

// What this process may use of its VM, as the kernel says.
//
//     const auto connections = callerConnections(descriptorLimit(), 4096);

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace mustardline {

// Memory of this VM in bytes.
[[nodiscard]] auto vmMemoryBytes() -> std::uint64_t;

// Descriptors that this process may open.
[[nodiscard]] auto descriptorLimit() -> std::size_t;

// Makes the allocator return large blocks to the kernel as soon as they are freed. Otherwise bodies
// that come and go leave gaps, and the process keeps memory that no one holds.
auto returnLargeBlocks() -> void;

// Descriptors for files, the log and sockets of the process's own.
inline constexpr std::size_t reservedDescriptors = 200;

// Part of the memory for bytes that are held for callers: the rest is for the program, responses
// that are not yet whole, and the kernel's buffers.
constexpr auto callerBytes(std::uint64_t memoryBytes) -> std::size_t
{
    return static_cast<std::size_t>(memoryBytes * 3 / 8);
}

// Connections of callers at most: a request takes one of the caller's and one to an endpoint.
constexpr auto callerConnections(std::size_t descriptors, std::size_t most) -> std::size_t
{
    const auto available
        = descriptors > reservedDescriptors ? descriptors - reservedDescriptors : std::size_t(2);
    return std::min(most, available / 2);
}

} // namespace mustardline
