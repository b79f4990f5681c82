// Prints the results of the product and of the baseline routers on the seeded workloads.
//
//     policy_bench [SEEDS [WORKLOAD [no-resume]]]
//
// With no-resume, an answer that was stopped starts again from its first token.

#include <cstdlib>
#include <string_view>

#include <fmt/format.h>

#include "policy/testing/routers.h"
#include "policy/testing/scaling_run.h"

namespace mustardline {

namespace {

template<class Router, class... Arguments>
auto printRun(const workload &load, std::uint64_t seed, Arguments... arguments) -> void
{
    simulation world(load, seed);
    Router router(world, arguments...);
    fmt::print("seed={} {}", seed, runWorkload(world, router).text());
}

auto printAll(const workload &load, std::uint64_t seed) -> void
{
    printRun<product_router>(load, seed, seed);
    printRun<baseline_router>(load, seed, baseline::random_fifo, seed);
    printRun<baseline_router>(load, seed, baseline::round_robin_priority, seed);
    printRun<baseline_router>(load, seed, baseline::least_in_flight, seed);
    printRun<central_router>(load, seed);
}

} // namespace

} // namespace mustardline

auto main(int argc, char **argv) -> int
{
    using namespace mustardline;
    const auto seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::string_view selected = argc > 2 ? argv[2] : "";
    const bool isWithoutResume = argc > 3 && std::string_view(argv[3]) == "no-resume";
    for (const auto &base : {kartkalkanNight(), feiraSulReviews()}) {
        for (auto &load : withFaults(base)) {
            load.resumes = !isWithoutResume;
            if (!selected.empty() && load.name != selected)
                continue;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                printRun<product_router>(unloaded(load), seed, seed);
                printAll(load, seed);
            }
        }
    }
    for (std::uint64_t seed = 1; seed <= seeds && selected.empty(); ++seed) {
        const auto report = runScaling({}, seed);
        fmt::print("scaling seed={} paid={:.0f} least={:.0f} ratio={:.3f} unserved={:.5f} "
                   "starting={}\n",
                   seed, report.paidSeconds, report.minSeconds,
                   report.paidSeconds / report.minSeconds, report.unserved,
                   report.maxConcurrentlyStarting);
    }
    return 0;
}
