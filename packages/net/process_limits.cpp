#include "net/process_limits.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include "net/decimal.h"

namespace mustardline {

namespace {

namespace fs = std::filesystem;

constexpr auto noLimit = UINT64_MAX;

// Reads a limit file of a control group; it holds a number, or "max" for none.
auto readLimitFile(const fs::path &file) -> std::uint64_t
{
    std::ifstream stream(file);
    std::string text;
    stream >> text;
    return parseDecimal<std::uint64_t>(text).value_or(noLimit);
}

// The smallest limit from the group `group` of the hierarchy at `root` up to its top. Within a
// container the group's path may not exist below the root, whose own file then tells.
auto smallestLimit(const fs::path &root, const fs::path &group, std::string_view fileName)
    -> std::uint64_t
{
    auto smallest = readLimitFile(root / fileName);
    auto folder = root;
    for (const auto &part : group.relative_path()) {
        folder /= part;
        smallest = std::min(smallest, readLimitFile(folder / fileName));
    }
    return smallest;
}

// The limit that a line of the membership file, `number:controllers:path`, leads to. Version 2 of
// the interface has a line without controllers.
auto limitOfMembership(const fs::path &root, std::string_view line) -> std::uint64_t
{
    const auto first = line.find(':');
    const auto second = line.find(':', first + 1);
    if (second == std::string_view::npos)
        return noLimit;
    const auto controllers = line.substr(first + 1, second - first - 1);
    const fs::path group(line.substr(second + 1));
    if (controllers.empty())
        return smallestLimit(root, group, "memory.max");
    if (controllers == "memory")
        return smallestLimit(root / "memory", group, "memory.limit_in_bytes");
    return noLimit;
}

auto resourceLimit(__rlimit_resource_t resource) -> std::uint64_t
{
    rlimit limit{};
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return noLimit;
    return limit.rlim_cur;
}

} // namespace

auto sourceName(limit_source source) -> std::string_view
{
    switch (source) {
    case limit_source::settings:
        return "settings";
    case limit_source::control_group:
        return "control_group";
    case limit_source::resource_limit:
        return "resource_limit";
    case limit_source::vm:
        return "vm";
    }
    return "vm";
}

auto vmMemoryBytes() -> std::uint64_t
{
    struct sysinfo state
    {};
    // The kernel fills the structure whenever its address is valid.
    sysinfo(&state);
    return static_cast<std::uint64_t>(state.totalram) * state.mem_unit;
}

auto controlGroupMemoryBytes(const control_group_paths &paths) -> std::uint64_t
{
    std::ifstream membership(paths.membership);
    std::string line;
    auto smallest = noLimit;
    while (std::getline(membership, line))
        smallest = std::min(smallest, limitOfMembership(paths.root, line));
    return smallest;
}

auto memoryLimit(std::uint64_t stated) -> process_limit
{
    process_limit smallest{.value = vmMemoryBytes(), .source = limit_source::vm};
    const auto lower = [&smallest](std::uint64_t value, limit_source source) {
        if (value < smallest.value)
            smallest = {.value = value, .source = source};
    };
    lower(std::min(resourceLimit(RLIMIT_AS), resourceLimit(RLIMIT_DATA)),
          limit_source::resource_limit);
    lower(controlGroupMemoryBytes(), limit_source::control_group);
    lower(stated > 0 ? stated : noLimit, limit_source::settings);
    return smallest;
}

auto applyDescriptorLimit(std::uint64_t stated) -> process_limit
{
    rlimit limit{};
    // Fills the structure: its address and the resource are valid.
    getrlimit(RLIMIT_NOFILE, &limit);
    if (stated == 0 || stated == limit.rlim_cur)
        return {.value = limit.rlim_cur, .source = limit_source::resource_limit};
    auto wanted = limit;
    wanted.rlim_cur = std::min<rlim_t>(stated, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &wanted) == 0)
        limit = wanted;
    if (stated <= limit.rlim_cur)
        return {.value = stated, .source = limit_source::settings};
    return {.value = limit.rlim_cur, .source = limit_source::resource_limit};
}

auto returnLargeBlocks() -> void
{
    // A value that is set stays; the allocator's own grows with the blocks that are freed. Bodies
    // grow from the size of a read on, so what they leave at each step has to count as large.
    constexpr int largeBlock = 16 << 10;
    mallopt(M_MMAP_THRESHOLD, largeBlock);
    // A large block is taken from the heap after all where the spare memory at its end suffices.
    mallopt(M_TOP_PAD, largeBlock / 2);
}

} // namespace mustardline
