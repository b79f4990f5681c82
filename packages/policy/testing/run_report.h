#pragma once

// The results of a run of the policy driver.

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
    // Answered with the first token within its target and the complete response within its
    // deadline.
    std::uint64_t attained = 0;
    std::uint64_t refused = 0;
    // Longest time from arrival to the first placement, or to the end of a request never placed.
    duration longestWait{};
    // Longest time between two placements of the class while the later request waited.
    duration longestGap{};
    // Smallest ratio of an account's served work to its max-min fair share of the work served for
    // the class.
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
    // Units of work per second in responses that attained their targets.
    double goodput = 0;
    // Fraction of all work that did not lead to a complete response within its deadline.
    double wasted = 0;
    // Mean fraction of the engines' places in use during the workload.
    double usedPlaces = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t inversions = 0;
    // Largest number of responses that a cold engine was given at once, relative to what it can run
    // while cold; 1 is at the limit.
    double coldLoad = 0;

    [[nodiscard]] auto find(std::string_view name) const -> const class_report *;
    [[nodiscard]] auto worstShare() const -> double;
    [[nodiscard]] auto text() const -> std::string;
};

// Returns the max-min fair shares of `total` among accounts with the given demands.
[[nodiscard]] auto fairShares(const std::vector<double> &demands, double total)
    -> std::vector<double>;

} // namespace mustardline
