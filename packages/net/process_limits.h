#pragma once

// What this process may use of its VM.
//
//     const auto memory = memoryLimit(settings.memoryBytes);
//     const auto descriptors = applyDescriptorLimit(settings.maxDescriptors);
//     const auto connections = callerConnections(descriptors.value, 4096);
//
// A limit is the smallest of what the settings state, of what the control group and the process's
// own resource limits allow, and of what the VM has. The VM alone is no limit to rely on: a process
// may share it with others, and is killed or refused where its own part ends.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardline {

// Where a limit comes from.
enum class limit_source : std::uint8_t { settings, control_group, resource_limit, vm };

[[nodiscard]] auto sourceName(limit_source source) -> std::string_view;

struct process_limit
{
    std::uint64_t value;
    limit_source source;

    auto operator==(const process_limit &) const -> bool = default;
};

// Where the kernel tells of control groups.
struct control_group_paths
{
    // The groups of this process.
    std::string membership = "/proc/self/cgroup";
    std::string root = "/sys/fs/cgroup";
};

// Memory of this VM in bytes.
[[nodiscard]] auto vmMemoryBytes() -> std::uint64_t;

// Memory in bytes that the control groups of this process allow, those above its own included, of
// either version of the interface; UINT64_MAX if there is no limit or it cannot be read.
[[nodiscard]] auto controlGroupMemoryBytes(const control_group_paths &paths = {}) -> std::uint64_t;

// Memory in bytes that this process may use. `stated` is the limit of the settings, 0 for none.
[[nodiscard]] auto memoryLimit(std::uint64_t stated) -> process_limit;

// Descriptors that this process may open. `stated` is the limit of the settings, 0 for none; the
// kernel enforces it from now on, as far as it allows that.
[[nodiscard]] auto applyDescriptorLimit(std::uint64_t stated) -> process_limit;

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
