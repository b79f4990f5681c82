// Scaling on a paused clock: decisions, marks in the configuration, orders and their effects.

#include <gtest/gtest.h>

#include "entry/demand_meter.h"
#include "entry/testing/scaling_world.h"

namespace mustardline {
namespace {

using namespace std::chrono_literals;
using names = std::set<std::string>;

// The model may use one to six endpoints of 10 places; 9 of them are to be filled.
class ScalingTest : public testing::Test
{
protected:
    ScalingTest() { m_world.change(scalingOf("large", {.least = 1, .most = 6})); }
    ~ScalingTest() override
    {
        EXPECT_EQ(m_world.platform.duplicateEffects, 0);
        EXPECT_EQ(m_world.stoppedAtWork, std::vector<std::string>());
    }

    auto setLoads(std::uint32_t load) -> void
    {
        for (const auto *id : {"t1", "t2", "t3", "g1", "g2", "g3"})
            m_world.loads[id] = load;
    }

    // Brings the fleet to `count` endpoints at rest, in the places that they need.
    auto settleAt(std::size_t count) -> void
    {
        m_world.demand = 9.0 * static_cast<double>(count) - 1;
        m_world.run(10min);
        ASSERT_EQ(m_world.running().size(), count);
    }

    scaling_world m_world;
};

TEST_F(ScalingTest, runsTheLeastAndOrdersNothingElse)
{
    m_world.run(10min);
    EXPECT_EQ(m_world.running().size(), 1);
    EXPECT_EQ(m_world.platform.effects, 1);
    EXPECT_EQ(m_world.decisions.size(), 1);
}

TEST_F(ScalingTest, ordersAStartBeforeTheDemandThatNeedsIt)
{
    m_world.demand = 2;
    m_world.run(2min);
    ASSERT_EQ(m_world.running().size(), 1);
    m_world.slope = 0.05;
    while (m_world.running().size() == 1 && m_world.demand < 20)
        m_world.run(1s);
    // A start takes 60 s, in which demand grows by 3, and the report is up to 15 s old.
    EXPECT_LT(m_world.demand, 9.0 - 60 * 0.05);
    EXPECT_EQ(m_world.decisions.back().action, "start");
    EXPECT_EQ(m_world.decisions.back().reason, "demand");
}

TEST_F(ScalingTest, startsOneForWhatIsRefusedWhereNoneRuns)
{
    m_world.change(scalingOf("large", {.least = 0, .most = 6}));
    m_world.run(2min);
    EXPECT_EQ(m_world.running().size(), 0);
    m_world.refused = 3;
    m_world.run(1min);
    EXPECT_EQ(m_world.running().size(), 1);
}

TEST_F(ScalingTest, paysForTheLowestTierInPartAndCountsWhatOperatorsRun)
{
    auto scaling = scalingOf("large", {.least = 1, .most = 6});
    scaling.mutable_model_scaling()->set_lowest_tier_percent(50);
    m_world.change(scaling);
    m_world.demand = 16;
    m_world.lowestTier = 18;
    m_world.run(10min);
    EXPECT_EQ(m_world.running().size(), 3);
    m_world.change(endpointOf("theirs", "tuzla"));
    m_world.run(10min);
    EXPECT_EQ(m_world.running().size(), 2);
}

TEST_F(ScalingTest, drainsASurplusAndStopsWhatIsEmpty)
{
    settleAt(4);
    setLoads(2);
    m_world.demand = 8;
    m_world.run(5min);
    EXPECT_EQ(m_world.wantedCount(), 1);
    EXPECT_EQ(m_world.running().size(), 4);
    EXPECT_EQ(m_world.decisions.back().action, "drain");
    EXPECT_EQ(m_world.decisions.back().reason, "surplus");
    setLoads(0);
    m_world.run(4s);
    EXPECT_EQ(m_world.running().size(), 4);
    m_world.run(1min);
    EXPECT_EQ(m_world.running().size(), 1);
}

TEST_F(ScalingTest, resumesWhatIsStillAtWorkBeforeItStartsAnother)
{
    settleAt(6);
    m_world.loads["g2"] = 3;
    m_world.demand = 3;
    m_world.run(10min);
    ASSERT_EQ(m_world.running(), names({"g2", "t3"}));
    ASSERT_EQ(m_world.wantedCount(), 1);
    const auto decided = m_world.decisions.size();
    const auto effects = m_world.platform.effects;
    m_world.demand = 17;
    const auto limit = m_world.now + 1min;
    while (m_world.decisions.size() == decided && m_world.now < limit)
        m_world.run(scaling_world::step);
    ASSERT_GT(m_world.decisions.size(), decided);
    EXPECT_EQ(m_world.decisions[decided].action, "resume");
    EXPECT_EQ(m_world.decisions[decided].endpoint, "g2");
    EXPECT_EQ(m_world.platform.effects, effects);
    m_world.run(10min);
    EXPECT_EQ(m_world.wantedCount(), 2);
}

TEST_F(ScalingTest, movesThePartOfADataCentreThatIsOut)
{
    settleAt(3);
    m_world.change(dataCentreOf("tuzla", true));
    m_world.run(5min);
    EXPECT_EQ(m_world.running(), names({"g1", "g2", "g3"}));
    m_world.change(dataCentreOf("tuzla"));
    m_world.demand = 40;
    m_world.run(10min);
    EXPECT_EQ(m_world.running().size(), 5);
}

TEST_F(ScalingTest, leavesNothingUndoneNorTwiceWhenTheHolderIsReplaced)
{
    settleAt(5);
    setLoads(1);
    m_world.demand = 8;
    for (int turn = 0; turn < 40; ++turn) {
        m_world.setOwner("tuzla", static_cast<std::size_t>(turn % 2));
        m_world.run(7s);
    }
    EXPECT_EQ(m_world.wantedCount(), 1);
    EXPECT_EQ(m_world.running().size(), 5);
    setLoads(0);
    m_world.run(1min);
    EXPECT_EQ(m_world.running().size(), 1);
    // Five starts and four stops.
    EXPECT_EQ(m_world.platform.effects, 9);
}

TEST_F(ScalingTest, decidesAgainWhatTheLogDidNotTake)
{
    m_world.changesLost = 2;
    m_world.run(2min);
    EXPECT_EQ(m_world.running().size(), 1);
    EXPECT_EQ(m_world.decisions.size(), 3);
}

TEST_F(ScalingTest, agreesBetweenTheHoldersOfTwoDataCentres)
{
    m_world.setOwner("gebze", 1);
    settleAt(5);
    m_world.demand = 16;
    m_world.run(5min);
    EXPECT_EQ(m_world.running().size(), 2);
    // Five starts and three stops: neither undid, nor decided, what was the other's.
    EXPECT_EQ(m_world.platform.effects, 8);
    EXPECT_EQ(m_world.decisions.size(), 8);
}

TEST_F(ScalingTest, takesNothingAwayWhileReportsCannotBeRead)
{
    settleAt(4);
    setLoads(1);
    m_world.isReporting = false;
    m_world.isAtHead = false;
    m_world.run(10min);
    EXPECT_EQ(m_world.wantedCount(), 4);
    m_world.isAtHead = true;
    m_world.isReporting = true;
    m_world.run(5min);
    EXPECT_EQ(m_world.wantedCount(), 4);
}

// A region that is cut off from the log and the holder: its demand is not reported, its agents do
// not answer, and its entries go on sending them work.
TEST_F(ScalingTest, stopsNothingWhoseAgentIsSilent)
{
    settleAt(4);
    setLoads(1);
    m_world.agentsAnswer = false;
    m_world.demand = 0;
    m_world.run(30min);
    EXPECT_EQ(m_world.wantedCount(), 1);
    EXPECT_EQ(m_world.running().size(), 4);
    // What ends by itself meanwhile is not started again.
    m_world.platform.endpoints.erase(m_world.decisions.back().endpoint);
    m_world.run(2min);
    EXPECT_EQ(m_world.running().size(), 3);
    m_world.agentsAnswer = true;
    m_world.run(2min);
    EXPECT_EQ(m_world.running().size(), 3);
    setLoads(0);
    m_world.run(10s);
    EXPECT_EQ(m_world.running().size(), 1);
}

TEST_F(ScalingTest, countsNothingThatItsOperatorsLetLeaveAndNeverBringsItBack)
{
    settleAt(2);
    const auto left = *m_world.running().begin();
    auto theirs = m_world.config.find(v1::ENTITY_KIND_ENDPOINT, left)->entity();
    theirs.mutable_endpoint()->set_leaving(true);
    m_world.change(theirs);
    m_world.run(5min);
    EXPECT_EQ(m_world.running().size(), 2);
    m_world.demand = 100;
    m_world.run(10min);
    EXPECT_EQ(m_world.running().size(), 5);
    EXPECT_FALSE(m_world.running().contains(left));
}

TEST_F(ScalingTest, givesBackWhatItScaledDownAndLeavesAloneWhatOperatorsTakeAway)
{
    m_world.run(2min);
    auto theirs = *m_world.config.find(v1::ENTITY_KIND_ENDPOINT, "g3");
    theirs.mutable_entity()->mutable_endpoint()->set_scaled_down(false);
    m_world.change(theirs.entity());
    m_world.change(scalingOf("large"), true);
    m_world.run(2min);
    EXPECT_EQ(m_world.running(), names({"t1", "t2", "t3", "g1", "g2"}));
}

TEST(DrainWatchTest, wantsTwoLooksApartAndBeginsAnewWhenItTakesOver)
{
    drain_watch drains({});
    const time_point start{};
    const auto mine = [](const std::string &) { return true; };
    const auto theirs = [](const std::string &) { return false; };
    drains.watch("e", silence_meaning::gone, start);
    EXPECT_EQ(drains.dueLooks(start, mine).size(), 1);
    EXPECT_TRUE(drains.dueLooks(start + 500ms, mine).empty());
    drains.heard("e", 0, start);
    // One look alone, however long ago, settles nothing.
    EXPECT_TRUE(drains.takeEmpty(start + 30s).empty());
    drains.heard("e", 1, start + 30s);
    drains.heard("e", 0, start + 31s);
    drains.heard("e", 0, start + 35s);
    EXPECT_TRUE(drains.takeEmpty(start + 35s).empty());
    EXPECT_TRUE(drains.dueLooks(start + 36s, theirs).empty());
    drains.heard("e", 0, start + 37s);
    EXPECT_TRUE(drains.takeEmpty(start + 37s).empty());
    drains.heard("e", 0, start + 42s);
    EXPECT_EQ(drains.takeEmpty(start + 42s).size(), 1);
}

TEST(DrainWatchTest, takesASilentAgentForGoneOnlyByItsOperatorsWord)
{
    drain_watch drains({});
    const time_point start{};
    drains.watch("leaving", silence_meaning::gone, start);
    drains.watch("scaled-down", silence_meaning::unknown, start);
    const auto isScaledDown = [](const std::string &id) { return id == "scaled-down"; };
    std::size_t looks = 0;
    for (auto now = start; now < start + 10min; now = now + 1s) {
        looks += drains.dueLooks(now, isScaledDown).size();
        EXPECT_EQ(drains.takeEmpty(now), std::vector<std::string>());
    }
    // At 0, 1, 3, 7, 15, 31 and 63 s, then each minute.
    EXPECT_EQ(looks, 15);
    // What is this entry's is gone after a minute.
    const auto all = [](const std::string &) { return true; };
    for (auto now = start + 10min; now < start + 12min; now = now + 1s)
        (void)drains.dueLooks(now, all);
    EXPECT_EQ(drains.takeEmpty(start + 12min), std::vector<std::string>{"leaving"});
}

TEST(DemandMeterTest, reportsMeansOfScaledModelsAndOnceThatThereAreNoMore)
{
    configuration config;
    config.apply(1, changeOf({{.entity = scalingOf("large")}}));
    demand_meter meter(config, {.interval = 15s});
    const time_point start{};
    EXPECT_FALSE(meter.report(start));
    for (int look = 0; look < 4; ++look) {
        meter.beginLook();
        meter.sawLive("large", 1, look == 0);
        meter.sawLive("large", 6, false);
        meter.sawLive("small", 1, false);
    }
    meter.sawEnd("large", 2, result_code::queue_full);
    meter.sawEnd("large", 2, result_code::ok);
    meter.sawEnd("large", 2, result_code::cancelled);
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
