#pragma once

// The report of one usage window.

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

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
    // Until the end of the term under which it is sent; another holder may report after that.
    duration timeLeft = duration::max();
};

} // namespace mustardline
