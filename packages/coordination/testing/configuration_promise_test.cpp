#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "coordination/testing/gossip_simulation.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds on the time until a change has reached every node, and on the traffic of one node.
constexpr auto maxSpreadDelay = seconds(4);
constexpr std::uint64_t maxBytesPerNodeAndSecond = 2'000;

// Appends changes at the designed rate, and checks that each reaches every node within the promised
// delay.
class P15_SpreadTest : public testing::TestWithParam<gossip_simulation_options>
{
protected:
    auto run(duration length) -> void
    {
        const auto end = m_simulation.now + length;
        while (m_simulation.now < end) {
            // 39,000 changes a day, one every 2,215 ms.
            if (m_simulation.now >= m_nextChange) {
                m_simulation.append(nextChange());
                m_due.emplace_back(++m_changes, m_simulation.now + maxSpreadDelay);
                m_nextChange = m_nextChange + milliseconds(2215);
            }
            m_simulation.advance();
            checkDue();
        }
    }

    // The first change creates a client account, every later one a key of it.
    auto nextChange() const -> v1::LogRecord
    {
        const auto id = fmt::format("{:032x}", m_changes);
        const auto entity
            = m_changes == 0 ? accountOf("account-00000") : keyOf(id, "account-00000");
        return changeOf({{.entity = entity}}, {.changeId = id});
    }

    auto checkDue() -> void
    {
        while (!m_due.empty() && m_simulation.now >= m_due.front().second) {
            std::size_t late = 0;
            for (std::size_t i = 0; i < m_simulation.size(); ++i)
                late += m_simulation.config(i).offset() < m_due.front().first ? 1 : 0;
            EXPECT_EQ(late, 0) << "nodes without change " << m_due.front().first;
            m_due.pop_front();
        }
    }

    gossip_simulation m_simulation{GetParam()};
    std::uint64_t m_changes = 0;
    time_point m_nextChange;
    std::deque<std::pair<std::uint64_t, time_point>> m_due;
};

TEST_P(P15_SpreadTest, everyChangeReachesEveryNodeWithinDelayAndTrafficBounds)
{
    constexpr int length = 60;
    run(seconds(length));
    EXPECT_GE(m_changes, 27);
    std::uint64_t maxBytes = 0;
    std::uint64_t totalBytes = 0;
    for (std::size_t i = 0; i < m_simulation.size(); ++i) {
        maxBytes = std::max(maxBytes, m_simulation.bytesOf(i));
        totalBytes += m_simulation.bytesOf(i);
    }
    RecordProperty("bytesPerNodeAndSecond",
                   static_cast<int>(totalBytes / m_simulation.size() / length));
    RecordProperty("mostBytesPerSecond", static_cast<int>(maxBytes / length));
    EXPECT_LE(maxBytes / length, maxBytesPerNodeAndSecond);
}

// P5: the withdrawal of a key reaches every node's configuration within the promised delay.
TEST_P(P15_SpreadTest, P5_aWithdrawnKeyIsWithdrawnEverywhereInTime)
{
    m_simulation.append(changeOf({{.entity = accountOf("a")}, {.entity = keyOf("k", "a")}}));
    for (int i = 0; i < 1000 && m_simulation.nodesBehind() > 0; ++i)
        m_simulation.advance();
    ASSERT_EQ(m_simulation.nodesBehind(), 0);
    m_simulation.append(changeOf({{.entity = keyOf("k", "a", true), .base = 1}}));
    const auto end = m_simulation.now + maxSpreadDelay;
    while (m_simulation.now < end)
        m_simulation.advance();
    for (std::size_t i = 0; i < m_simulation.size(); ++i)
        ASSERT_TRUE(m_simulation.config(i).key("k")->withdrawn()) << i;
}

INSTANTIATE_TEST_SUITE_P(
    Networks, P15_SpreadTest,
    testing::Values(gossip_simulation_options{.lossPercent = 0},
                    gossip_simulation_options{.lossPercent = 20},
                    // Only one node can read the log.
                    gossip_simulation_options{.logReaders = 1, .lossPercent = 0},
                    gossip_simulation_options{.logReaders = 1, .lossPercent = 20, .seed = 2}));

// P15: of two conflicting changes, at most one is accepted, and neither duplicates nor the order of
// the records change a decision or decrease the entity's revision. Tries every order of a creation
// and two conflicting updates, each of them twice in the log.
TEST(P15_ApplyTest, noInterleavingRevertsAnAcceptedChange)
{
    const std::vector<v1::LogRecord> records = {
        changeOf({{.entity = dataCentreOf("dc")}}, {.changeId = "make", .writer = "a"}),
        changeOf({{.entity = dataCentreOf("dc", true), .base = 1}},
                 {.changeId = "out", .writer = "b"}),
        changeOf({{.entity = dataCentreOf("dc", false), .base = 1}},
                 {.changeId = "in", .writer = "c"}),
    };
    std::vector<std::size_t> order = {0, 0, 1, 1, 2, 2};
    do {
        configuration config;
        std::uint64_t revision = 0;
        std::map<std::string, result_code> decided;
        for (std::size_t i = 0; i < order.size(); ++i) {
            const auto &record = records[order[i]];
            config.apply(i + 1, record);
            const auto &id = record.configuration_change().change_id();
            const auto now = config.decision(id)->code;
            const auto before = decided.try_emplace(id, now).first->second;
            ASSERT_EQ(before, now) << "a duplicate must not change a decision";
            const auto *found = config.find(v1::ENTITY_KIND_DATA_CENTRE, "dc");
            const auto next = found == nullptr ? 0 : found->revision();
            ASSERT_GE(next, revision);
            revision = next;
        }
        const auto bothAccepted
            = decided["out"] == result_code::ok && decided["in"] == result_code::ok;
        ASSERT_FALSE(bothAccepted);
    } while (std::ranges::next_permutation(order).found);
}

// P15: a configuration that is restored from its own snapshot at random offsets stays equal to one
// that applies every record of the same random log.
TEST(P15_ApplyTest, restoringSnapshotsGivesTheSameStateAsApplyingAllRecords)
{
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        configuration reference({.recordLifetime = 500});
        configuration restored({.recordLifetime = 500});
        std::vector<v1::LogRecord> log;
        for (std::uint64_t offset = 1; offset <= 3'000; ++offset) {
            const auto id = fmt::format("k{}", random() % 6);
            const auto *current = reference.find(v1::ENTITY_KIND_KEY, id);
            const auto revision = current == nullptr ? 0 : current->revision();
            const auto isStale = random() % 5 == 0;
            auto record = changeOf(
                {{.entity = keyOf(id, "a", random() % 4 == 0),
                  .base = isStale ? revision / 2 : revision,
                  .removes = random() % 10 == 0}},
                {.changeId = fmt::format("c{}", offset),
                 .writer = fmt::format("w{}", random() % 50),
                 .boot = offset / 700,
                 .sequence = offset,
                 .baseOffset = offset - std::min<std::uint64_t>(offset, random() % 700)});
            if (offset == 1)
                record = changeOf({{.entity = accountOf("a")}});
            else if (random() % 4 == 0)
                record = log[random() % log.size()];
            log.push_back(record);
            const auto wasWithdrawn = current != nullptr && current->entity().key().withdrawn();
            reference.apply(offset, record);
            restored.apply(offset, record);
            const auto *after = reference.key(id);
            ASSERT_FALSE(wasWithdrawn && after != nullptr && !after->withdrawn());
            if (random() % 100 == 0) {
                configuration next({.recordLifetime = 500});
                next.restore(restored.snapshot());
                restored = std::move(next);
            }
        }
        auto referenceSnapshot = reference.snapshot();
        auto restoredSnapshot = restored.snapshot();
        ASSERT_EQ(referenceSnapshot.SerializeAsString(), restoredSnapshot.SerializeAsString())
            << "seed " << seed;
        EXPECT_LT(reference.writerCount(), 400U) << "positions of old writers must be discarded";
    }
}

} // namespace
} // namespace mustardline
