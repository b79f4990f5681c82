#pragma once

// What a run of the policy driver measured.

#include <cstdint>
#include <string>
#include <vector>

#include "policy/testing/workload.h"

namespace mustardline {

struct class_report
{
    std::string name;
    std::uint32_t tier = 6;
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    // Answered with the first token and the whole within their targets.
    std::uint64_t attained = 0;
    std::uint64_t refused = 0;
    // Longest time from arrival to placement or final answer.
    duration longestWait{};
    // Longest time in which a request of the class waited and none of the class was placed.
    duration longestGap{};
    // Worst account's served work over its max-min fair share of what the class was served.
    double worstShare = 1;

    [[nodiscard]] auto attainment() const -> double
    {
        return offered == 0 ? 1 : static_cast<double>(attained) / static_cast<double>(offered);
    }
};

struct run_report
{
    std::string workload;
    std::string router;
    std::vector<class_report> classes;
    // Units of work per second in answers that attained their targets.
    double goodput = 0;
    // Part of all work that went into no whole answer within its deadline.
    double wasted = 0;
    // Part of the engines' places in use, over the length of the workload.
    double usedPlaces = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t inversions = 0;
    // Most that a cold engine was made to run at once, over what it can bear; 1 is at the limit.
    double coldLoad = 0;

    [[nodiscard]] auto find(std::string_view name) const -> const class_report *;
    [[nodiscard]] auto worstShare() const -> double;
    [[nodiscard]] auto text() const -> std::string;
};

// The max-min fair shares of `total` among accounts that ask for `demands`.
[[nodiscard]] auto fairShares(const std::vector<double> &demands, double total)
    -> std::vector<double>;

} // namespace mustardline
