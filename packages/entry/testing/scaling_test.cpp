// Scaling on a simulated clock: decisions, marks in the configuration, orders and their effects.

#include <gtest/gtest.h>

#include "entry/demand_meter.h"
#include "entry/testing/fleet_simulation.h"

namespace mustardline {
namespace {

using namespace std::chrono_literals;
using names = std::set<std::string>;

// The model may use one to six endpoints of 10 places; the scaler aims to fill 9 places of each.
class ScalingTest : public testing::Test
{
protected:
    ScalingTest() { m_fleet.change(scalingOf("large", {.least = 1, .most = 6})); }
    ~ScalingTest() override
    {
        EXPECT_EQ(m_fleet.platform.duplicateEffects, 0);
        EXPECT_EQ(m_fleet.stoppedWhileBusy, std::vector<std::string>());
    }

    auto setLoads(std::uint32_t load) -> void
    {
        for (const auto *id : {"t1", "t2", "t3", "g1", "g2", "g3"})
            m_fleet.loads[id] = load;
    }

    // Sets the demand for `count` endpoints and waits until they run.
    auto settleAt(std::size_t count) -> void
    {
        m_fleet.demand = 9.0 * static_cast<double>(count) - 1;
        m_fleet.run(10min);
        ASSERT_EQ(m_fleet.running().size(), count);
    }

    fleet_simulation m_fleet;
};

TEST_F(ScalingTest, idleModelRunsTheMinimumWithOneOrder)
{
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.running().size(), 1);
    EXPECT_EQ(m_fleet.platform.effects, 1);
    EXPECT_EQ(m_fleet.decisions.size(), 1);
}

TEST_F(ScalingTest, risingDemandStartsAnEndpointAhead)
{
    m_fleet.demand = 2;
    m_fleet.run(2min);
    ASSERT_EQ(m_fleet.running().size(), 1);
    m_fleet.slope = 0.05;
    while (m_fleet.running().size() == 1 && m_fleet.demand < 20)
        m_fleet.run(1s);
    // A start takes 60 s, in which demand grows by 3, and the report is up to 15 s old.
    EXPECT_LT(m_fleet.demand, 9.0 - 60 * 0.05);
    EXPECT_EQ(m_fleet.decisions.back().action, "start");
    EXPECT_EQ(m_fleet.decisions.back().reason, "demand");
}

TEST_F(ScalingTest, refusedRequestsStartTheFirstEndpoint)
{
    m_fleet.change(scalingOf("large", {.least = 0, .most = 6}));
    m_fleet.run(2min);
    EXPECT_EQ(m_fleet.running().size(), 0);
    m_fleet.refused = 3;
    m_fleet.run(1min);
    EXPECT_EQ(m_fleet.running().size(), 1);
}

TEST_F(ScalingTest, lowestTierCountsPartlyAndUnmanagedEndpointsCount)
{
    auto scaling = scalingOf("large", {.least = 1, .most = 6});
    scaling.mutable_model_scaling()->set_lowest_tier_percent(50);
    m_fleet.change(scaling);
    m_fleet.demand = 16;
    m_fleet.lowestTier = 18;
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.running().size(), 3);
    m_fleet.change(endpointOf("theirs", "tuzla"));
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.running().size(), 2);
}

TEST_F(ScalingTest, surplusIsDrainedAndStoppedOnceEmpty)
{
    settleAt(4);
    setLoads(2);
    m_fleet.demand = 8;
    m_fleet.run(5min);
    EXPECT_EQ(m_fleet.wantedCount(), 1);
    EXPECT_EQ(m_fleet.running().size(), 4);
    EXPECT_EQ(m_fleet.decisions.back().action, "drain");
    EXPECT_EQ(m_fleet.decisions.back().reason, "surplus");
    setLoads(0);
    m_fleet.run(4s);
    EXPECT_EQ(m_fleet.running().size(), 4);
    m_fleet.run(1min);
    EXPECT_EQ(m_fleet.running().size(), 1);
}

TEST_F(ScalingTest, busyDrainingEndpointIsResumedBeforeAnotherStarts)
{
    settleAt(6);
    m_fleet.loads["g2"] = 3;
    m_fleet.demand = 3;
    m_fleet.run(10min);
    ASSERT_EQ(m_fleet.running(), names({"g2", "t3"}));
    ASSERT_EQ(m_fleet.wantedCount(), 1);
    const auto decided = m_fleet.decisions.size();
    const auto effects = m_fleet.platform.effects;
    m_fleet.demand = 17;
    const auto limit = m_fleet.now + 1min;
    while (m_fleet.decisions.size() == decided && m_fleet.now < limit)
        m_fleet.run(fleet_simulation::step);
    ASSERT_GT(m_fleet.decisions.size(), decided);
    EXPECT_EQ(m_fleet.decisions[decided].action, "resume");
    EXPECT_EQ(m_fleet.decisions[decided].endpoint, "g2");
    EXPECT_EQ(m_fleet.platform.effects, effects);
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.wantedCount(), 2);
}

TEST_F(ScalingTest, endpointsMoveAwayFromADataCentreThatIsOut)
{
    settleAt(3);
    m_fleet.change(dataCentreOf("tuzla", true));
    m_fleet.run(5min);
    EXPECT_EQ(m_fleet.running(), names({"g1", "g2", "g3"}));
    m_fleet.change(dataCentreOf("tuzla"));
    m_fleet.demand = 40;
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.running().size(), 5);
}

TEST_F(ScalingTest, leaseChangesNeitherLoseNorRepeatOrders)
{
    settleAt(5);
    setLoads(1);
    m_fleet.demand = 8;
    for (int turn = 0; turn < 40; ++turn) {
        m_fleet.setOwner("tuzla", static_cast<std::size_t>(turn % 2));
        m_fleet.run(7s);
    }
    EXPECT_EQ(m_fleet.wantedCount(), 1);
    EXPECT_EQ(m_fleet.running().size(), 5);
    setLoads(0);
    m_fleet.run(1min);
    EXPECT_EQ(m_fleet.running().size(), 1);
    // Five starts and four stops.
    EXPECT_EQ(m_fleet.platform.effects, 9);
}

TEST_F(ScalingTest, decisionsLostBeforeTheLogAreRepeated)
{
    m_fleet.lostChanges = 2;
    m_fleet.run(2min);
    EXPECT_EQ(m_fleet.running().size(), 1);
    EXPECT_EQ(m_fleet.decisions.size(), 3);
}

TEST_F(ScalingTest, holdersOfTwoDataCentresAgree)
{
    m_fleet.setOwner("gebze", 1);
    settleAt(5);
    m_fleet.demand = 16;
    m_fleet.run(5min);
    EXPECT_EQ(m_fleet.running().size(), 2);
    // Five starts and three stops: neither holder undid or repeated a decision of the other.
    EXPECT_EQ(m_fleet.platform.effects, 8);
    EXPECT_EQ(m_fleet.decisions.size(), 8);
}

TEST_F(ScalingTest, unreadableReportsDrainNothing)
{
    settleAt(4);
    setLoads(1);
    m_fleet.isReporting = false;
    m_fleet.isAtHead = false;
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.wantedCount(), 4);
    m_fleet.isAtHead = true;
    m_fleet.isReporting = true;
    m_fleet.run(5min);
    EXPECT_EQ(m_fleet.wantedCount(), 4);
}

// A region is partitioned from the log and the holder: its demand is not reported, its agents do
// not answer the holder, and its entry processes still send them work.
TEST_F(ScalingTest, scaledDownEndpointWithSilentAgentIsNotStopped)
{
    settleAt(4);
    setLoads(1);
    m_fleet.agentsAreReachable = false;
    m_fleet.demand = 0;
    m_fleet.run(30min);
    EXPECT_EQ(m_fleet.wantedCount(), 1);
    EXPECT_EQ(m_fleet.running().size(), 4);
    // An endpoint that exits by itself meanwhile is not started again.
    m_fleet.platform.endpoints.erase(m_fleet.decisions.back().endpoint);
    m_fleet.run(2min);
    EXPECT_EQ(m_fleet.running().size(), 3);
    m_fleet.agentsAreReachable = true;
    m_fleet.run(2min);
    EXPECT_EQ(m_fleet.running().size(), 3);
    setLoads(0);
    m_fleet.run(10s);
    EXPECT_EQ(m_fleet.running().size(), 1);
}

TEST_F(ScalingTest, endpointLeavingByOperatorsIsNeitherCountedNorResumed)
{
    settleAt(2);
    const auto left = *m_fleet.running().begin();
    auto theirs = m_fleet.config.find(v1::ENTITY_KIND_ENDPOINT, left)->entity();
    theirs.mutable_endpoint()->set_leaving(true);
    m_fleet.change(theirs);
    m_fleet.run(5min);
    EXPECT_EQ(m_fleet.running().size(), 2);
    m_fleet.demand = 100;
    m_fleet.run(10min);
    EXPECT_EQ(m_fleet.running().size(), 5);
    EXPECT_FALSE(m_fleet.running().contains(left));
}

TEST_F(ScalingTest, removedScalingRestoresOnlyScaledDownEndpoints)
{
    m_fleet.run(2min);
    auto theirs = *m_fleet.config.find(v1::ENTITY_KIND_ENDPOINT, "g3");
    theirs.mutable_entity()->mutable_endpoint()->set_scaled_down(false);
    m_fleet.change(theirs.entity());
    m_fleet.change(scalingOf("large"), true);
    m_fleet.run(2min);
    EXPECT_EQ(m_fleet.running(), names({"t1", "t2", "t3", "g1", "g2"}));
}

TEST(DrainWatchTest, emptyNeedsTwoSpacedPollsAndStartsOverOnTakeover)
{
    drain_watch drains({});
    const time_point start{};
    const auto owned = [](const std::string &) { return true; };
    const auto notOwned = [](const std::string &) { return false; };
    drains.watch("e", silence_meaning::gone, start);
    EXPECT_EQ(drains.duePolls(start, owned).size(), 1);
    EXPECT_TRUE(drains.duePolls(start + 500ms, owned).empty());
    drains.recordLoad("e", 0, start);
    // A single poll, however long ago, does not show the endpoint to be empty.
    EXPECT_TRUE(drains.takeDrained(start + 30s).empty());
    drains.recordLoad("e", 1, start + 30s);
    drains.recordLoad("e", 0, start + 31s);
    drains.recordLoad("e", 0, start + 35s);
    EXPECT_TRUE(drains.takeDrained(start + 35s).empty());
    EXPECT_TRUE(drains.duePolls(start + 36s, notOwned).empty());
    drains.recordLoad("e", 0, start + 37s);
    EXPECT_TRUE(drains.takeDrained(start + 37s).empty());
    drains.recordLoad("e", 0, start + 42s);
    EXPECT_EQ(drains.takeDrained(start + 42s).size(), 1);
}

TEST(DrainWatchTest, silentAgentIsGoneOnlyIfOperatorsMadeItLeave)
{
    drain_watch drains({});
    const time_point start{};
    drains.watch("leaving", silence_meaning::gone, start);
    drains.watch("scaled-down", silence_meaning::unknown, start);
    const auto isScaledDown = [](const std::string &id) { return id == "scaled-down"; };
    std::size_t polls = 0;
    for (auto now = start; now < start + 10min; now = now + 1s) {
        polls += drains.duePolls(now, isScaledDown).size();
        EXPECT_EQ(drains.takeDrained(now), std::vector<std::string>());
    }
    // At 0, 1, 3, 7, 15, 31 and 63 s, then each minute.
    EXPECT_EQ(polls, 15);
    // The silence timeout applies only to endpoints that this entry process owns.
    const auto all = [](const std::string &) { return true; };
    for (auto now = start + 10min; now < start + 12min; now = now + 1s)
        (void)drains.duePolls(now, all);
    EXPECT_EQ(drains.takeDrained(start + 12min), std::vector<std::string>{"leaving"});
}

TEST(DemandMeterTest, reportsMeansOfScaledModelsThenOneEmptyReport)
{
    configuration config;
    config.apply(1, changeOf({{.entity = scalingOf("large")}}));
    demand_meter meter(config, {.interval = 15s});
    const time_point start{};
    EXPECT_FALSE(meter.report(start));
    for (int look = 0; look < 4; ++look) {
        meter.beginSample();
        meter.sampleRequest("large", 1, look == 0);
        meter.sampleRequest("large", 6, false);
        meter.sampleRequest("small", 1, false);
    }
    meter.recordEnd("large", 2, result_code::queue_full);
    meter.recordEnd("large", 2, result_code::ok);
    meter.recordEnd("large", 2, result_code::cancelled);
    const auto record = meter.report(start + 15s);
    ASSERT_TRUE(record);
    const auto &report = record->demand_report();
    EXPECT_EQ(report.interval_ms(), 15'000);
    ASSERT_EQ(report.models_size(), 1);
    EXPECT_EQ(report.models(0).paid().in_flight(), 0.75);
    EXPECT_EQ(report.models(0).paid().waiting(), 0.25);
    EXPECT_EQ(report.models(0).paid().refused(), 1);
    EXPECT_EQ(report.models(0).paid().finished(), 1);
    EXPECT_EQ(report.models(0).lowest_tier().in_flight(), 1);
    const auto last = meter.report(start + 30s);
    ASSERT_TRUE(last);
    EXPECT_EQ(last->demand_report().models_size(), 0);
    EXPECT_FALSE(meter.report(start + 45s));
}

} // namespace
} // namespace mustardline
