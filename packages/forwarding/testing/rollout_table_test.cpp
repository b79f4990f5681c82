// Tests of which endpoints serve during and after a roll-out.

#include "forwarding/rollout_table.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using std::chrono::seconds;
using targets = std::vector<std::string>;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};
const rollout_order order{.service = "orders", .version = "v2", .length = seconds(30), .id = 7};
const std::string newTarget = rollout_table::targetOf(order);

auto endpointOf(const std::string &version) -> endpoint_registration
{
    return {.id = "e-" + version, .service = "orders", .version = version};
}

class RolloutTableTest : public testing::Test
{
protected:
    RolloutTableTest()
    {
        m_table.setOrder(order, start);
        m_rollout = m_table.find("orders");
    }

    rollout_table m_table{{.exposureShare = 0.1, .exposureSlack = 50}, 1};
    service_rollout *m_rollout = nullptr;
    const endpoint_registration m_old = endpointOf("v1");
    const endpoint_registration m_new = endpointOf("v2");
};

// Without bounds or an order, versions are replaced as before.
TEST_F(RolloutTableTest, serviceWithoutARollOutIsNotAffected)
{
    rollout_table undecided({}, 1);
    EXPECT_FALSE(undecided.setOrder(order, start));
    EXPECT_EQ(undecided.targetsOf(m_new), targets{"orders"});
    EXPECT_TRUE(undecided.isOpen(m_new));
    auto other = m_new;
    other.service = "reads";
    EXPECT_EQ(m_table.targetsOf(other), targets{"reads"});
    EXPECT_TRUE(m_table.removeOrder("orders"));
    EXPECT_EQ(m_table.targetsOf(m_new), targets{"orders"});
}

TEST_F(RolloutTableTest, newVersionGetsOnlyWhatIsChosen)
{
    EXPECT_EQ(m_table.targetsOf(m_old), targets{"orders"});
    EXPECT_EQ(m_table.targetsOf(m_new), targets{newTarget});
    EXPECT_TRUE(m_table.isOpen(m_old));
    EXPECT_TRUE(m_table.isOpen(m_new));
}

// The old endpoints stop at once when the record says `completed`.
TEST_F(RolloutTableTest, oldVersionGetsNothingAfterCompletion)
{
    m_rollout->watch.adopt(rollout_verdict::completed);
    EXPECT_FALSE(m_table.isOpen(m_old));
    EXPECT_TRUE(m_table.isOpen(m_new));
    EXPECT_EQ(m_table.targetsOf(m_new), (targets{"orders", newTarget}));
}

// Requests that wait for the new version go to the old one.
TEST_F(RolloutTableTest, newVersionGetsNothingAfterARollBack)
{
    m_rollout->watch.adopt(rollout_verdict::rolled_back);
    EXPECT_TRUE(m_table.isOpen(m_old));
    EXPECT_FALSE(m_table.isOpen(m_new));
    EXPECT_EQ(m_table.targetsOf(m_old), (targets{"orders", newTarget}));
}

// A service whose endpoints all have the version already must still be served.
TEST_F(RolloutTableTest, newVersionServesWhereNoOtherIsRegistered)
{
    rollout_table::endpoint_entries entries{{"e-v2", {.registration = m_new}}};
    EXPECT_TRUE(m_table.setEndpoints(entries));
    EXPECT_EQ(m_table.targetsOf(m_new), (targets{"orders", newTarget}));
    m_rollout->watch.adopt(rollout_verdict::rolled_back);
    EXPECT_TRUE(m_table.isOpen(m_new));
    entries["e-v1"] = {.registration = m_old};
    EXPECT_TRUE(m_table.setEndpoints(entries));
    EXPECT_FALSE(m_table.isOpen(m_new));
}

// An edge that has just started does not know whether the roll-out has ended.
TEST_F(RolloutTableTest, nothingIsTriedBeforeTheRecordWasRead)
{
    const auto exposed = [this] {
        int count = 0;
        for (std::uint64_t request = 0; request < 500; ++request) {
            const auto version = m_table.choose(*m_rollout, "route", start);
            m_rollout->watch.started(request, {.route = "route", .version = version}, start);
            count += version == rollout_version::after ? 1 : 0;
        }
        return count;
    };
    EXPECT_EQ(exposed(), 0);
    static_cast<void>(m_rollout->record.tick(start, {}));
    m_rollout->record.onRead(std::nullopt, {}, start);
    EXPECT_GT(exposed(), 0);
}

TEST_F(RolloutTableTest, olderOrderChangesNothing)
{
    auto older = order;
    older.id = 3;
    EXPECT_FALSE(m_table.setOrder(older, start));
    EXPECT_FALSE(m_table.setOrder(order, start));
}

// Guards against a roll-out that begins anew, with new exposure, because its order has another
// position since the log came back from an older copy.
TEST_F(RolloutTableTest, orderThatIsSeenAgainInALaterEraGoesOn)
{
    m_rollout->watch.adopt(rollout_verdict::rolled_back);
    auto again = order;
    again.id = log_position{.era = 1, .offset = 3}.number();
    EXPECT_FALSE(m_table.setOrder(again, start + seconds(9)));
    EXPECT_EQ(m_table.find("orders")->order.id, again.id);
    EXPECT_EQ(m_table.find("orders")->watch.verdict(), rollout_verdict::rolled_back);
    // Another order of the same era is a new one, and so is one of other contents.
    auto next = again;
    ++next.id;
    EXPECT_TRUE(m_table.setOrder(next, start + seconds(10)));
    EXPECT_EQ(m_table.find("orders")->watch.verdict(), rollout_verdict::in_progress);
    auto other = order;
    other.version = "v3";
    other.id = log_position{.era = 2, .offset = 1}.number();
    EXPECT_TRUE(m_table.setOrder(other, start + seconds(11)));
}

} // namespace
} // namespace mustardline
