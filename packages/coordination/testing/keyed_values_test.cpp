// Tests of what is kept when a log comes back from an older copy: tables of cases, and random
// histories against the newest value of each key.

#include "coordination/keyed_values.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};
constexpr duration rewriteTime = seconds(2);

// Values are "v" and a number that grows with each write; others have no order.
auto compareNumbers(const keyed_record &left, const keyed_record &right) -> std::partial_ordering
{
    if (!left.value->starts_with("v") || !right.value->starts_with("v"))
        return std::partial_ordering::unordered;
    return std::stoi(left.value->substr(1)) <=> std::stoi(right.value->substr(1));
}

auto recordOf(const std::string &value, log_position position) -> keyed_record
{
    keyed_record record{.key = "k", .position = position};
    if (!value.empty())
        record.value = value;
    return record;
}

class KeyedValuesTest : public testing::Test
{
protected:
    auto load(const std::vector<keyed_record> &records, const log_position &end, time_point now)
        -> void
    {
        m_values.beginLoad();
        for (const auto &record : records)
            m_values.applyLoaded(record, now);
        m_values.finishLoad(end, now);
    }

    // The known value of the key; empty if it has none.
    [[nodiscard]] auto value() const -> std::string
    {
        const auto records = m_values.records();
        return records.empty() ? "" : *records.front().value;
    }

    keyed_values m_values{{.rewriteTime = rewriteTime, .compare = compareNumbers}};
};

struct drill_case
{
    std::string name;
    // Known before the drill, and held by the log after it; empty if there is none.
    std::string known;
    std::string held;
    // Known right after the load, and once the time to write it again is over.
    std::string atOnce;
    std::string later;
};

// Guards against an older value that takes the place of a newer one when the log comes back from an
// older copy, and against one that is lost before its writer could write it again.
// Guards against values that nobody can use and that take memory for as long as their keys exist.
TEST_F(KeyedValuesTest, aDiscardedValueIsReplacedByWhateverIsLoaded)
{
    load({recordOf("odd", {.era = 1, .offset = 3})}, {.era = 1, .offset = 4}, start);
    m_values.discardValue("k");
    EXPECT_EQ(value(), "");
    EXPECT_EQ(m_values.keys().size(), 1U);
    load({recordOf("other", {.era = 2, .offset = 2})}, {.era = 2, .offset = 3}, start);
    EXPECT_EQ(value(), "other");
    EXPECT_EQ(m_values.keptCount(), 0U);
    m_values.discardValue("k");
    load({}, {.era = 3, .offset = 1}, start);
    EXPECT_TRUE(m_values.keys().empty());
}

TEST_F(KeyedValuesTest, keepsWhatTheLogHasLost)
{
    const std::vector<drill_case> cases{
        {"older", "v2", "v1", "v2", "v2"},      {"newer", "v2", "v3", "v3", "v3"},
        {"same", "v2", "v2", "v2", "v2"},       {"lost", "v2", "", "v2", ""},
        {"not ordered", "a", "b", "a", "b"},    {"not ordered, same", "a", "a", "a", "a"},
        {"not known before", "", "a", "a", "a"}};
    for (const auto &each : cases) {
        m_values.clear();
        if (!each.known.empty())
            load({recordOf(each.known, {.era = 1, .offset = 8})}, {.era = 1, .offset = 9}, start);
        std::vector<keyed_record> held;
        if (!each.held.empty())
            held.push_back(recordOf(each.held, {.era = 2, .offset = 3}));
        load(held, {.era = 2, .offset = 4}, start);
        EXPECT_EQ(value(), each.atOnce) << each.name;
        EXPECT_TRUE(m_values.takeDecided(start + rewriteTime - milliseconds(1)).empty());
        static_cast<void>(m_values.takeDecided(start + rewriteTime));
        EXPECT_EQ(value(), each.later) << each.name;
    }
}

// Guards against a deleted key that comes back from the copy, such as an endpoint that has left.
TEST_F(KeyedValuesTest, deletedKeyStaysDeletedUnlessItIsWrittenAgain)
{
    for (const auto &[held, isWritten] : std::vector<std::pair<std::string, bool>>{
             {"v4", false}, {"v3", false}, {"v5", true}, {"a", true}}) {
        m_values.clear();
        load({recordOf("v4", {.era = 1, .offset = 8})}, {.era = 1, .offset = 9}, start);
        m_values.apply(recordOf("", {.era = 1, .offset = 9}), start);
        load({recordOf(held, {.era = 2, .offset = 8})}, {.era = 2, .offset = 9}, start);
        EXPECT_EQ(value(), isWritten ? held : "") << held;
    }
}

// Guards against a key that comes back although it was deleted again: the copy held it, and the
// record of its second deletion expired unread.
TEST_F(KeyedValuesTest, keyThatIsMissingInALaterLoadStaysDeleted)
{
    load({recordOf("v4", {.era = 1, .offset = 8})}, {.era = 1, .offset = 9}, start);
    m_values.apply(recordOf("", {.era = 1, .offset = 9}), start);
    load({recordOf("v4", {.era = 2, .offset = 8})}, {.era = 2, .offset = 9}, start);
    load({}, {.era = 2, .offset = 90}, start);
    EXPECT_TRUE(m_values.takeDecided(start + rewriteTime).empty());
    EXPECT_EQ(value(), "");
}

TEST_F(KeyedValuesTest, appendedRecordOfTheNewEraCountsAtOnce)
{
    load({recordOf("a", {.era = 1, .offset = 8})}, {.era = 1, .offset = 9}, start);
    load({}, {.era = 2, .offset = 5}, start);
    EXPECT_EQ(m_values.keptCount(), 1U);
    EXPECT_TRUE(m_values.apply(recordOf("b", {.era = 2, .offset = 5}), start));
    EXPECT_EQ(value(), "b");
    EXPECT_EQ(m_values.keptCount(), 0U);
    EXPECT_FALSE(m_values.apply(recordOf("a", {.era = 1, .offset = 8}), start));
    EXPECT_EQ(value(), "b");
}

// Guards against a value that is given up at a second drill before its writer had time to write it.
TEST_F(KeyedValuesTest, secondDrillGivesTheWriterTimeAnew)
{
    load({recordOf("a", {.era = 1, .offset = 8})}, {.era = 1, .offset = 9}, start);
    load({}, {.era = 2, .offset = 5}, start);
    load({}, {.era = 3, .offset = 5}, start + seconds(1));
    EXPECT_TRUE(m_values.takeDecided(start + rewriteTime).empty());
    EXPECT_EQ(m_values.takeDecided(start + seconds(1) + rewriteTime).size(), 1U);
    EXPECT_EQ(value(), "");
}

TEST_F(KeyedValuesTest, keyThatIsMissingInTheSameEraWasDeleted)
{
    load({recordOf("a", {.era = 1, .offset = 8})}, {.era = 1, .offset = 9}, start);
    load({}, {.era = 1, .offset = 50}, start);
    EXPECT_TRUE(m_values.keys().empty());
    EXPECT_EQ(m_values.keptCount(), 0U);
}

// Guards against a process that has read the newest values from the copy, though others know more.
TEST_F(KeyedValuesTest, learnsWhatTheLogHasLost)
{
    const log_position end{.era = 2, .offset = 5};
    load({recordOf("v1", {.era = 2, .offset = 3})}, end, start);
    EXPECT_FALSE(m_values.learn(recordOf("v1", {.era = 1, .offset = 3}), end, start));
    EXPECT_TRUE(m_values.learn(recordOf("v2", {.era = 1, .offset = 7}), end, start));
    EXPECT_EQ(value(), "v2");
    auto lost = recordOf("{}", {.era = 1, .offset = 6});
    lost.key = "lost";
    EXPECT_TRUE(m_values.learn(lost, end, start));
    EXPECT_EQ(m_values.keys().size(), 2U);
    // What the other process has read later in this era, this process will read too.
    lost.key = "new";
    lost.position = {.era = 2, .offset = 6};
    EXPECT_FALSE(m_values.learn(lost, end, start));
    static_cast<void>(m_values.takeDecided(start + rewriteTime));
    EXPECT_EQ(m_values.keys(), keyed_values::key_set{"k"});
}

// A writer that writes again what is lost never sees a follower go back, at whatever age of the
// copy.
TEST_F(KeyedValuesTest, neverGoesBackInRandomHistories)
{
    std::mt19937 random(1);
    for (auto run = 0; run < 200; ++run) {
        m_values.clear();
        // Of the key, as the log holds it, by offset.
        std::vector<int> log;
        std::uint64_t era = 1;
        int written = 0;
        int known = 0;
        auto now = start;
        for (auto step = 0; step < 60; ++step, now = now + milliseconds(300)) {
            const auto isDrill = random() % 10 == 0;
            if (isDrill) {
                log.resize(log.size() - random() % (log.size() + 1));
                ++era;
                if (log.empty() || log.back() != written)
                    log.push_back(written);
            } else {
                log.push_back(++written);
            }
            const log_position end{.era = era, .offset = log.size()};
            const auto newest = recordOf("v" + std::to_string(log.back()),
                                         {.era = era, .offset = log.size() - 1});
            if (isDrill)
                load({newest}, end, now);
            else
                m_values.apply(newest, now);
            static_cast<void>(m_values.takeDecided(now));
            const auto next = std::stoi(value().substr(1));
            EXPECT_GE(next, known) << "run " << run << " step " << step;
            EXPECT_EQ(next, written) << "run " << run << " step " << step;
            known = next;
        }
    }
}

} // namespace
} // namespace mustardline
