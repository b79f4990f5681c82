#include <gtest/gtest.h>

#include "coordination/lease_holder.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto claimBy(const std::string &holder, std::uint64_t previous, std::uint64_t fencing = 0)
    -> v1::LogRecord
{
    v1::LogRecord record;
    auto &claim = *record.mutable_lease_claim();
    claim.set_duty("d");
    claim.set_holder(holder);
    claim.set_previous_offset(previous);
    claim.set_term_ms(10'000);
    claim.set_fencing(fencing);
    return record;
}

auto releaseBy(const std::string &holder, std::uint64_t previous) -> v1::LogRecord
{
    v1::LogRecord record;
    auto &release = *record.mutable_lease_release();
    release.set_duty("d");
    release.set_holder(holder);
    release.set_previous_offset(previous);
    return record;
}

TEST(LeaseTableTest, voidsAClaimBehindAnAcceptedOne)
{
    lease_table table;
    table.apply(1, claimBy("a", 0));
    table.apply(2, claimBy("b", 0));
    EXPECT_EQ(table.find("d")->holder, "a");
    table.apply(3, claimBy("a", 1));
    EXPECT_EQ(table.find("d")->offset, 3);
    EXPECT_EQ(table.find("d")->fencing, 1);
    table.apply(4, claimBy("a", 1));
    EXPECT_EQ(table.find("d")->offset, 3);
    EXPECT_EQ(table.newestRecord("d"), 4);
    table.apply(5, claimBy("b", 4));
    EXPECT_EQ(table.find("d")->holder, "b");
    EXPECT_EQ(table.find("d")->fencing, 5);
    EXPECT_TRUE(table.isCurrent("d", 5));
    EXPECT_FALSE(table.isCurrent("d", 1));
}

TEST(LeaseTableTest, onlyTheHolderReleases)
{
    lease_table table;
    table.apply(1, claimBy("a", 0));
    table.apply(2, releaseBy("b", 1));
    EXPECT_FALSE(table.find("d")->released);
    table.apply(3, releaseBy("a", 1));
    EXPECT_TRUE(table.find("d")->released);
    EXPECT_FALSE(table.isCurrent("d", 1));
    table.apply(4, claimBy("a", 1));
    EXPECT_TRUE(table.find("d")->released) << "a repeat must not undo the release";
    table.apply(5, claimBy("a", 4));
    EXPECT_EQ(table.find("d")->fencing, 5) << "a new tenure begins after a release";
}

TEST(LeaseTableTest, aTableThatStartsLateWaitsForAClaimThatNamesAll)
{
    lease_table late(10);
    late.apply(10, claimBy("a", 4));
    EXPECT_EQ(late.find("d"), nullptr);
    late.apply(11, claimBy("b", 4));
    EXPECT_EQ(late.find("d"), nullptr);
    late.apply(12, claimBy("b", 11, 3));
    ASSERT_NE(late.find("d"), nullptr);
    EXPECT_EQ(late.find("d")->fencing, 3);
}

class LeaseHolderTest : public testing::Test
{
protected:
    auto observe() -> void { m_holder.observe(m_table, m_clock.now()); }

    manual_clock m_clock;
    lease_table m_table;
    lease_holder m_holder{{.duty = "d", .holder = "a"}, m_clock.now()};
};

TEST_F(LeaseHolderTest, countsTheTermFromBeforeTheClaimWasSent)
{
    observe();
    const auto claim = m_holder.tick(m_clock.now());
    ASSERT_TRUE(claim);
    EXPECT_FALSE(m_holder.holds(m_clock.now()));
    m_clock.advance(seconds(8));
    m_table.apply(1, *claim);
    observe();
    EXPECT_TRUE(m_holder.holds(m_clock.now()));
    EXPECT_EQ(m_holder.fencing(), 1);
    m_clock.advance(milliseconds(999));
    EXPECT_TRUE(m_holder.holds(m_clock.now()));
    m_clock.advance(milliseconds(1));
    EXPECT_FALSE(m_holder.holds(m_clock.now())) << "a term less the margin after sending";
}

TEST_F(LeaseHolderTest, renewsAndKeepsItsNumber)
{
    observe();
    m_table.apply(1, *m_holder.tick(m_clock.now()));
    observe();
    EXPECT_FALSE(m_holder.tick(m_clock.now()));
    m_clock.advance(seconds(4));
    const auto renewal = m_holder.tick(m_clock.now());
    ASSERT_TRUE(renewal);
    EXPECT_EQ(renewal->lease_claim().fencing(), 1);
    EXPECT_FALSE(m_holder.tick(m_clock.now())) << "not again before the retry pause";
    m_clock.advance(seconds(2));
    EXPECT_TRUE(m_holder.tick(m_clock.now()));
    m_table.apply(2, *renewal);
    observe();
    EXPECT_EQ(m_holder.fencing(), 1);
    m_clock.advance(seconds(6));
    EXPECT_TRUE(m_holder.holds(m_clock.now()));
}

TEST_F(LeaseHolderTest, aSuccessorWaitsATermAndAMarginFromItsReading)
{
    m_table.apply(1, claimBy("b", 0));
    observe();
    m_clock.advance(seconds(11) - milliseconds(1));
    EXPECT_FALSE(m_holder.tick(m_clock.now()));
    m_clock.advance(milliseconds(1));
    const auto claim = m_holder.tick(m_clock.now());
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->lease_claim().previous_offset(), 1);
    EXPECT_EQ(claim->lease_claim().fencing(), 0);
}

TEST_F(LeaseHolderTest, releasesAtShutdownAndTheSuccessorNeedNotWait)
{
    observe();
    m_table.apply(1, *m_holder.tick(m_clock.now()));
    observe();
    m_holder.release();
    EXPECT_FALSE(m_holder.holds(m_clock.now()));
    EXPECT_FALSE(m_holder.isReleased());
    m_table.apply(2, *m_holder.tick(m_clock.now()));
    observe();
    EXPECT_TRUE(m_holder.isReleased());
    EXPECT_FALSE(m_holder.tick(m_clock.now()));
    lease_holder successor({.duty = "d", .holder = "b"}, m_clock.now());
    successor.observe(m_table, m_clock.now());
    EXPECT_TRUE(successor.tick(m_clock.now()));
}

} // namespace
} // namespace mustardline
