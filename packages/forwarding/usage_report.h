#pragma once

// The report of one usage window.

#include <cstdint>
#include <map>
#include <string>

namespace mustardline {

struct usage_report
{
    // Windows are numbered from 1970.
    std::int64_t window = 0;
    // Requests whose execution started in the window, by client account.
    std::map<std::string, std::uint64_t> counts;
    // The reporting process and its fencing token.
    std::string holder;
    std::uint64_t fencing = 0;
};

} // namespace mustardline
