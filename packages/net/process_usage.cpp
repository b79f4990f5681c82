#include "net/process_usage.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace mustardline {

auto residentBytes() -> std::uint64_t
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t allPages = 0;
    std::uint64_t residentPages = 0;
    if (!(file >> allPages >> residentPages))
        return 0;
    return residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

auto openDescriptors() -> std::size_t
{
    std::error_code outcome;
    std::filesystem::directory_iterator each("/proc/self/fd", outcome);
    std::size_t count = 0;
    for (; !outcome && each != std::filesystem::directory_iterator(); each.increment(outcome))
        ++count;
    // The iterator has one open itself.
    return count > 0 ? count - 1 : 0;
}

} // namespace mustardline
