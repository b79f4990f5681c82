// Holds what the decisions must reach on every seeded workload, one case for each target.

#include <vector>

#include <gtest/gtest.h>

#include "policy/durations.h"
#include "policy/testing/routers.h"
#include "policy/testing/scaling_run.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seeds = 5;

auto runProduct(const workload &load, std::uint64_t seed) -> run_report
{
    simulation world(load, seed);
    product_router router(world, seed);
    return runWorkload(world, router);
}

auto runCentral(const workload &load, std::uint64_t seed) -> run_report
{
    simulation world(load, seed);
    central_router router(world);
    return runWorkload(world, router);
}

auto allWorkloads() -> std::vector<workload>
{
    auto all = withFaults(kartkalkanNight());
    for (auto &load : withFaults(feiraSulReviews()))
        all.push_back(load);
    return all;
}

class PolicyTargetTest : public testing::TestWithParam<workload>
{
protected:
    template<class Check>
    auto forEachSeed(const Check &check) -> void
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto report = runProduct(GetParam(), seed);
            SCOPED_TRACE(testing::Message() << "seed=" << seed << " " << report.text());
            check(report, seed);
        }
    }
};

TEST_P(PolicyTargetTest, topTierAttains)
{
    forEachSeed([](const run_report &report, std::uint64_t seed) {
        const auto attained = report.classes.front().attainment();
        EXPECT_GE(attained, 0.99);
        const auto unloadedReport = runProduct(unloaded(GetParam()), seed);
        EXPECT_GE(attained, unloadedReport.classes.front().attainment() - 0.01);
    });
}

TEST_P(PolicyTargetTest, goodputIsNearTheCentralQueue)
{
    forEachSeed([](const run_report &report, std::uint64_t seed) {
        EXPECT_GE(report.goodput, 0.95 * runCentral(GetParam(), seed).goodput);
    });
}

TEST_P(PolicyTargetTest, worstAccountHasItsFairShare)
{
    forEachSeed(
        [](const run_report &report, std::uint64_t) { EXPECT_GE(report.worstShare(), 0.9); });
}

TEST_P(PolicyTargetTest, littleWorkIsWasted)
{
    forEachSeed([](const run_report &report, std::uint64_t) { EXPECT_LT(report.wasted, 0.02); });
}

TEST_P(PolicyTargetTest, nothingIsInverted)
{
    forEachSeed([](const run_report &report, std::uint64_t) { EXPECT_EQ(report.inversions, 0U); });
}

// A request waits at most until its deadline, one of the lowest tier little longer than until its
// first-token target; and a class that waits is never passed over for longer than 5 s.
TEST_P(PolicyTargetTest, everyClassIsServedWithinItsBound)
{
    constexpr double retryMargin = 1.15;
    forEachSeed([](const run_report &report, std::uint64_t) {
        for (std::size_t number = 0; number < report.classes.size(); ++number) {
            const auto &row = report.classes[number];
            const auto &kind = GetParam().classes[number];
            const auto bound
                = kind.tier == 6 ? scaled(kind.firstTokenTarget, retryMargin) : kind.deadline;
            EXPECT_LE(toSeconds(row.longestWait), toSeconds(bound)) << row.name;
            EXPECT_LE(toSeconds(row.longestGap), 5) << row.name;
            EXPECT_GT(row.answered, 0U) << row.name;
        }
    });
}

TEST_P(PolicyTargetTest, coldEndpointIsNotOverrun)
{
    forEachSeed([](const run_report &report, std::uint64_t) { EXPECT_LE(report.coldLoad, 1.0); });
}

INSTANTIATE_TEST_SUITE_P(Workloads, PolicyTargetTest, testing::ValuesIn(allWorkloads()),
                         [](const testing::TestParamInfo<workload> &info) {
                             auto name = info.param.name;
                             for (auto &letter : name)
                                 letter = letter == ':' ? '_' : letter;
                             return name;
                         });

// The window starts with what the operators say and is not let past it while the engine is cold.
TEST(ColdConcurrencyTargetTest, aFreshEndpointStartsWithWhatItBearsCold)
{
    for (auto load : allWorkloads()) {
        if (!load.name.ends_with("fresh_endpoints"))
            continue;
        load.coldConcurrency = fake_engine_options{}.bearable;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            EXPECT_EQ(runProduct(load, seed).coldLoad, 1.0) << load.name << " seed=" << seed;
    }
}

// A burst on a fleet of which nothing is known yet.
TEST(ColdConcurrencyTargetTest, aFreshFleetServesWhatItBearsCold)
{
    struct totals
    {
        std::uint64_t refused = 0;
        std::uint64_t attained = 0;
    };
    const auto run = [](std::uint32_t coldConcurrency, duration coldFor) {
        auto load = kartkalkanNight();
        load.engines.resize(2);
        for (auto &engine : load.engines) {
            engine.startsAt = 1s;
            engine.coldFor = coldFor;
        }
        load.classes = {{.name = "quick",
                         .tier = 3,
                         .firstTokenTarget = 710ms,
                         .deadline = 10s,
                         .meanTokens = 40,
                         .offered = 32,
                         .from = 6s,
                         .until = 6s + 20ms}};
        load.coldConcurrency = coldConcurrency;
        totals sum;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const auto report = runProduct(load, seed);
            sum.refused += report.classes.front().refused;
            sum.attained += report.classes.front().attained;
        }
        return sum;
    };
    const auto unknown = run(0, 30s);
    const auto known = run(fake_engine_options{}.bearable, 30s);
    EXPECT_LT(known.refused, unknown.refused);
    EXPECT_GE(known.attained, 2 * unknown.attained);
    // An engine that needs no warming up may be given all that it ever runs.
    EXPECT_EQ(run(fake_engine_options{}.concurrency, 1ms).refused, 0U);
}

TEST(ScalingTargetTest, paidSecondsAreNearTheLeast)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto report = runScaling({}, seed);
        EXPECT_LE(report.paidSeconds, 1.15 * report.leastSeconds) << "seed=" << seed;
        EXPECT_LE(report.unserved, 0.001) << "seed=" << seed;
        EXPECT_LE(report.mostStartingAtOnce, 2U) << "seed=" << seed;
        EXPECT_EQ(report.stopsUnderLoad, 0U) << "seed=" << seed;
    }
}

TEST(ScalingTargetTest, dataCentreLeavesAndReturns)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto report = runScaling({.outFrom = 80min, .outUntil = 130min}, seed);
        EXPECT_EQ(report.secondsWorkedOut, 0U) << "seed=" << seed;
        EXPECT_EQ(report.stopsUnderLoad, 0U) << "seed=" << seed;
        EXPECT_LE(report.mostStartingAtOnce, 2U) << "seed=" << seed;
        // Places lost at short notice are missed until others have started.
        EXPECT_LE(report.unserved, 0.02) << "seed=" << seed;
    }
}

} // namespace

} // namespace mustardline
