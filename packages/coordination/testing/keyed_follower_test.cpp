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
        calls.push_back("read " + std::to_string(request.from.offset));
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
    auto newest(const std::string &, const std::optional<std::string> &after,
                const log_newest_handler &done) -> void
    {
        calls.push_back("newest " + after.value_or(""));
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
        m_follower.onRecordsExpired = [this](const log_position &from) {
            m_events.push_back("expired from " + std::to_string(from.offset));
        };
        m_follower.onMalformed = [this](std::size_t records) {
            m_events.push_back("malformed " + std::to_string(records));
        };
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

auto at(std::uint64_t offset, std::uint64_t era = 0) -> log_position
{
    return {.era = era, .offset = offset};
}

auto recordOf(const std::string &key, const std::string &value, std::uint64_t offset)
    -> keyed_record
{
    return {.key = key, .value = value, .position = {.offset = offset}};
}

auto pageOf(std::vector<keyed_record> entries, std::uint64_t end, bool more = false)
    -> log_newest_page
{
    return {.entries = std::move(entries), .more = more, .end = {.offset = end}};
}

TEST_F(KeyedFollowerTest, reportsTheNewestValuesAndThenEachRecord)
{
    m_log.pages = {pageOf({{.key = "a", .value = "1", .position = {.offset = 3}}}, 5)};
    m_log.reads = {log_batch{.endOffset = 7, .firstOffset = 0, .records = {"a=2", "a"}}};
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "loaded 1", "a=2", "a deleted"}));
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "read 5", "read 7"}));
}

TEST_F(KeyedFollowerTest, continuesFromTheLogEndOfTheFirstPage)
{
    m_log.pages = {pageOf({{.key = "a", .value = "1", .position = {.offset = 3}}}, 5, true),
                   pageOf({{.key = "b", .value = "new", .position = {.offset = 6}}}, 8)};
    m_log.reads
        = {log_batch{.endOffset = 8, .firstOffset = 0, .records = {"b=old", "b=new", "c=1"}}};
    follow();
    // The record "b=old" at offset 5 is older than the page's record of its key.
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "b=new", "loaded 2", "b=new", "c=1"}));
    EXPECT_EQ(m_log.calls[1], "newest a");
}

TEST_F(KeyedFollowerTest, readsTheNewestValuesAgainWhenRecordsExpired)
{
    const std::vector<log_read_outcome> gaps{log_expired{.first = {.offset = 90}},
                                             log_batch{.endOffset = 99, .firstOffset = 90},
                                             log_batch{.endOffset = 2, .firstOffset = 0}};
    for (const auto &gap : gaps) {
        m_events.clear();
        m_log.pages = {pageOf({{.key = "a", .value = "1", .position = {.offset = 3}}}, 5),
                       pageOf({{.key = "b", .value = "1", .position = {.offset = 1}}}, 99)};
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
    ASSERT_TRUE(waiting.adopt({.end = {.offset = 5}}));
    m_loop.run();
    EXPECT_EQ(m_log.waits, (std::vector<duration>{{}, milliseconds(2000)}));
}

// Guards against a line for each of many records that cannot be decoded.
TEST_F(KeyedFollowerTest, skipsMalformedRecordsAndReportsTheirNumber)
{
    m_log.pages = {pageOf({}, 0)};
    m_log.reads = {log_batch{.endOffset = 3, .firstOffset = 0, .records = {"", "a=1", ""}}};
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"loaded 0", "a=1", "malformed 2"}));
}

TEST_F(KeyedFollowerTest, doesNotReadOfferedRecordsAgain)
{
    m_log.pages = {pageOf({}, 5)};
    m_follower.onLoaded = [this](const auto &) {
        const std::vector<keyed_record> peerRecords{recordOf("old", "1", 4), recordOf("a", "1", 6)};
        EXPECT_TRUE(m_follower.offer(at(4), at(8), peerRecords));
        EXPECT_FALSE(m_follower.offer(at(3), at(5), peerRecords))
            << "ends before what was already read";
        EXPECT_FALSE(m_follower.offer(at(9), at(12), std::vector{recordOf("b", "1", 9)}))
            << "leaves a gap";
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
    m_follower.onRead = [&read](const log_position &from, const log_position &end) {
        read.emplace_back(from.offset, end.offset);
    };
    m_log.beforeAnswer = [this] {
        m_follower.offer(at(5), at(7), std::vector{recordOf("a", "1", 5), recordOf("b", "1", 6)});
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
    m_log.reads = {log_expired{.first = {.offset = 90}}};
    m_follower.onRecordsExpired = [this](const log_position &) {
        m_loop.post([this] { m_follower.offer(at(5), at(6), std::vector{recordOf("a", "1", 5)}); });
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
    m_follower.onLoaded = [this](const auto &) { m_follower.offer(at(5), at(5), {}); };
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1"}));
}

TEST_F(KeyedFollowerTest, adoptedValuesReplaceTheFirstRead)
{
    m_log.pages = {log_unavailable{}};
    m_log.reads = {log_batch{.endOffset = 9, .firstOffset = 0, .records = {"b=3"}}};
    m_follower.onUnavailable = [this](const std::string &) {
        EXPECT_FALSE(m_follower.knowledge()) << "nothing has been read yet";
        const topic_snapshot known{.end = {.offset = 8},
                                   .records = {recordOf("a", "1", 3), recordOf("b", "2", 6)}};
        EXPECT_TRUE(m_follower.adopt(known));
        EXPECT_FALSE(m_follower.adopt(known)) << "the values were already adopted";
    };
    follow();
    EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "b=2", "loaded 2", "available", "b=3"}));
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "read 8", "read 9"}));
    const auto known = m_follower.knowledge();
    ASSERT_TRUE(known);
    EXPECT_EQ(known->end, (log_position{.offset = 9}));
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

// Guards against keys that are taken for deleted because a load passed over them.
TEST_F(KeyedFollowerTest, aLoadWhosePagesDoNotLeadOnDeletesNothingAndIsRepeated)
{
    keyed_follower<scripted_log> follower(m_loop, m_log,
                                          {.topic = "t",
                                           .readPause = milliseconds(1),
                                           .retryAfter = milliseconds(1),
                                           .reloadAfter = milliseconds(1)});
    follower.onLoaded = m_follower.onLoaded;
    const auto sound = pageOf({recordOf("a", "1", 1), recordOf("b", "1", 2)}, 5);
    m_log.pages = {sound, pageOf({recordOf("b", "1", 2)}, 9, true), pageOf({}, 9, true),
                   pageOf({}, 9), pageOf({recordOf("b", "1", 2)}, 9)};
    m_log.reads
        = {log_expired{.first = {.offset = 9}}, log_batch{.endOffset = 9, .firstOffset = 9}};
    follower.start();
    m_loop.run();
    EXPECT_EQ(m_events, (std::vector<std::string>{"loaded 2", "loaded 2", "loaded 1"}));
}

auto pageOfEra(std::uint64_t era, std::vector<keyed_record> entries, std::uint64_t end,
               bool more = false) -> log_newest_page
{
    for (auto &entry : entries)
        entry.position.era = era;
    return {.entries = std::move(entries), .more = more, .end = at(end, era)};
}

// Guards against a follower that reads on at its offset after the log came back from an older copy:
// records at offsets that were given out again would never be reported.
TEST_F(KeyedFollowerTest, readsTheNewestValuesAgainInALaterEra)
{
    const std::vector<log_read_outcome> answers{
        log_batch{.era = 2, .endOffset = 6, .records = {"b=1"}},
        log_batch{.era = 2, .endOffset = 5}, log_batch{.era = 2, .endOffset = 3},
        log_expired{.first = at(0, 2)}};
    for (const auto &answer : answers) {
        m_events.clear();
        m_log.calls.clear();
        m_log.pages = {pageOfEra(1, {recordOf("a", "1", 4)}, 5),
                       pageOfEra(2, {recordOf("a", "2", 4), recordOf("b", "1", 5)}, 6)};
        m_log.reads = {answer, log_batch{.era = 2, .endOffset = 7, .records = {"a=3"}}};
        keyed_follower<scripted_log> follower(
            m_loop, m_log,
            {.topic = "t",
             .readPause = milliseconds(1),
             .values = {.compare = [](const auto &left, const auto &right) {
                 return std::partial_ordering(*left.value <=> *right.value);
             }}});
        follower.onRecord = m_follower.onRecord;
        follower.onEraEnded = [this](const log_position &from) {
            m_events.push_back("era " + std::to_string(from.era) + " ended");
        };
        follower.start();
        m_loop.run();
        EXPECT_EQ(m_events, (std::vector<std::string>{"a=1", "era 1 ended", "a=2", "b=1", "a=3"}));
        EXPECT_EQ(m_log.calls,
                  (std::vector<std::string>{"newest ", "read 5", "newest ", "read 6", "read 7"}));
        EXPECT_EQ(follower.position(), at(7, 2));
    }
}

// Guards against pages of two eras that are taken for one state of the topic.
TEST_F(KeyedFollowerTest, startsAnewIfTheEraEndsBetweenTwoPages)
{
    m_log.pages = {pageOfEra(1, {recordOf("a", "1", 4)}, 5, true),
                   pageOfEra(2, {recordOf("b", "1", 2)}, 3), pageOfEra(2, {}, 3)};
    follow();
    EXPECT_EQ(m_log.calls, (std::vector<std::string>{"newest ", "newest a", "newest ", "read 3"}));
    EXPECT_EQ(m_follower.position(), at(3, 2));
}

// Guards against records of another era that fit by their offsets.
TEST_F(KeyedFollowerTest, ignoresOffersOfAnotherEra)
{
    m_log.pages = {pageOfEra(2, {}, 5)};
    m_follower.onLoaded = [this](const auto &) {
        for (const auto era : {1U, 3U}) {
            auto record = recordOf("a", "1", 5);
            record.position.era = era;
            EXPECT_FALSE(m_follower.offer(at(5, era), at(6, era), std::vector{record}));
        }
    };
    follow();
    EXPECT_TRUE(m_events.empty());
    EXPECT_EQ(m_follower.position(), at(5, 2));
    EXPECT_EQ(m_follower.otherEraOfferCount(), 2U);
}

// Guards against a process that passes on the older value of the copy as the newest one.
TEST_F(KeyedFollowerTest, passesOnWhatTheLogHasLost)
{
    m_log.pages = {pageOfEra(1, {recordOf("a", "1", 4)}, 5), pageOfEra(2, {}, 3)};
    m_log.reads = {log_batch{.era = 2, .endOffset = 3}};
    follow();
    const auto known = m_follower.knowledge();
    ASSERT_TRUE(known);
    ASSERT_EQ(known->records.size(), 1U);
    EXPECT_EQ(known->records.front().position, at(4, 1));
    EXPECT_EQ(m_follower.keptCount(), 1U);

    // A process that has read the copy takes it from there, and gives it up if nobody writes it.
    scripted_log copy;
    copy.onIdle = [] {};
    copy.pages = {pageOfEra(2, {}, 3)};
    keyed_follower<scripted_log> other(m_loop, copy,
                                       {.topic = "t", .values = {.rewriteTime = milliseconds(20)}});
    other.onRecord = [this](const keyed_record &record) {
        m_events.push_back(record.value ? "learned" : "given up");
        if (!record.value)
            m_loop.stop();
    };
    other.start();
    m_events.clear();
    other.learn(*known);
    m_loop.run();
    EXPECT_EQ(m_events, (std::vector<std::string>{"learned", "given up"}));
}

// A log that stores the handler of a call for the newest values, for the test to answer it later.
class deferred_log : public scripted_log
{
public:
    auto newest(const std::string &, const std::optional<std::string> &,
                const log_newest_handler &done) -> void
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
    follower.adopt({.end = {.offset = 6}, .records = {recordOf("a", "1", 5)}});
    const std::vector<keyed_record> deletions{
        {.key = "a", .value = std::nullopt, .position = {.offset = 6}}};
    ASSERT_TRUE(follower.offer(at(6), at(7), deletions));
    // The page is from the time of the request, before the deletion.
    log.pendingHandler(pageOf({recordOf("a", "1", 5)}, 6));
    EXPECT_EQ(events, (std::vector<std::string>{"a=1", "a deleted"}));
    EXPECT_TRUE(follower.knowledge()->records.empty())
        << "a revived key would be passed on to other processes";
}

} // namespace
} // namespace mustardline
