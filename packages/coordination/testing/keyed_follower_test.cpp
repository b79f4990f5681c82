#include "coordination/keyed_follower.h"

#include <deque>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using std::chrono::milliseconds;

// A log whose answers a test has laid out, and that notes what was asked.
class scripted_log
{
public:
    auto read(const log_position &position, const log_read_handler &done) -> void
    {
        asked.push_back("read " + std::to_string(position.offset));
        waits.push_back(position.wait);
        if (beforeAnswer)
            std::exchange(beforeAnswer, nullptr)();
        if (reads.empty()) {
            onIdle();
            return;
        }
        const auto outcome = reads.front();
        reads.pop_front();
        done(outcome);
    }
    auto newest(const std::string &, const std::string &after, const log_newest_handler &done)
        -> void
    {
        asked.push_back("newest " + after);
        const auto outcome = pages.front();
        pages.pop_front();
        done(outcome);
    }
    auto append(const log_append &, const log_append_handler &done) -> void
    {
        done(log_unavailable{});
    }

    // "key=value" sets, "key" drops, "" is malformed.
    static auto keyedRecord(std::string_view bytes) -> std::optional<keyed_record>
    {
        if (bytes.empty())
            return std::nullopt;
        const auto equals = bytes.find('=');
        keyed_record record{.key = std::string(bytes.substr(0, equals))};
        if (equals != std::string_view::npos)
            record.value = std::string(bytes.substr(equals + 1));
        return record;
    }
    static auto keyedBytes(std::string_view key, std::string_view value) -> std::string
    {
        return std::string(key) + "=" + std::string(value);
    }

    std::deque<log_newest_outcome> pages;
    std::deque<log_read_outcome> reads;
    std::vector<std::string> asked;
    std::vector<duration> waits;
    std::function<auto()->void> onIdle;
    // Called once, while the next read is under way.
    std::function<auto()->void> beforeAnswer;
};

static_assert(shared_log<scripted_log>);

class KeyedFollowerTest : public testing::Test
{
protected:
    KeyedFollowerTest()
    {
        m_log.onIdle = [this] { m_loop.stop(); };
        m_follower.onRecord = [this](const keyed_record &record) {
            m_seen.push_back(record.key + (record.value ? "=" + *record.value : " dropped"));
        };
        m_follower.onWhole = [this](const auto &keys) {
            m_seen.push_back("whole " + std::to_string(keys.size()));
        };
        m_follower.onLost = [this](const std::string &) { m_seen.emplace_back("lost"); };
        m_follower.onReturned = [this] { m_seen.emplace_back("returned"); };
        m_follower.onForgotten = [this](std::uint64_t offset) {
            m_seen.push_back("forgotten from " + std::to_string(offset));
        };
        m_follower.onMalformed = [this](std::string_view) { m_seen.emplace_back("malformed"); };
    }

    // Follows until all answers laid out are used up.
    auto follow() -> void
    {
        m_follower.start();
        m_loop.run();
    }

    event_loop m_loop;
    scripted_log m_log;
    keyed_follower<scripted_log> m_follower{
        m_loop, m_log, {.topic = "t", .pace = milliseconds(1), .retryAfter = milliseconds(1)}};
    std::vector<std::string> m_seen;
};

auto recordOf(const std::string &key, const std::string &value, std::uint64_t offset)
    -> keyed_record
{
    return {.key = key, .value = value, .offset = offset};
}

auto pageOf(std::vector<keyed_record> entries, std::uint64_t end, bool more = false)
    -> log_newest_page
{
    return {.entries = std::move(entries), .more = more, .endOffset = end};
}

TEST_F(KeyedFollowerTest, tellsTheNewestValuesAndThenEachRecord)
{
    m_log.pages = {pageOf({{.key = "a", .value = "1", .offset = 3}}, 5)};
    m_log.reads = {log_batch{.endOffset = 7, .firstOffset = 0, .records = {"a=2", "a"}}};
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1", "whole 1", "a=2", "a dropped"}));
    EXPECT_EQ(m_log.asked, (std::vector<std::string>{"newest ", "read 5", "read 7"}));
}

TEST_F(KeyedFollowerTest, readsOnFromTheEndOfTheFirstPage)
{
    m_log.pages = {pageOf({{.key = "a", .value = "1", .offset = 3}}, 5, true),
                   pageOf({{.key = "b", .value = "new", .offset = 6}}, 8)};
    m_log.reads
        = {log_batch{.endOffset = 8, .firstOffset = 0, .records = {"b=old", "b=new", "c=1"}}};
    follow();
    // The record at offset 5 is older than what the page said of its key.
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1", "b=new", "whole 2", "b=new", "c=1"}));
    EXPECT_EQ(m_log.asked[1], "newest a");
}

TEST_F(KeyedFollowerTest, beginsAnewWhereRecordsWereForgotten)
{
    const std::vector<log_read_outcome> gaps{log_expired{.firstOffset = 90},
                                             log_batch{.endOffset = 99, .firstOffset = 90},
                                             log_batch{.endOffset = 2, .firstOffset = 0}};
    for (const auto &gap : gaps) {
        m_seen.clear();
        m_log.pages = {pageOf({{.key = "a", .value = "1", .offset = 3}}, 5),
                       pageOf({{.key = "b", .value = "1", .offset = 1}}, 99)};
        m_log.reads = {gap};
        follow();
        EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1", "whole 1", "forgotten from 5", "b=1",
                                                    "whole 1"}));
    }
}

TEST_F(KeyedFollowerTest, anOutageIsToldOnceAndNothingIsSkipped)
{
    m_log.pages = {log_unavailable{}, pageOf({}, 5)};
    m_log.reads = {log_unavailable{}, log_unavailable{},
                   log_batch{.endOffset = 6, .firstOffset = 0, .records = {"a=1"}}};
    follow();
    EXPECT_EQ(m_seen,
              (std::vector<std::string>{"lost", "returned", "whole 0", "lost", "returned", "a=1"}));
    EXPECT_EQ(m_log.asked.back(), "read 6");
}

TEST_F(KeyedFollowerTest, aCallWaitsForNoRecordUntilTheServiceIsBack)
{
    keyed_follower<scripted_log> waiting(m_loop, m_log,
                                         {.topic = "t",
                                          .wait = milliseconds(2000),
                                          .pace = milliseconds(1),
                                          .retryAfter = milliseconds(1)});
    m_log.pages = {pageOf({}, 5)};
    m_log.reads = {log_unavailable{}, log_unavailable{}, log_batch{.endOffset = 5}};
    waiting.start();
    m_loop.run();
    EXPECT_EQ(m_log.waits, (std::vector<duration>{milliseconds(2000), {}, {}, milliseconds(2000)}));
}

// What another process told, at the start or later, does not show that the service answers this
// one.
TEST_F(KeyedFollowerTest, aCallWaitsForNoRecordBeforeTheServiceHasAnswered)
{
    keyed_follower<scripted_log> waiting(m_loop, m_log,
                                         {.topic = "t",
                                          .wait = milliseconds(2000),
                                          .pace = milliseconds(1),
                                          .retryAfter = milliseconds(1)});
    m_log.reads = {log_batch{.endOffset = 5}};
    ASSERT_TRUE(waiting.adopt({.end = 5}));
    m_loop.run();
    EXPECT_EQ(m_log.waits, (std::vector<duration>{{}, milliseconds(2000)}));
}

TEST_F(KeyedFollowerTest, aMalformedRecordCostsOnlyItself)
{
    m_log.pages = {pageOf({}, 0)};
    m_log.reads = {log_batch{.endOffset = 2, .firstOffset = 0, .records = {"", "a=1"}}};
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"whole 0", "malformed", "a=1"}));
}

TEST_F(KeyedFollowerTest, whatOthersReadIsNotReadAgain)
{
    m_log.pages = {pageOf({}, 5)};
    m_follower.onWhole = [this](const auto &) {
        const std::vector<keyed_record> news{recordOf("old", "1", 4), recordOf("a", "1", 6)};
        EXPECT_TRUE(m_follower.offer(4, 8, news));
        EXPECT_FALSE(m_follower.offer(3, 5, news)) << "older than what is known";
        EXPECT_FALSE(m_follower.offer(9, 12, std::vector{recordOf("b", "1", 9)})) << "leaves a gap";
    };
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1"}));
    EXPECT_EQ(m_log.asked, (std::vector<std::string>{"newest ", "read 8"}));
}

TEST_F(KeyedFollowerTest, whatIsOfferedDuringAReadIsToldOnce)
{
    m_log.pages = {pageOf({}, 5)};
    m_log.reads = {log_batch{.endOffset = 8, .firstOffset = 0, .records = {"a=1", "b=1", "c=1"}},
                   log_batch{.endOffset = 8, .firstOffset = 0}};
    std::vector<std::pair<std::uint64_t, std::uint64_t>> read;
    m_follower.onRead
        = [&read](std::uint64_t from, std::uint64_t end) { read.emplace_back(from, end); };
    m_log.beforeAnswer = [this] {
        m_follower.offer(5, 7, std::vector{recordOf("a", "1", 5), recordOf("b", "1", 6)});
    };
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"whole 0", "a=1", "b=1", "c=1"}));
    EXPECT_EQ(m_log.asked, (std::vector<std::string>{"newest ", "read 5", "read 8", "read 8"}));
    // What was offered is not passed on again, so it must not look as if it were.
    EXPECT_EQ(read.front(), std::pair(std::uint64_t{7}, std::uint64_t{8}));
}

TEST_F(KeyedFollowerTest, nothingIsTakenFromOthersUntilTheNewestValuesAreReadAgain)
{
    m_log.pages = {pageOf({}, 5), pageOf({}, 99)};
    m_log.reads = {log_expired{.firstOffset = 90}};
    m_follower.onForgotten = [this](std::uint64_t) {
        m_loop.post([this] { m_follower.offer(5, 6, std::vector{recordOf("a", "1", 5)}); });
    };
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"whole 0", "whole 0"}));
    EXPECT_EQ(m_log.asked.back(), "read 99");
}

TEST_F(KeyedFollowerTest, aServiceThatOthersReachIsNotLost)
{
    m_log.pages = {pageOf({}, 5)};
    m_log.reads = {log_unavailable{}, log_unavailable{},
                   log_batch{.endOffset = 6, .firstOffset = 0, .records = {"a=1"}}};
    m_follower.onWhole = [this](const auto &) { m_follower.offer(5, 5, {}); };
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1"}));
}

TEST_F(KeyedFollowerTest, whatAnotherProcessKnowsTakesThePlaceOfTheFirstRead)
{
    m_log.pages = {log_unavailable{}};
    m_log.reads = {log_batch{.endOffset = 9, .firstOffset = 0, .records = {"b=3"}}};
    m_follower.onLost = [this](const std::string &) {
        EXPECT_FALSE(m_follower.knowledge()) << "nothing is known yet";
        const topic_knowledge known{.end = 8,
                                    .records = {recordOf("a", "1", 3), recordOf("b", "2", 6)}};
        EXPECT_TRUE(m_follower.adopt(known));
        EXPECT_FALSE(m_follower.adopt(known)) << "all is known already";
    };
    follow();
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1", "b=2", "whole 2", "returned", "b=3"}));
    EXPECT_EQ(m_log.asked, (std::vector<std::string>{"newest ", "read 8", "read 9"}));
    const auto known = m_follower.knowledge();
    ASSERT_TRUE(known);
    EXPECT_EQ(known->end, 9U);
    EXPECT_EQ(known->records.size(), 2U);
}

TEST_F(KeyedFollowerTest, knowledgeLeavesOutWhatWasDropped)
{
    m_log.pages = {pageOf({recordOf("a", "1", 3), recordOf("b", "1", 4)}, 5)};
    m_log.reads = {log_batch{.endOffset = 7, .firstOffset = 0, .records = {"a=2", "b"}}};
    follow();
    const auto known = m_follower.knowledge();
    ASSERT_TRUE(known);
    ASSERT_EQ(known->records.size(), 1U);
    EXPECT_EQ(known->records.front().value, "2");
}

// A log whose first call for the newest values is answered when the test says so.
class slow_log : public scripted_log
{
public:
    auto newest(const std::string &, const std::string &, const log_newest_handler &done) -> void
    {
        waiting = done;
    }

    log_newest_handler waiting;
};

// Guards against a key that was dropped and comes back: a page of the newest values that was asked
// for before another process told all, and that arrives after the drop.
TEST(KeyedFollowerSlowLogTest, anOldPageBringsNoDroppedKeyBack)
{
    event_loop loop;
    slow_log log;
    log.onIdle = [&loop] { loop.stop(); };
    keyed_follower<slow_log> follower(
        loop, log, {.topic = "t", .pace = milliseconds(1), .retryAfter = milliseconds(1)});
    std::vector<std::string> seen;
    follower.onRecord = [&seen](const keyed_record &record) {
        seen.push_back(record.key + (record.value ? "=" + *record.value : " dropped"));
    };
    follower.start();
    follower.adopt({.end = 6, .records = {recordOf("a", "1", 5)}});
    const std::vector<keyed_record> dropped{{.key = "a", .value = std::nullopt, .offset = 6}};
    ASSERT_TRUE(follower.offer(6, 7, dropped));
    // As it stood when it was asked for.
    log.waiting(pageOf({recordOf("a", "1", 5)}, 6));
    EXPECT_EQ(seen, (std::vector<std::string>{"a=1", "a dropped"}));
    EXPECT_TRUE(follower.knowledge()->records.empty()) << "and it would be told to other processes";
}

} // namespace
} // namespace mustardline
