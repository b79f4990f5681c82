#include "forwarding/stream_log.h"

#include <gtest/gtest.h>

#include "net/testing/raw_peer.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

// A log in memory, of one topic, which can fail and come back from a copy.
class memory_log
{
public:
    auto read(const log_read_request &request, const log_read_handler &done) -> void
    {
        ++reads;
        if (isDown)
            done(log_unavailable{});
        else if (request.from.offset < first || request.from.offset > end())
            done(log_expired{.first = {.era = era, .offset = first}});
        else
            done(log_batch{
                .era = era,
                .endOffset = end(),
                .firstOffset = first,
                .records
                = {records.begin() + static_cast<std::ptrdiff_t>(request.from.offset - first),
                   records.end()}});
    }
    auto newest(const std::string &, const std::optional<std::string> &,
                const log_newest_handler &done) -> void
    {
        done(log_unavailable{});
    }
    auto append(const log_append_request &request, const log_append_handler &done) -> void
    {
        ++appends;
        if (isDown) {
            done(log_unavailable{.mayHaveTakenEffect = true});
            return;
        }
        records.insert(records.end(), request.records.begin(), request.records.end());
        done(log_appended{});
    }
    static auto decodeKeyedRecord(std::string_view) -> std::optional<keyed_record>
    {
        return std::nullopt;
    }
    static auto encodeKeyedRecord(std::string_view, std::string_view) -> std::string { return {}; }

    [[nodiscard]] auto end() const -> std::uint64_t { return first + records.size(); }

    std::vector<std::string> records;
    std::uint64_t first = 0;
    std::uint64_t era = 1;
    bool isDown = false;
    int reads = 0;
    int appends = 0;
};

static_assert(shared_log<memory_log>);

class StreamLogTest : public testing::Test
{
protected:
    StreamLogTest()
    {
        m_reader.onRead = [this](std::uint64_t stream, const stream_origin &origin) {
            m_read.emplace_back(stream, origin.service + " " + origin.version);
        };
    }

    auto add(std::uint64_t stream, const std::string &version) -> void
    {
        m_writer.add(stream, {.service = "chat", .version = version});
    }
    auto awaitRecords(std::size_t count) -> bool
    {
        return runUntil(m_loop, [&] { return m_log.records.size() >= count; });
    }
    // What a read passes on.
    auto read() -> std::vector<std::pair<std::uint64_t, std::string>>
    {
        m_read.clear();
        bool isDone = false;
        m_reader.read([&] { isDone = true; });
        EXPECT_TRUE(isDone);
        return m_read;
    }

    event_loop m_loop;
    memory_log m_log;
    stream_log<memory_log> m_writer{m_loop, m_log, {.topic = "streams"}};
    stream_log<memory_log> m_reader{m_loop, m_log, {.topic = "streams"}};
    std::vector<std::pair<std::uint64_t, std::string>> m_read;
};

using stream_list = std::vector<std::pair<std::uint64_t, std::string>>;

TEST_F(StreamLogTest, streamsOfAnIntervalAreAppendedTogether)
{
    add(1, "v1");
    add(2, "v2");
    add(3, "v1");
    ASSERT_TRUE(awaitRecords(2));
    EXPECT_EQ(m_log.appends, 1);
    EXPECT_EQ(read(), (stream_list{{1, "chat v1"}, {3, "chat v1"}, {2, "chat v2"}}));
}

TEST_F(StreamLogTest, eachReadGoesOnWhereTheLastOneEnded)
{
    add(1, "v1");
    ASSERT_TRUE(awaitRecords(1));
    EXPECT_EQ(read().size(), 1U);
    EXPECT_TRUE(read().empty());
    add(2, "v1");
    ASSERT_TRUE(awaitRecords(2));
    EXPECT_EQ(read(), (stream_list{{2, "chat v1"}}));
}

// Guards against streams that are lost because the log was away for a moment.
TEST_F(StreamLogTest, streamsAreAppendedAgainAfterAFailure)
{
    m_log.isDown = true;
    add(1, "v1");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log.appends >= 2; }));
    EXPECT_TRUE(read().empty()) << "a failed read ends, too";
    m_log.isDown = false;
    ASSERT_TRUE(awaitRecords(1));
    EXPECT_EQ(read(), (stream_list{{1, "chat v1"}}));
}

TEST_F(StreamLogTest, expiredRecordsAreSkipped)
{
    for (std::uint64_t stream = 1; stream <= 3; ++stream) {
        add(stream, "v1");
        ASSERT_TRUE(awaitRecords(stream));
    }
    m_log.records.erase(m_log.records.begin(), m_log.records.begin() + 2);
    m_log.first = 2;
    EXPECT_EQ(read(), (stream_list{{3, "chat v1"}}));
}

// Guards against a reader that stays beyond the end of a log that came back from an older copy.
TEST_F(StreamLogTest, aLogThatCameBackFromACopyIsReadAnew)
{
    for (std::uint64_t stream = 1; stream <= 3; ++stream) {
        add(stream, "v1");
        ASSERT_TRUE(awaitRecords(stream));
    }
    EXPECT_EQ(read().size(), 3U);
    m_log.era = 2;
    m_log.records.resize(1);
    add(4, "v2");
    ASSERT_TRUE(awaitRecords(2));
    EXPECT_EQ(read(), (stream_list{{1, "chat v1"}, {4, "chat v2"}}));
}

TEST_F(StreamLogTest, recordsOfOthersAreIgnored)
{
    m_log.records = {"\xff\xff\xff", ""};
    add(1, "v1");
    ASSERT_TRUE(awaitRecords(3));
    EXPECT_EQ(read(), (stream_list{{1, "chat v1"}}));
}

// Guards against a take-up whose stream was appended after the read that answers it had begun.
TEST_F(StreamLogTest, aCallDuringAReadIsAnsweredByTheNextOne)
{
    std::vector<std::string> order;
    m_reader.read([&] {
        order.emplace_back("first");
        m_reader.read([&] { order.emplace_back("second"); });
    });
    EXPECT_EQ(order, (std::vector<std::string>{"first", "second"}));
    EXPECT_EQ(m_log.reads, 2);
}

TEST_F(StreamLogTest, manyEdgesAppendLessOftenEach)
{
    m_writer.setEdgeCount(100);
    system_runtime_clock clock;
    const auto before = clock.now();
    add(1, "v1");
    ASSERT_TRUE(awaitRecords(1));
    EXPECT_GE(clock.now() - before, 950ms);
}

} // namespace

} // namespace mustardline
