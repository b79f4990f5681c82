#include "coordination/log_client.h"

#include <gtest/gtest.h>

#include "coordination/testing/fake_log_service.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LogClientTest : public testing::Test
{
protected:
    auto options() const -> log_client_options
    {
        return {.address = m_service.address(),
                .stream = "configuration",
                .minBackoff = milliseconds(1),
                .maxBackoff = milliseconds(5)};
    }

    // Runs the loop once more, so that it releases what the destroyed client left in it.
    auto TearDown() -> void override
    {
        m_loop.post([this] { m_loop.stop(); });
        m_loop.run();
    }

    // Runs the loop until the condition holds. There is no time-out here: ctest's ends a hang.
    auto runUntil(const std::function<auto()->bool> &condition) -> void
    {
        const auto timer = m_loop.every(milliseconds(1), [&] {
            if (condition())
                m_loop.stop();
        });
        m_loop.run();
    }

    event_loop m_loop;
    http_client m_http{m_loop, {}};
    fake_log_service m_service{m_loop};
};

TEST_F(LogClientTest, batchesAppendsAndReportsEachOffset)
{
    log_client log(m_loop, m_http, options());
    std::vector<std::uint64_t> offsets;
    for (const auto *text : {"a", "b", "c", "d"}) {
        log.append(text, [&](const result<std::uint64_t> &offset) {
            offsets.push_back(std::get<std::uint64_t>(offset));
        });
    }
    runUntil([&] { return offsets.size() == 4; });
    EXPECT_EQ(offsets, (std::vector<std::uint64_t>{1, 2, 3, 4}));
    EXPECT_EQ(m_service.records, (std::vector<std::string>{"a", "b", "c", "d"}));
    EXPECT_EQ(m_service.appendCallCount, 2);
}

TEST_F(LogClientTest, retriesAnAppendWhoseResponseWasLost)
{
    m_service.responsesToDrop = 1;
    log_client log(m_loop, m_http, options());
    std::uint64_t seen = 0;
    log.append(
        "a", [&](const result<std::uint64_t> &offset) { seen = std::get<std::uint64_t>(offset); });
    runUntil([&] { return seen != 0; });
    EXPECT_EQ(seen, 2);
    EXPECT_EQ(m_service.records, (std::vector<std::string>{"a", "a"}));
}

TEST_F(LogClientTest, failsAnAppendAfterItsTimeoutAndAcceptsTheNext)
{
    m_service.callsToRefuse = 1'000'000;
    auto shortTimeout = options();
    shortTimeout.appendTimeout = milliseconds(20);
    log_client log(m_loop, m_http, shortTimeout);
    auto failure = result_code::ok;
    log.append("a", [&](const result<std::uint64_t> &offset) {
        failure = failed(offset) == nullptr ? result_code::ok : failed(offset)->code;
        m_service.callsToRefuse = 0;
    });
    runUntil([&] { return failure != result_code::ok; });
    EXPECT_EQ(failure, result_code::log_unavailable);
    auto isAppended = false;
    log.append("b", [&](const result<std::uint64_t> &) { isAppended = true; });
    runUntil([&] { return isAppended; });
    EXPECT_EQ(m_service.records, std::vector<std::string>{"b"});
}

TEST_F(LogClientTest, readsInOrderDespiteRefusedCalls)
{
    m_service.records = {"a", "b", "c"};
    m_service.callsToRefuse = 3;
    auto smallReads = options();
    smallReads.maxEntriesPerRead = 2;
    log_client log(m_loop, m_http, smallReads);
    std::string seen;
    std::uint64_t position = 0;
    log.follow(2, {.onEntries =
                       [&](std::span<const v1::LogEntry> entries) {
                           for (const auto &entry : entries)
                               seen += entry.record();
                       },
                   .onExpired = [](std::uint64_t) { FAIL(); },
                   .onNextOffset = [&](std::uint64_t next) { position = next; }});
    runUntil([&] { return seen == "bc"; });
    m_service.records.emplace_back("d");
    runUntil([&] { return seen == "bcd" && position == 5; });
    EXPECT_TRUE(log.isReachable());
}

TEST_F(LogClientTest, reportsTheEndOfAnEmptyStreamAtOnce)
{
    m_service.holdEmptyReads = true;
    log_client log(m_loop, m_http, options());
    std::uint64_t position = 0;
    log.follow(1, {.onEntries = [](std::span<const v1::LogEntry>) { FAIL(); },
                   .onExpired = [](std::uint64_t) { FAIL(); },
                   .onNextOffset = [&](std::uint64_t next) { position = next; }});
    runUntil([&] { return position != 0; });
    EXPECT_EQ(position, 1U);
    EXPECT_TRUE(log.isReachable());
}

TEST_F(LogClientTest, reportsExpiredOffsetsOnce)
{
    m_service.records = {"a", "b", "c"};
    m_service.oldestOffset = 3;
    log_client log(m_loop, m_http, options());
    std::vector<std::uint64_t> expired;
    log.follow(1, {.onEntries = [](std::span<const v1::LogEntry>) { FAIL(); },
                   .onExpired = [&](std::uint64_t oldest) { expired.push_back(oldest); }});
    runUntil([&] { return !expired.empty(); });
    EXPECT_EQ(expired, std::vector<std::uint64_t>{3});
}

} // namespace
} // namespace mustardline
