#include "net/byte_budget.h"

#include <vector>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};
constexpr std::uint32_t firstClient = 1;
constexpr std::uint32_t secondClient = 2;

class ByteBudgetTest : public testing::Test
{
protected:
    auto add(std::uint32_t client, time_point now) -> byte_budget::holder_id
    {
        const auto id = m_budget.add(
            client, [this, number = m_added + 1](yield_reason) { m_yielded.push_back(number); },
            now);
        m_added = id;
        return id;
    }

    // A holder that receives a request of which `bytes` have arrived.
    auto receive(std::uint32_t client, std::size_t bytes, time_point now) -> byte_budget::holder_id
    {
        const auto id = add(client, now);
        m_budget.begin(id, now);
        m_budget.setHeld(id, bytes);
        return id;
    }

    std::vector<byte_budget::holder_id> m_yielded;
    byte_budget::holder_id m_added = 0;
    byte_budget m_budget{{.capacityBytes = 1000, .progressBytes = 100, .slowLimit = 10s}};
};

// Guards against a process that keeps more for its clients than its memory bears.
TEST_F(ByteBudgetTest, theRequestWithoutProgressForLongestGivesWay)
{
    const auto first = receive(firstClient, 400, start);
    const auto second = receive(firstClient, 400, start + 1ms);
    m_budget.progressed(first, 100, start + 2ms);
    const auto third = receive(firstClient, 400, start + 3ms);
    EXPECT_TRUE(m_budget.makeRoom(third, start + 3ms));
    EXPECT_EQ(m_yielded, std::vector{second});
    EXPECT_EQ(m_budget.heldBytes(), 800U);
    EXPECT_EQ(m_budget.yieldCount(yield_reason::memory), 1U);
}

// Guards against clients that stay by sending a byte now and then.
TEST_F(ByteBudgetTest, aTrickleIsNoProgress)
{
    const auto slow = receive(firstClient, 400, start);
    receive(firstClient, 400, start + 1ms);
    m_budget.progressed(slow, 99, start + 2s);
    const auto third = receive(firstClient, 400, start + 2s);
    EXPECT_TRUE(m_budget.makeRoom(third, start + 2s));
    EXPECT_EQ(m_yielded, std::vector{slow});
    EXPECT_EQ(m_budget.yieldCount(yield_reason::stalled), 1U);
}

// Guards against one client that takes the memory of all.
TEST_F(ByteBudgetTest, theClientAboveItsShareGivesWayFirst)
{
    receive(secondClient, 300, start);
    const auto mine = receive(firstClient, 400, start + 1ms);
    const auto newest = receive(firstClient, 400, start + 2ms);
    EXPECT_TRUE(m_budget.makeRoom(newest, start + 2ms));
    EXPECT_EQ(m_yielded, std::vector{mine});
}

// Guards against a balancer's single address that is held to the share of one client.
TEST_F(ByteBudgetTest, aSingleAddressMayHoldTheWholeCapacity)
{
    for (auto count = 0; count < 10; ++count) {
        const auto id = receive(firstClient, 100, start);
        EXPECT_TRUE(m_budget.makeRoom(id, start));
    }
    m_budget.dropSlow(start + 1s);
    EXPECT_TRUE(m_yielded.empty());
}

TEST_F(ByteBudgetTest, wholeRequestsNeverGiveWay)
{
    const auto whole = receive(firstClient, 100, start);
    EXPECT_TRUE(m_budget.admitWhole(whole, 700, start));
    const auto unread = add(firstClient, start);
    m_budget.setHeld(unread, 200);
    m_budget.waitForReader(unread, start);
    const auto part = receive(firstClient, 300, start + 5s);
    const auto newest = receive(firstClient, 50, start + 6s);
    EXPECT_TRUE(m_budget.makeRoom(newest, start + 6s));
    EXPECT_EQ(m_yielded, std::vector{part}) << "requests that are not whole go first";
    m_budget.setHeld(newest, 250);
    EXPECT_TRUE(m_budget.makeRoom(newest, start + 6s));
    EXPECT_EQ(m_yielded, (std::vector{part, unread}));
    m_budget.setHeld(newest, 350);
    EXPECT_FALSE(m_budget.makeRoom(newest, start + 6s)) << "only the holder itself is left";
}

// Guards against large requests that keep small ones out.
TEST_F(ByteBudgetTest, largeWholeRequestsLeaveRoomToSmallOnes)
{
    EXPECT_TRUE(m_budget.admitWhole(add(firstClient, start), 700, start));
    EXPECT_FALSE(m_budget.admitWhole(add(firstClient, start), 100, start));
    EXPECT_EQ(m_budget.heldBytes(), 700U);
    EXPECT_EQ(m_budget.refusalCount(), 1U);
    EXPECT_TRUE(m_budget.admitWhole(add(firstClient, start), 15, start));
}

// A single request inside the limits is served, however small the VM is.
TEST_F(ByteBudgetTest, theOnlyRequestMayExceedTheCapacity)
{
    const auto only = receive(firstClient, 400, start);
    EXPECT_TRUE(m_budget.admitWhole(only, 1200, start));
    m_budget.settle(only);
    m_budget.setHeld(only, 0);
    EXPECT_EQ(m_budget.heldBytes(), 0U);
}

TEST_F(ByteBudgetTest, slowRequestsEndOnlyWhileBytesAreScarce)
{
    receive(firstClient, 400, start);
    m_budget.dropSlow(start + 60s);
    EXPECT_TRUE(m_yielded.empty());
    const auto whole = add(firstClient, start);
    EXPECT_TRUE(m_budget.admitWhole(whole, 400, start));
    m_budget.dropSlow(start + 10s);
    EXPECT_TRUE(m_yielded.empty());
    m_budget.dropSlow(start + 11s);
    EXPECT_EQ(m_yielded.size(), 1U);
}

TEST_F(ByteBudgetTest, whatIsRemovedOrGaveWayIsNotCounted)
{
    const auto first = receive(firstClient, 800, start);
    const auto second = receive(secondClient, 800, start);
    EXPECT_TRUE(m_budget.makeRoom(second, start));
    m_budget.setHeld(first, 800);
    EXPECT_EQ(m_budget.heldBytes(), 800U);
    m_budget.remove(first);
    m_budget.remove(second);
    EXPECT_EQ(m_budget.heldBytes(), 0U);
    EXPECT_EQ(m_budget.holderCount(), 0U);
}

} // namespace
} // namespace mustardline
