#include <gtest/gtest.h>

#include "coordination/lease_holder.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto makeClaim(const std::string &holder, std::uint64_t previous, std::uint64_t fencing = 0)
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

auto makeRelease(const std::string &holder, std::uint64_t previous) -> v1::LogRecord
{
    v1::LogRecord record;
    auto &release = *record.mutable_lease_release();
    release.set_duty("d");
    release.set_holder(holder);
    release.set_previous_offset(previous);
    return record;
}

TEST(LeaseTableTest, voidsAClaimThatMissedAnAcceptedOne)
{
    lease_table table;
    table.apply(1, makeClaim("a", 0));
    table.apply(2, makeClaim("b", 0));
    EXPECT_EQ(table.find("d")->holder, "a");
    table.apply(3, makeClaim("a", 1));
    EXPECT_EQ(table.find("d")->offset, 3);
    EXPECT_EQ(table.find("d")->fencing, 1);
    table.apply(4, makeClaim("a", 1));
    EXPECT_EQ(table.find("d")->offset, 3);
    EXPECT_EQ(table.newestRecordOffset("d"), 4);
    table.apply(5, makeClaim("b", 4));
    EXPECT_EQ(table.find("d")->holder, "b");
    EXPECT_EQ(table.find("d")->fencing, 5);
    EXPECT_TRUE(table.isCurrent("d", 5));
    EXPECT_FALSE(table.isCurrent("d", 1));
}

TEST(LeaseTableTest, onlyTheHolderCanRelease)
{
    lease_table table;
    table.apply(1, makeClaim("a", 0));
    table.apply(2, makeRelease("b", 1));
    EXPECT_FALSE(table.find("d")->released);
    table.apply(3, makeRelease("a", 1));
    EXPECT_TRUE(table.find("d")->released);
    EXPECT_FALSE(table.isCurrent("d", 1));
    table.apply(4, makeClaim("a", 1));
    EXPECT_TRUE(table.find("d")->released) << "a duplicate claim must not undo the release";
    table.apply(5, makeClaim("a", 4));
    EXPECT_EQ(table.find("d")->fencing, 5) << "a new tenure begins after a release";
}

TEST(LeaseTableTest, lateTableAcceptsOnlyAClaimThatNamesTheNewestRecord)
{
    lease_table late(10);
    late.apply(10, makeClaim("a", 4));
    EXPECT_EQ(late.find("d"), nullptr);
    late.apply(11, makeClaim("b", 4));
    EXPECT_EQ(late.find("d"), nullptr);
    late.apply(12, makeClaim("b", 11, 3));
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

TEST_F(LeaseHolderTest, termStartsWhenTheClaimWasSent)
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
    EXPECT_FALSE(m_holder.holds(m_clock.now()))
        << "must end a margin before the term does, counted from sending";
}

TEST_F(LeaseHolderTest, renewalKeepsTheFencingToken)
{
    observe();
    m_table.apply(1, *m_holder.tick(m_clock.now()));
    observe();
    EXPECT_FALSE(m_holder.tick(m_clock.now()));
    m_clock.advance(seconds(4));
    const auto renewal = m_holder.tick(m_clock.now());
    ASSERT_TRUE(renewal);
    EXPECT_EQ(renewal->lease_claim().fencing(), 1);
    EXPECT_FALSE(m_holder.tick(m_clock.now()))
        << "must not be sent again before the retry delay has passed";
    m_clock.advance(seconds(2));
    EXPECT_TRUE(m_holder.tick(m_clock.now()));
    m_table.apply(2, *renewal);
    observe();
    EXPECT_EQ(m_holder.fencing(), 1);
    m_clock.advance(seconds(6));
    EXPECT_TRUE(m_holder.holds(m_clock.now()));
}

TEST_F(LeaseHolderTest, successorWaitsTermAndMarginAfterReadingTheNewestRecord)
{
    m_table.apply(1, makeClaim("b", 0));
    observe();
    m_clock.advance(seconds(11) - milliseconds(1));
    EXPECT_FALSE(m_holder.tick(m_clock.now()));
    m_clock.advance(milliseconds(1));
    const auto claim = m_holder.tick(m_clock.now());
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->lease_claim().previous_offset(), 1);
    EXPECT_EQ(claim->lease_claim().fencing(), 0);
}

TEST_F(LeaseHolderTest, successorClaimsAtOnceAfterARelease)
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
