// The performance targets of the policy code on all seeded workloads, one test for each target.

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
    simulation sim(load, seed);
    product_router router(sim, seed);
    return runWorkload(sim, router);
}

auto runCentral(const workload &load, std::uint64_t seed) -> run_report
{
    simulation sim(load, seed);
    central_router router(sim);
    return runWorkload(sim, router);
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

TEST_P(PolicyTargetTest, topTierAttainsItsTargets)
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

TEST_P(PolicyTargetTest, noPriorityInversionOccurs)
{
    forEachSeed([](const run_report &report, std::uint64_t) { EXPECT_EQ(report.inversions, 0U); });
}

// No request waits longer than its deadline, or, in the lowest tier, slightly longer than its
// first-token target. No class with waiting requests goes without a placement for longer than 5 s.
TEST_P(PolicyTargetTest, everyClassIsPlacedWithinItsBound)
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

TEST_P(PolicyTargetTest, coldEndpointIsNotOverloaded)
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

// The window starts at the configured cold concurrency and does not grow beyond it while the engine
// is cold.
TEST(ColdConcurrencyTargetTest, aNewEndpointStartsAtItsColdConcurrency)
{
    for (auto load : allWorkloads()) {
        if (!load.name.ends_with("fresh_endpoints"))
            continue;
        load.coldConcurrency = fake_engine_options{}.coldLimit;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            EXPECT_EQ(runProduct(load, seed).coldLoad, 1.0) << load.name << " seed=" << seed;
    }
}

// A burst arrives at a newly started fleet. Without a configured cold concurrency the initial
// windows are so small that more of it is refused.
TEST(ColdConcurrencyTargetTest, aNewFleetServesABurstUpToItsColdConcurrency)
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
    const auto known = run(fake_engine_options{}.coldLimit, 30s);
    EXPECT_LT(known.refused, unknown.refused);
    EXPECT_GE(known.attained, 2 * unknown.attained);
    // An engine that does not start cold may be given its full concurrency at once.
    EXPECT_EQ(run(fake_engine_options{}.concurrency, 1ms).refused, 0U);
}

TEST(ScalingTargetTest, paidTimeIsNearTheMinimum)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto report = runScaling({}, seed);
        EXPECT_LE(report.paidSeconds, 1.15 * report.minSeconds) << "seed=" << seed;
        EXPECT_LE(report.unserved, 0.001) << "seed=" << seed;
        EXPECT_LE(report.maxConcurrentlyStarting, 2U) << "seed=" << seed;
        EXPECT_EQ(report.stopsUnderLoad, 0U) << "seed=" << seed;
    }
}

TEST(ScalingTargetTest, aDataCentreOutOfServiceIsReplaced)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto report = runScaling({.outFrom = 80min, .outUntil = 130min}, seed);
        EXPECT_EQ(report.secondsWorkedOut, 0U) << "seed=" << seed;
        EXPECT_EQ(report.stopsUnderLoad, 0U) << "seed=" << seed;
        EXPECT_LE(report.maxConcurrentlyStarting, 2U) << "seed=" << seed;
        // Demand is unserved until replacements for the lost endpoints have started.
        EXPECT_LE(report.unserved, 0.02) << "seed=" << seed;
    }
}

} // namespace

} // namespace mustardline
