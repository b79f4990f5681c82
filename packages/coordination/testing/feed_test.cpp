#include <gtest/gtest.h>

#include "coordination/configuration_feed.h"
#include "coordination/configuration_history.h"
#include "coordination/testing/configuration_records.h"

namespace mustardline {
namespace {

auto entriesOf(const std::vector<v1::LogRecord> &records) -> std::vector<v1::LogEntry>
{
    std::vector<v1::LogEntry> entries;
    for (const auto &record : records) {
        auto &entry = entries.emplace_back();
        entry.set_offset(entries.size());
        entry.set_record(record.SerializeAsString());
    }
    return entries;
}

auto smallConfiguration() -> std::vector<v1::LogRecord>
{
    return configurationRecords(
        {.accounts = 20, .keysPerAccount = 2, .endpoints = 10, .dataCentres = 2, .classes = 2});
}

TEST(SnapshotPartsTest, areAssembledInAnyOrderAndOnlyOnce)
{
    const std::string data(1000, 'x');
    auto parts = splitSnapshot(data + "end", 7, {.maxPartBytes = 100});
    ASSERT_EQ(parts.size(), 11);
    snapshot_assembler assembler;
    for (std::size_t i = parts.size(); i-- > 1;) {
        EXPECT_FALSE(assembler.add(parts[i]));
        EXPECT_FALSE(assembler.add(parts[i]));
    }
    const auto complete = assembler.add(parts[0]);
    ASSERT_TRUE(complete);
    EXPECT_EQ(complete->data, data + "end");
    EXPECT_EQ(complete->coversOffset, 7);
    EXPECT_FALSE(assembler.add(parts[0])) << "parts of an old snapshot are ignored";
    EXPECT_TRUE(snapshot_assembler().add(splitSnapshot("", 1, {})[0]));
}

TEST(SnapshotPartsTest, aReaderStartsAtTheNewestCompleteSnapshot)
{
    const auto records = smallConfiguration();
    configuration writer;
    std::vector<std::pair<std::uint64_t, v1::LogRecord>> log;
    const auto append = [&](const v1::LogRecord &record) {
        log.emplace_back(log.size() + 1, record);
        writer.apply(log.size(), record);
    };
    for (std::size_t i = 0; i < records.size(); ++i) {
        append(records[i]);
        if (i % 30 != 29)
            continue;
        const auto parts = splitSnapshot(writer.snapshot().SerializeAsString(), writer.offset(),
                                         {.maxPartBytes = 2'000});
        for (const auto &part : parts) {
            v1::LogRecord record;
            record.set_writer("snapshots");
            record.set_sequence(log.size() + 1);
            *record.mutable_snapshot_part() = part;
            append(record);
        }
    }
    // Wherever the log begins, a reader reaches the writer's state or reports that it is not ready.
    int readyCount = 0;
    for (std::uint64_t oldest = 1; oldest <= log.size(); ++oldest) {
        replay_start start(oldest);
        for (auto offset = oldest; offset <= log.size(); ++offset)
            start.add(offset, log[offset - 1].second);
        if (!start.isReady())
            continue;
        ++readyCount;
        configuration reader;
        if (start.snapshot()) {
            v1::ConfigurationSnapshot snapshot;
            ASSERT_TRUE(snapshot.ParseFromString(start.snapshot()->data));
            reader.restore(std::move(snapshot));
        }
        for (const auto &[offset, record] : start.tail())
            reader.apply(offset, record);
        ASSERT_EQ(reader.snapshot().SerializeAsString(), writer.snapshot().SerializeAsString())
            << oldest;
    }
    EXPECT_GT(readyCount, 60);
}

TEST(SnapshotPartsTest, aSnapshotIsDueAfterTheInterval)
{
    snapshot_schedule schedule({.interval = 100});
    EXPECT_FALSE(schedule.isDue(99));
    EXPECT_TRUE(schedule.isDue(100));
    schedule.markStarted(100);
    EXPECT_FALSE(schedule.isDue(199));
    EXPECT_TRUE(schedule.isDue(200));
    v1::LogRecord record;
    *record.mutable_snapshot_part() = splitSnapshot("data", 150, {})[0];
    schedule.observe(record);
    EXPECT_FALSE(schedule.isDue(249));
    EXPECT_TRUE(schedule.isDue(250));
}

struct feed_case
{
    const char *name;
    std::size_t maxRetainedBytes;
};

class FeedTest : public testing::TestWithParam<feed_case>
{};

// A peer at any offset reaches the end, by records or by a snapshot, in replies of bounded size.
TEST_P(FeedTest, bringsAPeerFromAnyOffsetToTheEnd)
{
    const auto entries = entriesOf(smallConfiguration());
    configuration config;
    configuration_feed feed(config, {.maxRetainedBytes = GetParam().maxRetainedBytes,
                                     .maxReplyBytes = 1'000,
                                     .snapshotSplit = {.maxPartBytes = 1'000}});
    EXPECT_TRUE(feed.add(entries));
    EXPECT_FALSE(feed.add(entries));
    for (std::size_t begin = 0; begin <= entries.size(); ++begin) {
        configuration peerConfig;
        configuration_feed peer(peerConfig, {});
        peer.add(std::span(entries).first(begin));
        for (int requestCount = 0; requestCount < 100 && peer.offset() < feed.offset();
             ++requestCount) {
            const auto reply = feed.answer(peer.request());
            EXPECT_LT(reply.ByteSizeLong(), 1'600U);
            EXPECT_TRUE(peer.applyReply(reply));
        }
        ASSERT_EQ(peerConfig.snapshot().SerializeAsString(), config.snapshot().SerializeAsString());
        EXPECT_FALSE(peer.applyReply(feed.answer(peer.request())));
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, FeedTest,
                         testing::Values(feed_case{"records", 1U << 20U},
                                         feed_case{"parts", 2'000}),
                         [](const auto &info) { return info.param.name; });

TEST(FeedReplyTest, aCachedSnapshotIsServedWhileTheConfigurationChanges)
{
    const auto entries = entriesOf(smallConfiguration());
    configuration config;
    configuration_feed feed(config,
                            {.maxRetainedBytes = 3'000, .snapshotSplit = {.maxPartBytes = 500}});
    feed.add(std::span(entries).first(entries.size() - 5));
    configuration peerConfig;
    configuration_feed peer(peerConfig, {});
    for (int requestCount = 0; requestCount < 200 && peer.offset() < entries.size();
         ++requestCount) {
        if (requestCount < 5)
            feed.add(std::span(entries).subspan(
                entries.size() - 5 + static_cast<std::size_t>(requestCount), 1));
        peer.applyReply(feed.answer(peer.request()));
    }
    EXPECT_EQ(peerConfig.snapshot().SerializeAsString(), config.snapshot().SerializeAsString());
}

TEST(FeedReplyTest, aMalformedRecordOnlyAdvancesTheOffset)
{
    configuration config;
    configuration_feed feed(config, {});
    std::vector<v1::LogEntry> entries(1);
    entries[0].set_offset(1);
    entries[0].set_record("\xff\xff\xff");
    EXPECT_TRUE(feed.add(entries));
    EXPECT_EQ(config.offset(), 1);
}

TEST(HistoryTest, recordsAcceptedChangesWithTheirFieldDifferences)
{
    configuration config;
    configuration_history history(config, {.maxChanges = 3});
    config.apply(1, changeOf({{.entity = accountOf("a")}}));
    auto edited = accountOf("a");
    edited.mutable_client_account()->set_tier(1);
    edited.mutable_client_account()->set_requests_per_second(5);
    auto record = changeOf({{.entity = edited, .base = 1}}, {.changeId = "f", .sequence = 2});
    record.mutable_configuration_change()->set_operator_("ayse");
    config.apply(2, record);
    config.apply(3, changeOf({{.entity = edited, .base = 1}}, {.sequence = 3}));
    const auto changes = history.changesOf(v1::ENTITY_KIND_CLIENT_ACCOUNT, "a");
    ASSERT_EQ(changes.size(), 2) << "a rejected change is not recorded";
    EXPECT_FALSE(changes[0]->before);
    EXPECT_EQ(changes[1]->operatorName, "ayse");
    const auto found = differences(*changes[1]->before, *changes[1]->after);
    const std::vector<field_difference> expected
        = {{.field = "tier", .before = "3", .after = "1"},
           {.field = "requests_per_second", .before = "0", .after = "5"}};
    EXPECT_EQ(found, expected);
    EXPECT_EQ(differences({}, dataCentreOf("dc")).size(), 1);
    EXPECT_TRUE(differences(accountOf("a"), dataCentreOf("dc")).empty());
    for (std::uint64_t i = 4; i < 10; ++i)
        config.apply(i,
                     changeOf({{.entity = dataCentreOf(fmt::format("dc{}", i))}}, {.sequence = i}));
    EXPECT_EQ(history.changes().size(), 3);
}

TEST(HistoryTest, returnsAnEntityAtAnOffsetOnlyIfHeldChangesDetermineIt)
{
    constexpr auto kind = v1::ENTITY_KIND_DATA_CENTRE;
    configuration source;
    source.apply(1, changeOf({{.entity = dataCentreOf("old")}}));
    source.apply(2, changeOf({{.entity = dataCentreOf("new")}}, {.sequence = 2}));
    configuration config;
    configuration_history history(config, {.maxChanges = 2});
    EXPECT_EQ(history.missingThrough(), 0);
    config.restore(source.snapshot());
    EXPECT_EQ(history.missingThrough(), 2);
    config.apply(3, changeOf({{.entity = dataCentreOf("new", true), .base = 2}}, {.sequence = 3}));
    config.apply(4, changeOf({{.entity = dataCentreOf("new"), .base = 3, .removes = true}},
                             {.sequence = 4}));
    EXPECT_EQ(history.stateAt(kind, "new", 4)->revision, 0);
    EXPECT_TRUE(history.stateAt(kind, "new", 3)->entity->data_centre().out());
    EXPECT_EQ(history.stateAt(kind, "new", 2)->revision, 2)
        << "it follows from the change after it";
    EXPECT_FALSE(history.stateAt(kind, "new", 1)) << "the changes before offset 2 are missing";
    EXPECT_EQ(history.stateAt(kind, "old", 1)->revision, 1) << "it has not changed since";
    EXPECT_FALSE(history.stateAt(kind, "never", 1)) << "it may have existed and been removed";
    EXPECT_EQ(history.stateAt(kind, "never", 2)->revision, 0);
    EXPECT_FALSE(history.stateAt(kind, "old", 5)) << "not applied yet";
    config.apply(5, changeOf({{.entity = dataCentreOf("third")}}, {.sequence = 5}));
    EXPECT_EQ(history.missingThrough(), 3) << "the oldest change was dropped";
    EXPECT_EQ(history.stateAt(kind, "new", 3)->revision, 3);
    config.apply(9, changeOf({{.entity = dataCentreOf("fourth")}}, {.sequence = 6}));
    EXPECT_EQ(history.missingThrough(), 8) << "records were skipped";
    EXPECT_EQ(history.changes().size(), 1);
}

} // namespace
} // namespace mustardline
