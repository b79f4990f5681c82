#pragma once

// What this process may use of its VM.
//
//     const auto memory = memoryLimit(settings.memoryBytes);
//     const auto descriptors = applyDescriptorLimit(settings.maxDescriptors);
//
// A limit is the smallest of what the settings state, of what the control group and the process's
// own resource limits allow, and of what the VM has. The VM alone is no limit to rely on: a process
// may share it with others, and is killed or refused where its own part ends.

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

} // namespace mustardline
