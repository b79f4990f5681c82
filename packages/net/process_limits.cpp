#include "net/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace mustardline {

auto vmMemoryBytes() -> std::uint64_t
{
    struct sysinfo state
    {};
    // The kernel fills the structure whenever its address is valid.
    sysinfo(&state);
    return static_cast<std::uint64_t>(state.totalram) * state.mem_unit;
}

auto descriptorLimit() -> std::size_t
{
    rlimit limit{};
    // As above.
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

auto returnLargeBlocks() -> void
{
    // A value that is set stays; the allocator's own grows with the blocks that are freed.
    constexpr int largeBlock = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, largeBlock);
}

} // namespace mustardline
