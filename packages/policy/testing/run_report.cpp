#include "policy/testing/run_report.h"

#include <algorithm>

#include <fmt/format.h>

#include "policy/durations.h"

namespace mustardline {

auto run_report::find(std::string_view name) const -> const class_report *
{
    const auto row = std::ranges::find(classes, name, &class_report::name);
    return row == classes.end() ? nullptr : &*row;
}

auto run_report::worstShare() const -> double
{
    double worst = 1;
    for (const auto &row : classes)
        worst = std::min(worst, row.worstShare);
    return worst;
}

auto run_report::text() const -> std::string
{
    auto lines = fmt::format(
        "{} {} goodput={:.0f} used_places={:.3f} wasted={:.4f} worst_share={:.3f} preemptions={} "
        "inversions={} cold_load={:.2f}\n",
        workload, router, goodput, usedPlaces, wasted, worstShare(), preemptions, inversions,
        coldLoad);
    for (const auto &row : classes)
        lines += fmt::format(
            "    tier={} class={} offered={} attainment={:.4f} answered={} "
            "refused={} longest_wait={:.2f}s longest_gap={:.2f}s worst_share={:.3f}\n",
            row.tier, row.name, row.offered, row.attainment(), row.answered, row.refused,
            toSeconds(row.longestWait), toSeconds(row.longestGap), row.worstShare);
    return lines;
}

auto fairShares(const std::vector<double> &demands, double total) -> std::vector<double>
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<std::size_t> order(demands.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::ranges::sort(order, {}, [&](std::size_t index) { return demands[index]; });
    auto left = static_cast<double>(order.size());
    for (const auto index : order) {
        shares[index] = std::min(demands[index], total / left);
        total -= shares[index];
        left -= 1;
    }
    return shares;
}

} // namespace mustardline
