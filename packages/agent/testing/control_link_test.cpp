#include "agent/control_link.h"

#include <functional>
#include <memory>

#include <gtest/gtest.h>

#include "agent/testing/sample_configuration.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;

// An entry process whose replies a test defines; without `answer` its replies have no content.
struct fake_entry
{
    explicit fake_entry(event_loop &loop) : server(loop)
    {
        server.onMessage([this](std::string_view bytes) {
            v1::ControlRequest request;
            request.ParseFromString(std::string(bytes));
            ++messages;
            v1::ControlReply reply;
            if (answer)
                answer(request, reply);
            return reply.SerializeAsString();
        });
        port = std::get<std::uint16_t>(server.listen("127.0.0.1", 0));
    }

    control_server server;
    std::uint16_t port = 0;
    int messages = 0;
    std::function<auto(const v1::ControlRequest &, v1::ControlReply &)->void> answer;
};

class ControlLinkTest : public testing::Test
{
protected:
    ControlLinkTest() { applySample(m_published, endpoint_kind::model); }

    auto start(std::vector<socket_address> entries) -> void
    {
        m_link = std::make_unique<control_link>(m_loop, m_config, m_usage, m_log,
                                                control_link_options{.entries = std::move(entries),
                                                                     .sender = "e",
                                                                     .boot = 7,
                                                                     .period = milliseconds(20),
                                                                     .timeout = milliseconds(200)});
        m_link->onConfiguration([this] { m_offsets.push_back(m_config.offset()); });
        m_link->start();
    }

    auto until(std::function<auto()->bool> condition) -> void
    {
        const auto poll = m_loop.every(milliseconds(1), [&] {
            if (condition())
                m_loop.stop();
        });
        m_loop.run();
    }

    static auto addressOf(const fake_entry &entry) -> socket_address
    {
        return {.host = "127.0.0.1", .port = entry.port};
    }

    auto answerWithSnapshot() -> decltype(fake_entry::answer)
    {
        return [this](const v1::ControlRequest &request, v1::ControlReply &reply) {
            if (request.has_catch_up())
                *reply.mutable_catch_up()->mutable_snapshot() = m_published.snapshot();
            if (request.has_usage_push())
                reply.mutable_usage_push();
        };
    }

    // Adds a record at `offset` that sets the sample's key.
    static auto addKeyRecord(v1::CatchUpReply &reply, std::uint64_t offset, bool withdrawn) -> void
    {
        v1::LogRecord record;
        record.set_writer("w");
        record.set_sequence(offset);
        auto *change = record.mutable_configuration_change()->add_entities();
        change->set_kind(v1::ENTITY_KIND_KEY);
        change->set_id("k1");
        change->set_base_revision(5);
        *change->mutable_entity() = sampleKey(withdrawn);
        auto *entry = reply.add_records();
        entry->set_offset(offset);
        entry->set_record(record.SerializeAsString());
    }

    event_loop m_loop;
    logger m_log{{.sink = [](std::string_view) {}}};
    configuration m_published;
    configuration m_config;
    usage_meter m_usage{{.agent = "e", .boot = 7}};
    std::vector<std::uint64_t> m_offsets;
    std::unique_ptr<control_link> m_link;
};

TEST_F(ControlLinkTest, takesASnapshotAndTheRecordsAfterIt)
{
    fake_entry entry(m_loop);
    entry.answer = [this](const v1::ControlRequest &request, v1::ControlReply &reply) {
        auto *catchUp = reply.mutable_catch_up();
        if (request.catch_up().after_offset() == 0) {
            *catchUp->mutable_snapshot() = m_published.snapshot();
            catchUp->set_more(true);
        } else if (request.catch_up().after_offset() == 8) {
            addKeyRecord(*catchUp, 9, true);
        }
    };
    start({addressOf(entry)});
    until([&] { return m_config.offset() == 9; });
    EXPECT_TRUE(m_config.key("k1")->withdrawn());
    EXPECT_EQ(m_offsets, (std::vector<std::uint64_t>{8, 9}));
}

TEST_F(ControlLinkTest, fetchesALargeSnapshotInParts)
{
    configuration_feed feed(m_published, {.snapshotSplit = {.maxPartBytes = 64}});
    auto asked = 0;
    fake_entry entry(m_loop);
    entry.answer = [&](const v1::ControlRequest &request, v1::ControlReply &reply) {
        ++asked;
        *reply.mutable_catch_up() = feed.answer(request.catch_up());
    };
    start({addressOf(entry)});
    until([&] { return m_config.offset() == 8; });
    EXPECT_GT(asked, 5);
    EXPECT_EQ(m_config.snapshot().SerializeAsString(), m_published.snapshot().SerializeAsString());
}

TEST_F(ControlLinkTest, appliesNothingBeyondAGapAndNeverGoesBack)
{
    fake_entry entry(m_loop);
    auto older = m_published.snapshot();
    older.set_offset(3);
    older.clear_entities();
    entry.answer = [&](const v1::ControlRequest &, v1::ControlReply &reply) {
        auto *catchUp = reply.mutable_catch_up();
        if (entry.messages == 1)
            *catchUp->mutable_snapshot() = m_published.snapshot();
        else if (entry.messages == 2)
            *catchUp->mutable_snapshot() = older;
        else
            addKeyRecord(*catchUp, 10, true);
    };
    start({addressOf(entry)});
    until([&] { return entry.messages >= 5; });
    EXPECT_EQ(m_config.offset(), 8U);
    ASSERT_NE(m_config.key("k1"), nullptr);
    EXPECT_FALSE(m_config.key("k1")->withdrawn());
    EXPECT_EQ(m_offsets, (std::vector<std::uint64_t>{8}));
}

TEST_F(ControlLinkTest, asksTheNextEntryAfterAFailedOrEmptyReply)
{
    fake_entry emptyEntry(m_loop);
    fake_entry entry(m_loop);
    entry.answer = answerWithSnapshot();
    start({{.host = "127.0.0.1", .port = 1}, addressOf(emptyEntry), addressOf(entry)});
    until([&] { return m_config.offset() == 8; });
    EXPECT_GE(emptyEntry.messages, 1);
}

TEST_F(ControlLinkTest, pushesUsageUntilItIsDurableAndToAnotherEntryIfNeeded)
{
    fake_entry lossy(m_loop);
    fake_entry entry(m_loop);
    std::vector<std::uint64_t> seenByLossy;
    std::vector<std::uint64_t> seen;
    lossy.answer = [&](const v1::ControlRequest &request, v1::ControlReply &) {
        for (const auto &delta : request.usage_push().deltas())
            seenByLossy.push_back(delta.sequence());
    };
    entry.answer = [&](const v1::ControlRequest &request, v1::ControlReply &reply) {
        if (!request.has_usage_push())
            return;
        EXPECT_EQ(request.sender_boot(), 7U);
        for (const auto &delta : request.usage_push().deltas())
            seen.push_back(delta.sequence());
        // The first push is accepted but not durable yet.
        reply.mutable_usage_push()->set_durable_through_sequence(seen.size() > 2 ? 2 : 0);
    };
    m_usage.record({.clientAccount = "a", .requestClass = "c", .completionTokens = 1});
    m_usage.record({.clientAccount = "b", .requestClass = "c", .completionTokens = 2});
    start({addressOf(lossy), addressOf(entry)});
    until([&] { return m_usage.isEmpty(); });
    EXPECT_EQ(seenByLossy, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{1, 2, 1, 2}));
}

TEST_F(ControlLinkTest, answersProbesAndCatchUp)
{
    m_config.restore(m_published.snapshot());
    start({});
    const auto ask = [&](const v1::ControlRequest &request) {
        v1::LoadReply load;
        load.set_window(5);
        v1::ControlReply reply;
        reply.ParseFromString(m_link->answer(request.SerializeAsString(), load));
        return reply;
    };
    v1::ControlRequest request;
    request.mutable_load();
    EXPECT_EQ(ask(request).load().window(), 5U);
    EXPECT_EQ(ask(request).configuration_offset(), 8U);
    request.mutable_catch_up()->set_after_offset(3);
    const auto part = ask(request).catch_up().part();
    EXPECT_EQ(part.covers_offset(), 8U);
    EXPECT_EQ(part.parts(), 1U);
    v1::ConfigurationSnapshot snapshot;
    ASSERT_TRUE(snapshot.ParseFromString(part.data()));
    EXPECT_EQ(snapshot.offset(), 8U);
    request.mutable_catch_up()->set_after_offset(8);
    EXPECT_TRUE(ask(request).has_catch_up());
    EXPECT_FALSE(ask(request).catch_up().has_snapshot());
    EXPECT_FALSE(ask(request).catch_up().has_part());
    v1::ControlReply reply;
    reply.ParseFromString(m_link->answer("not a message", {}));
    EXPECT_EQ(reply.configuration_offset(), 8U);
}

} // namespace
} // namespace mustardline
