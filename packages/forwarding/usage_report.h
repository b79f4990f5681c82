#pragma once

// What is reported of one usage window.

#include <cstdint>
#include <map>
#include <string>

namespace mustardline {

struct usage_report
{
    // Windows are numbered from 1970 on.
    std::int64_t window = 0;
    // Requests that began to run in it, by client account.
    std::map<std::string, std::uint64_t> counts;
    // Who reports, and the number of its tenure.
    std::string holder;
    std::uint64_t fencing = 0;
};

} // namespace mustardline
