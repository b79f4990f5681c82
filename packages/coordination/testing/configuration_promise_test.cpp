#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "coordination/testing/spread_world.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto promisedDelay = seconds(4);
constexpr std::uint64_t bytesPerNodeAndSecond = 2'000;

// Appends changes at the designed rate and holds each against the promised delay.
class P15_SpreadTest : public testing::TestWithParam<spread_options>
{
protected:
    auto run(duration length) -> void
    {
        const auto end = m_world.now + length;
        while (m_world.now < end) {
            // 39,000 changes a day.
            if (m_world.now >= m_nextChange) {
                m_world.append(nextChange());
                m_due.emplace_back(++m_changes, m_world.now + promisedDelay);
                m_nextChange = m_nextChange + milliseconds(2215);
            }
            m_world.advance();
            checkDue();
        }
    }

    // A new key, after the client account that it belongs to.
    auto nextChange() const -> v1::LogRecord
    {
        const auto id = fmt::format("{:032x}", m_changes);
        const auto entity
            = m_changes == 0 ? accountOf("account-00000") : keyOf(id, "account-00000");
        return changeOf({{.entity = entity}}, {.changeId = id});
    }

    auto checkDue() -> void
    {
        while (!m_due.empty() && m_world.now >= m_due.front().second) {
            std::size_t late = 0;
            for (std::size_t i = 0; i < m_world.size(); ++i)
                late += m_world.config(i).offset() < m_due.front().first ? 1 : 0;
            EXPECT_EQ(late, 0) << "nodes without change " << m_due.front().first;
            m_due.pop_front();
        }
    }

    spread_world m_world{GetParam()};
    std::uint64_t m_changes = 0;
    time_point m_nextChange;
    std::deque<std::pair<std::uint64_t, time_point>> m_due;
};

TEST_P(P15_SpreadTest, everyChangeReachesEveryNodeInTimeAndInItsBudget)
{
    constexpr int length = 60;
    run(seconds(length));
    EXPECT_GE(m_changes, 27);
    std::uint64_t most = 0;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < m_world.size(); ++i) {
        most = std::max(most, m_world.bytesOf(i));
        total += m_world.bytesOf(i);
    }
    RecordProperty("bytesPerNodeAndSecond", static_cast<int>(total / m_world.size() / length));
    RecordProperty("mostBytesPerSecond", static_cast<int>(most / length));
    EXPECT_LE(most / length, bytesPerNodeAndSecond);
}

// P5: a withdrawn key is withdrawn in every node's configuration in time.
TEST_P(P15_SpreadTest, P5_aWithdrawnKeyIsWithdrawnEverywhereInTime)
{
    m_world.append(changeOf({{.entity = accountOf("a")}, {.entity = keyOf("k", "a")}}));
    for (int i = 0; i < 1000 && m_world.behind() > 0; ++i)
        m_world.advance();
    ASSERT_EQ(m_world.behind(), 0);
    m_world.append(changeOf({{.entity = keyOf("k", "a", true), .base = 1}}));
    const auto end = m_world.now + promisedDelay;
    while (m_world.now < end)
        m_world.advance();
    for (std::size_t i = 0; i < m_world.size(); ++i)
        ASSERT_TRUE(m_world.config(i).key("k")->withdrawn()) << i;
}

INSTANTIATE_TEST_SUITE_P(
    Networks, P15_SpreadTest,
    testing::Values(spread_options{.lossPercent = 0}, spread_options{.lossPercent = 20},
                    // The log is down for all but one entry.
                    spread_options{.tailers = 1, .lossPercent = 0},
                    spread_options{.tailers = 1, .lossPercent = 20, .seed = 2}));

// P15: every order of two racing changes, each in the log once or twice, and of a repeat after the
// entity's removal: whatever was accepted and not changed by a later accepted change stays.
TEST(P15_FoldTest, noInterleavingRevertsAnAcceptedChange)
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
            ASSERT_EQ(before, now) << "a repeat must not change a decision";
            const auto *found = config.find(v1::ENTITY_KIND_DATA_CENTRE, "dc");
            const auto next = found == nullptr ? 0 : found->revision();
            ASSERT_GE(next, revision);
            revision = next;
        }
        const auto both = decided["out"] == result_code::ok && decided["in"] == result_code::ok;
        ASSERT_FALSE(both);
    } while (std::ranges::next_permutation(order).found);
}

// P15: two folds of one random log, one of them by way of snapshots at random offsets, never
// differ.
TEST(P15_FoldTest, aFoldByWayOfSnapshotsEqualsTheWholeFold)
{
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        configuration whole({.recordLifetime = 500});
        configuration partly({.recordLifetime = 500});
        std::vector<v1::LogRecord> log;
        for (std::uint64_t offset = 1; offset <= 3'000; ++offset) {
            const auto id = fmt::format("k{}", random() % 6);
            const auto *current = whole.find(v1::ENTITY_KIND_KEY, id);
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
            whole.apply(offset, record);
            partly.apply(offset, record);
            const auto *after = whole.key(id);
            ASSERT_FALSE(wasWithdrawn && after != nullptr && !after->withdrawn());
            if (random() % 100 == 0) {
                configuration next({.recordLifetime = 500});
                next.restore(partly.snapshot());
                partly = std::move(next);
            }
        }
        auto left = whole.snapshot();
        auto right = partly.snapshot();
        ASSERT_EQ(left.SerializeAsString(), right.SerializeAsString()) << "seed " << seed;
        EXPECT_LT(whole.writerCount(), 400U) << "writers must be forgotten";
    }
}

} // namespace
} // namespace mustardline
