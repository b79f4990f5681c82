#include <gtest/gtest.h>

#include "coordination/testing/usage_records.h"
#include "coordination/usage_client.h"
#include "net/http_server.h"

namespace mustardline {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

TEST(UsageLedgerTest, countsEachDeltaOnceInOrder)
{
    usage_ledger ledger;
    ledger.apply(1, makeBatch({{.sequence = 1, .tokens = 5}, {.sequence = 2, .tokens = 7}}));
    ledger.apply(2, makeBatch({{.sequence = 1, .tokens = 5}, {.sequence = 2, .tokens = 7}}));
    ledger.apply(3, makeBatch({{.sequence = 4, .tokens = 100}}));
    EXPECT_EQ(ledger.durableThrough("agent", 1), 2);
    ledger.apply(4, makeBatch({{.sequence = 3, .tokens = 1}, {.sequence = 4, .tokens = 100}}));
    EXPECT_EQ(ledger.durableThrough("agent", 1), 4);
    EXPECT_EQ(ledger.account("feira")->open.at(0), makeFigures(4, 113));
    ledger.apply(5, makeBatch({{.boot = 2, .sequence = 2}}));
    EXPECT_EQ(ledger.durableThrough("agent", 2), 0) << "the deltas of a boot must begin at 1";
    EXPECT_EQ(ledger.positionCount(), 1);
}

TEST(UsageLedgerTest, countsUsageInTheWindowOfItsFinishTime)
{
    usage_ledger ledger;
    ledger.apply(1, makeBatch({{.sequence = 1, .finished = hourMs - 1},
                               {.sequence = 2, .finished = hourMs},
                               {.sequence = 3, .finished = -1}}));
    const auto &open = ledger.account("feira")->open;
    EXPECT_EQ(open.size(), 3);
    EXPECT_TRUE(open.contains(-hourMs));
    EXPECT_TRUE(open.contains(0));
    EXPECT_TRUE(open.contains(hourMs));
}

struct seal_case
{
    const char *name;
    unix_milliseconds start = 0;
    usage_figures figures;
    usage_figures adjustment;
    std::uint64_t covers = 0;
    std::uint64_t fencing = 5;
    bool valid = false;
};

auto makeSeal(const seal_case &fields) -> v1::LogRecord
{
    v1::LogRecord record;
    auto &sealed = *record.mutable_usage_sealed();
    sealed.set_client_account("feira");
    sealed.set_window_start_unix_ms(fields.start);
    *sealed.mutable_figures() = toMessage(fields.figures);
    *sealed.mutable_adjustment() = toMessage(fields.adjustment);
    sealed.set_covers_offset(fields.covers);
    sealed.set_fencing(fields.fencing);
    return record;
}

// The first hour is sealed at offset 3, and one late delta was counted after that.
auto makeLedgerWithSealedHour() -> usage_ledger
{
    usage_ledger ledger;
    ledger.apply(1, makeBatch({{.sequence = 1, .tokens = 5}}));
    ledger.apply(2, makeBatch({{.sequence = 2, .finished = hourMs, .tokens = 3}}));
    ledger.apply(3, makeSeal({.figures = makeFigures(1, 5), .covers = 2}));
    ledger.apply(4, makeBatch({{.sequence = 3, .finished = 1, .tokens = 2}}));
    return ledger;
}

TEST(UsageLedgerTest, acceptsOnlyTheNextSealOfAnAccount)
{
    const std::vector<seal_case> cases = {
        {"next window", hourMs, makeFigures(1, 3), makeFigures(1, 2), 4, 5, true},
        {"less than counted", hourMs, makeFigures(0, 1), {}, 3, 6, true},
        {"adjustment only", 2 * hourMs, {}, makeFigures(1, 2), 4, 5, true},
        {"already sealed", 0, makeFigures(1, 5), {}, 4, 5, false},
        {"covers less than the last seal", hourMs, makeFigures(1, 3), {}, 2, 5, false},
        {"covers its own offset", hourMs, makeFigures(1, 3), {}, 5, 5, false},
        {"older fencing token", hourMs, makeFigures(1, 3), {}, 4, 4, false},
        {"more than counted", hourMs, makeFigures(2, 3), {}, 4, 5, false},
        {"adjustment above late usage", hourMs, makeFigures(1, 3), makeFigures(1, 3), 4, 5, false},
        {"start not aligned", hourMs + 1, {}, {}, 4, 5, false},
    };
    for (const auto &it : cases) {
        auto ledger = makeLedgerWithSealedHour();
        ledger.apply(5, makeSeal(it));
        EXPECT_EQ(ledger.account("feira")->sealed.contains(it.start), it.valid || it.start == 0)
            << it.name;
        EXPECT_EQ(ledger.account("feira")->sealOffset == 5, it.valid) << it.name;
        EXPECT_EQ(accountTotal(*ledger.account("feira")), makeFigures(3, 10)) << it.name;
    }
}

TEST(UsageLedgerTest, snapshotRestoresTheWholeState)
{
    auto ledger = makeLedgerWithSealedHour();
    v1::LogRecord mark;
    mark.mutable_usage_reported()->set_client_account("feira");
    ledger.apply(5, mark);
    EXPECT_TRUE(ledger.account("feira")->reported.contains(0));
    usage_ledger other;
    other.restore(ledger.snapshot());
    EXPECT_EQ(other, ledger);
    other.restore(usage_ledger().snapshot());
    EXPECT_EQ(other, ledger) << "an older snapshot must be ignored";
}

TEST(UsageLedgerTest, removesReplacedBootsByOffset)
{
    usage_ledger ledger({.replacedBootRetention = 10});
    ledger.apply(1, makeBatch({{.boot = 1}}));
    ledger.apply(50, makeBatch({{.boot = 1, .sequence = 2}}));
    EXPECT_EQ(ledger.positionCount(), 1);
    ledger.apply(51, makeBatch({{.boot = 2}}));
    ledger.apply(60, makeBatch({{.boot = 2, .sequence = 2}}));
    EXPECT_EQ(ledger.positionCount(), 2);
    ledger.apply(61, makeBatch({{.boot = 2, .sequence = 3}}));
    EXPECT_EQ(ledger.positionCount(), 1);
    EXPECT_EQ(ledger.durableThrough("agent", 2), 3);
}

class UsageReporterTest : public testing::Test
{
protected:
    auto tick(bool holds = true) -> usage_actions
    {
        return m_reporter.tick(m_ledger, {.now = m_clock.now(),
                                          .unixNow = m_clock.unixNow(),
                                          .caughtUpUnix = m_caughtUp.value_or(m_clock.unixNow()),
                                          .holdsLease = holds,
                                          .fencing = 9});
    }
    auto applyRecord(const v1::LogRecord &record) -> void { m_ledger.apply(++m_offset, record); }

    manual_clock m_clock;
    std::optional<unix_milliseconds> m_caughtUp;
    std::uint64_t m_offset = 0;
    usage_ledger m_ledger;
    usage_reporter m_reporter{{}};
};

TEST_F(UsageReporterTest, sealsThenReportsThenMarksAWindow)
{
    applyRecord(makeBatch({{.tokens = 5}}));
    m_clock.advance(minutes(62) - std::chrono::milliseconds(1));
    EXPECT_TRUE(tick().records.empty()) << "the window may still receive usage";
    m_clock.advance(std::chrono::milliseconds(1));
    const auto seal = tick();
    ASSERT_EQ(seal.records.size(), 1);
    EXPECT_TRUE(seal.reports.empty());
    EXPECT_TRUE(tick().records.empty())
        << "must not be sent again before the retry delay has passed";
    m_clock.advance(seconds(5));
    EXPECT_EQ(tick().records.size(), 1);
    applyRecord(seal.records[0]);
    const auto first = tick();
    ASSERT_EQ(first.reports.size(), 1);
    EXPECT_EQ(first.reports[0].figures, makeFigures(1, 5));
    EXPECT_EQ(first.reports[0].reportId, "feira/0");
    m_reporter.answered(first.reports[0], false);
    m_clock.advance(seconds(5));
    const auto second = tick();
    ASSERT_EQ(second.reports, first.reports);
    m_reporter.answered(second.reports[0], true);
    const auto mark = tick();
    ASSERT_EQ(mark.records.size(), 1);
    EXPECT_TRUE(mark.records[0].has_usage_reported());
    applyRecord(mark.records[0]);
    m_clock.advance(minutes(10));
    EXPECT_TRUE(tick().records.empty());
    EXPECT_TRUE(tick().reports.empty());
}

TEST_F(UsageReporterTest, windowStaysOpenWhileTheLogIsNotRead)
{
    applyRecord(makeBatch({{.tokens = 5}}));
    m_clock.advance(minutes(200));
    m_caughtUp = hourMs;
    EXPECT_TRUE(tick().records.empty());
    m_caughtUp = hourMs + 120'000;
    EXPECT_EQ(tick().records.size(), 1);
    EXPECT_TRUE(tick(false).records.empty()) << "must not seal without the lease";
}

TEST_F(UsageReporterTest, lateUsageAloneIsAdjustedInTheNewestClosedWindow)
{
    applyRecord(makeBatch({{.tokens = 5}}));
    m_clock.advance(minutes(62));
    applyRecord(tick().records[0]);
    applyRecord(makeBatch({{.sequence = 2, .tokens = 7}}));
    m_clock.advance(minutes(10));
    EXPECT_TRUE(tick().records.empty()) << "no later window is closed yet";
    m_clock.advance(minutes(50));
    const auto records = tick().records;
    ASSERT_EQ(records.size(), 1);
    EXPECT_EQ(records[0].usage_sealed().window_start_unix_ms(), hourMs);
    EXPECT_EQ(fromMessage(records[0].usage_sealed().adjustment()), makeFigures(1, 7));
    EXPECT_TRUE(fromMessage(records[0].usage_sealed().figures()).isZero());
}

TEST(UsageReporterShardTest, eachAccountBelongsToOneShard)
{
    for (int account = 0; account < 100; ++account) {
        int owners = 0;
        for (std::uint32_t shard = 0; shard < 4; ++shard) {
            const usage_reporter reporter({.shard = shard, .shards = 4});
            owners += reporter.ownsAccount("account" + std::to_string(account)) ? 1 : 0;
        }
        EXPECT_EQ(owners, 1);
    }
}

TEST(UsageClientTest, reportHasThePublishedFormat)
{
    event_loop loop;
    http_client http(loop, {});
    http_server server(loop, {});
    nlohmann::json received;
    int statusToGive = 503;
    server.onRequest([&](const std::shared_ptr<http_exchange> &exchange) {
        received = nlohmann::json::parse(exchange->body());
        exchange->reply(statusToGive, {}, "{}");
        statusToGive = 200;
    });
    usage_client usage(http,
                       {.host = "127.0.0.1", .port = std::get<std::uint16_t>(server.listen())});
    const usage_report report{.reportId = "feira/0",
                              .clientAccount = "feira",
                              .windowLength = hourMs,
                              .figures = makeFigures(2, 5),
                              .adjustment = makeFigures(1, 1),
                              .fencing = 7};
    std::vector<bool> accepted;
    const auto answered = [&](const status &answer) {
        accepted.push_back(failed(answer) == nullptr);
        loop.stop();
    };
    usage.report(report, answered);
    loop.run();
    usage.report(report, answered);
    loop.run();
    EXPECT_EQ(accepted, (std::vector<bool>{false, true}));
    EXPECT_EQ(received, nlohmann::json::parse(R"({"report_id":"feira/0","client_account":"feira",
        "window_start_unix_ms":0,"window_ms":3600000,"requests":2,"prompt_tokens":50,
        "completion_tokens":5,"adjustment":{"requests":1,"prompt_tokens":10,
        "completion_tokens":1},"fencing":7})"));
}

} // namespace
} // namespace mustardline
