#include "coordination/keyed_follower.h"

#include <deque>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using std::chrono::milliseconds;

// A log with prepared answers, which records the calls.
class scripted_log
{
public:
    auto read(const log_read_request &request, const log_read_handler &done) -> void
    {
        calls.push_back("read " + std::to_string(request.offset));
        waits.push_back(request.wait);
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
        calls.push_back("newest " + after);
        const auto outcome = pages.front();
        pages.pop_front();
        done(outcome);
    }
    auto append(const log_append_request &, const log_append_handler &done) -> void
    {
        done(log_unavailable{});
    }

    // "key=value" sets a value, "key" deletes the key, "" is malformed.
    static auto decodeKeyedRecord(std::string_view bytes) -> std::optional<keyed_record>
    {
        if (bytes.empty())
            return std::nullopt;
        const auto equals = bytes.find('=');
        keyed_record record{.key = std::string(bytes.substr(0, equals))};
        if (equals != std::string_view::npos)
            record.value = std::string(bytes.substr(equals + 1));
        return record;
    }
    static auto encodeKeyedRecord(std::string_view key, std::string_view value) -> std::string
    {
        return std::string(key) + "=" + std::string(value);
    }

    std::deque<log_newest_outcome> pages;
    std::deque<log_read_outcome> reads;
    std::vector<std::string> calls;
    std::vector<duration> waits;
    std::function<auto()->void> onIdle;
    // Called once, while the next read is in progress.
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
            m_events.push_back(record.key + (record.value ? "=" + *record.value : " deleted"));
        };
        m_follower.onLoaded = [this](const auto &keys) {
            m_events.push_back("loaded " + std::to_string(keys.size()));
        };
        m_follower.onUnavailable
            = [this](const std::string &) { m_events.emplace_back("unavailable"); };
        m_follower.onAvailable = [this] { m_events.emplace_back("available"); };
        m_follower.onRecordsExpired = [this](std::uint64_t offset) {
            m_events.push_back("expired from " + std::to_string(offset));
        };
        m_follower.onMalformed = [this](std::string_view) { m_events.emplace_back("malformed"); };
    }

    // Follows the topic until all prepared answers are used.
    auto follow() -> void
    {
        m_follower.start();
        m_loop.run();
    }

    event_loop m_loop;
    scripted_log m_log;
    keyed_follower<scripted_log> m_follower{
        m_loop, m_log, {.topic = "t", .readPause = milliseconds(1), .retryAfter = milliseconds(1)}};
    std::vector<std::string> m_events;
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

TEST_F(KeyedFollowerTest, reportsTheNewestValuesAndThenEachRecord)
{
    m_log.pages = {pageOf({{.key = "a", .value = "1", .offset = 3}}, 5)};
    m_log.reads = {log_batch{.endOffset = 7, .firstOffset = 0, .records = {"a=2", "a"}}};
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "loaded 1", "a=2", "a deleted"}));
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "read 5", "read 7"}));
}

TEST_F(KeyedFollowerTest, continuesFromTheLogEndOfTheFirstPage)
{
    m_log.pages = {pageOf({{.key = "a", .value = "1", .offset = 3}}, 5, true),
                   pageOf({{.key = "b", .value = "new", .offset = 6}}, 8)};
    m_log.reads
        = {log_batch{.endOffset = 8, .firstOffset = 0, .records = {"b=old", "b=new", "c=1"}}};
    follow();
    // The record "b=old" at offset 5 is older than the page's record of its key.
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "b=new", "loaded 2", "b=new", "c=1"}));
    EXPECT_EQ(m_log.calls[1], "newest a");
}

TEST_F(KeyedFollowerTest, readsTheNewestValuesAgainWhenRecordsExpired)
{
    const std::vector<log_read_outcome> gaps{log_expired{.firstOffset = 90},
                                             log_batch{.endOffset = 99, .firstOffset = 90},
                                             log_batch{.endOffset = 2, .firstOffset = 0}};
    for (const auto &gap : gaps) {
        m_events.clear();
        m_log.pages = {pageOf({{.key = "a", .value = "1", .offset = 3}}, 5),
                       pageOf({{.key = "b", .value = "1", .offset = 1}}, 99)};
        m_log.reads = {gap};
        follow();
        EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "loaded 1", "expired from 5", "b=1",
                                                      "loaded 1"}));
    }
}

TEST_F(KeyedFollowerTest, reportsAnOutageOnceAndSkipsNothing)
{
    m_log.pages = {log_unavailable{}, pageOf({}, 5)};
    m_log.reads = {log_unavailable{}, log_unavailable{},
                   log_batch{.endOffset = 6, .firstOffset = 0, .records = {"a=1"}}};
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"unavailable", "available", "loaded 0",
                                                  "unavailable", "available", "a=1"}));
    EXPECT_EQ(m_log.calls.back(), "read 6");
}

TEST_F(KeyedFollowerTest, readsDoNotWaitUntilTheServiceIsBack)
{
    keyed_follower<scripted_log> waiting(m_loop, m_log,
                                         {.topic = "t",
                                          .wait = milliseconds(2000),
                                          .readPause = milliseconds(1),
                                          .retryAfter = milliseconds(1)});
    m_log.pages = {pageOf({}, 5)};
    m_log.reads = {log_unavailable{}, log_unavailable{}, log_batch{.endOffset = 5}};
    waiting.start();
    m_loop.run();
    EXPECT_EQ(m_log.waits, (std::vector<duration>{milliseconds(2000), {}, {}, milliseconds(2000)}));
}

// Guards against a record that takes effect late because the read that waited for it was lost with
// its connection: the next read follows at once, and only those after it pause.
TEST_F(KeyedFollowerTest, firstReadAfterALostOneFollowsAtOnce)
{
    keyed_follower<scripted_log> pausing(
        m_loop, m_log,
        {.topic = "t", .readPause = milliseconds(1), .retryAfter = std::chrono::hours(1)});
    const auto guard = m_loop.after(std::chrono::seconds(5), [this] { m_loop.stop(); });
    m_log.pages = {pageOf({}, 5)};
    m_log.reads = {log_batch{.endOffset = 5}, log_unavailable{},
                   log_batch{.endOffset = 6, .firstOffset = 5, .records = {"a=1"}}};
    pausing.start();
    m_loop.run();
    EXPECT_EQ(m_log.calls,
              (std::vector<std::string>{"newest ", "read 5", "read 5", "read 5", "read 6"}));
}

// Adopting the values of another process does not show that the service answers this one.
TEST_F(KeyedFollowerTest, readsDoNotWaitBeforeTheServiceHasAnswered)
{
    keyed_follower<scripted_log> waiting(m_loop, m_log,
                                         {.topic = "t",
                                          .wait = milliseconds(2000),
                                          .readPause = milliseconds(1),
                                          .retryAfter = milliseconds(1)});
    m_log.reads = {log_batch{.endOffset = 5}};
    ASSERT_TRUE(waiting.adopt({.end = 5}));
    m_loop.run();
    EXPECT_EQ(m_log.waits, (std::vector<duration>{{}, milliseconds(2000)}));
}

TEST_F(KeyedFollowerTest, skipsAMalformedRecord)
{
    m_log.pages = {pageOf({}, 0)};
    m_log.reads = {log_batch{.endOffset = 2, .firstOffset = 0, .records = {"", "a=1"}}};
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"loaded 0", "malformed", "a=1"}));
}

TEST_F(KeyedFollowerTest, doesNotReadOfferedRecordsAgain)
{
    m_log.pages = {pageOf({}, 5)};
    m_follower.onLoaded = [this](const auto &) {
        const std::vector<keyed_record> peerRecords{recordOf("old", "1", 4), recordOf("a", "1", 6)};
        EXPECT_TRUE(m_follower.offer(4, 8, peerRecords));
        EXPECT_FALSE(m_follower.offer(3, 5, peerRecords)) << "ends before what was already read";
        EXPECT_FALSE(m_follower.offer(9, 12, std::vector{recordOf("b", "1", 9)})) << "leaves a gap";
    };
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1"}));
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "read 8"}));
}

TEST_F(KeyedFollowerTest, reportsRecordsOfferedDuringAReadOnce)
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
    EXPECT_EQ(m_events, (std::vector<std::string>{"loaded 0", "a=1", "b=1", "c=1"}));
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "read 5", "read 8", "read 8"}));
    // Records that a peer offered must not be reported by onRead, or they would be forwarded again.
    EXPECT_EQ(read.front(), std::pair(std::uint64_t{7}, std::uint64_t{8}));
}

TEST_F(KeyedFollowerTest, ignoresOffersUntilTheNewestValuesAreReadAgain)
{
    m_log.pages = {pageOf({}, 5), pageOf({}, 99)};
    m_log.reads = {log_expired{.firstOffset = 90}};
    m_follower.onRecordsExpired = [this](std::uint64_t) {
        m_loop.post([this] { m_follower.offer(5, 6, std::vector{recordOf("a", "1", 5)}); });
    };
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"loaded 0", "loaded 0"}));
    EXPECT_EQ(m_log.calls.back(), "read 99");
}

TEST_F(KeyedFollowerTest, reportsNoOutageWhilePeersReachTheService)
{
    m_log.pages = {pageOf({}, 5)};
    m_log.reads = {log_unavailable{}, log_unavailable{},
                   log_batch{.endOffset = 6, .firstOffset = 0, .records = {"a=1"}}};
    m_follower.onLoaded = [this](const auto &) { m_follower.offer(5, 5, {}); };
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1"}));
}

TEST_F(KeyedFollowerTest, adoptedValuesReplaceTheFirstRead)
{
    m_log.pages = {log_unavailable{}};
    m_log.reads = {log_batch{.endOffset = 9, .firstOffset = 0, .records = {"b=3"}}};
    m_follower.onUnavailable = [this](const std::string &) {
        EXPECT_FALSE(m_follower.knowledge()) << "nothing has been read yet";
        const topic_snapshot known{.end = 8,
                                   .records = {recordOf("a", "1", 3), recordOf("b", "2", 6)}};
        EXPECT_TRUE(m_follower.adopt(known));
        EXPECT_FALSE(m_follower.adopt(known)) << "the values were already adopted";
    };
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "b=2", "loaded 2", "available", "b=3"}));
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "read 8", "read 9"}));
    const auto known = m_follower.knowledge();
    ASSERT_TRUE(known);
    EXPECT_EQ(known->end, 9U);
    EXPECT_EQ(known->records.size(), 2U);
}

TEST_F(KeyedFollowerTest, knowledgeOmitsDeletedKeys)
{
    m_log.pages = {pageOf({recordOf("a", "1", 3), recordOf("b", "1", 4)}, 5)};
    m_log.reads = {log_batch{.endOffset = 7, .firstOffset = 0, .records = {"a=2", "b"}}};
    follow();
    const auto known = m_follower.knowledge();
    ASSERT_TRUE(known);
    ASSERT_EQ(known->records.size(), 1U);
    EXPECT_EQ(known->records.front().value, "2");
}

// A log that stores the handler of a call for the newest values, for the test to answer it later.
class deferred_log : public scripted_log
{
public:
    auto newest(const std::string &, const std::string &, const log_newest_handler &done) -> void
    {
        pendingHandler = done;
    }

    log_newest_handler pendingHandler;
};

// Guards against a deleted key that comes back: a page of the newest values that was requested
// before the values of another process were adopted arrives after the key's deletion.
TEST(KeyedFollowerDeferredLogTest, aLatePageDoesNotReviveADeletedKey)
{
    event_loop loop;
    deferred_log log;
    log.onIdle = [&loop] { loop.stop(); };
    keyed_follower<deferred_log> follower(
        loop, log, {.topic = "t", .readPause = milliseconds(1), .retryAfter = milliseconds(1)});
    std::vector<std::string> events;
    follower.onRecord = [&events](const keyed_record &record) {
        events.push_back(record.key + (record.value ? "=" + *record.value : " deleted"));
    };
    follower.start();
    follower.adopt({.end = 6, .records = {recordOf("a", "1", 5)}});
    const std::vector<keyed_record> deletions{{.key = "a", .value = std::nullopt, .offset = 6}};
    ASSERT_TRUE(follower.offer(6, 7, deletions));
    // The page is from the time of the request, before the deletion.
    log.pendingHandler(pageOf({recordOf("a", "1", 5)}, 6));
    EXPECT_EQ(events, (std::vector<std::string>{"a=1", "a deleted"}));
    EXPECT_TRUE(follower.knowledge()->records.empty())
        << "a revived key would be passed on to other processes";
}

} // namespace
} // namespace mustardline
