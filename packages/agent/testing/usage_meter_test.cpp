#include "agent/usage_meter.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

// Usage as the log counts it: each delta once by its sequence. A delta's content must never change.
class durable_usage
{
public:
    auto take(const v1::UsagePushRequest &push) -> void
    {
        for (const auto &delta : push.deltas()) {
            const auto [known, isNew] = m_deltas.emplace(delta.sequence(), delta);
            EXPECT_EQ(known->second.SerializeAsString(), delta.SerializeAsString());
            if (isNew)
                m_tokens[delta.client_account()] += delta.completion_tokens();
        }
    }

    // The highest sequence up to which no delta is missing.
    [[nodiscard]] auto through() const -> std::uint64_t
    {
        std::uint64_t last = 0;
        for (const auto &[sequence, delta] : m_deltas) {
            if (sequence != last + 1)
                break;
            last = sequence;
        }
        return last;
    }

    [[nodiscard]] auto tokens() const -> const std::map<std::string, std::uint64_t> &
    {
        return m_tokens;
    }

private:
    std::map<std::uint64_t, v1::UsageDelta> m_deltas;
    std::map<std::string, std::uint64_t> m_tokens;
};

TEST(UsageMeterTest, givesEachDeltaItsOwnSequence)
{
    usage_meter meter({.agent = "e", .boot = 3, .maxBatch = 2});
    for (std::uint64_t i = 1; i <= 3; ++i)
        meter.record({.clientAccount = "a", .requestClass = "c", .completionTokens = i});
    const auto push = meter.batch();
    ASSERT_EQ(push.deltas_size(), 2);
    EXPECT_EQ(push.deltas(1).agent(), "e");
    EXPECT_EQ(push.deltas(1).agent_boot(), 3U);
    EXPECT_EQ(push.deltas(1).sequence(), 2U);
    EXPECT_EQ(push.deltas(1).completion_tokens(), 2U);
    meter.durableThrough(1);
    EXPECT_EQ(meter.batch().deltas(0).sequence(), 2U);
    meter.durableThrough(99);
    EXPECT_EQ(meter.size(), 0U);
}

TEST(UsageMeterTest, aReplyCannotRemoveDeltasThatWereNotPushed)
{
    usage_meter meter({.maxBatch = 1});
    meter.record({.clientAccount = "a"});
    meter.record({.clientAccount = "a"});
    const auto push = meter.batch();
    meter.durableThrough(50);
    EXPECT_EQ(meter.size(), 1U);
}

// Pushes are lost, duplicated and delayed, and so are the replies to them; the log must still count
// exactly the recorded usage.
TEST(UsageMeterTest, countsUsageExactlyOnceDespiteLossesAndDuplicates)
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        constexpr std::size_t accounts = 3;
        const std::size_t bound = 1 + seed % 8;
        usage_meter meter({.maxDeltas = bound, .maxBatch = 1 + seed % 5});
        durable_usage log;
        std::map<std::string, std::uint64_t> recorded;
        std::vector<v1::UsagePushRequest> delayed;
        for (int i = 0; i < 400; ++i) {
            const auto account = std::string(1, static_cast<char>('a' + random() % accounts));
            switch (random() % 4) {
            case 0:
            case 1:
                recorded[account] += 5;
                meter.record({.clientAccount = account, .completionTokens = 5});
                break;
            case 2:
                delayed.push_back(meter.batch());
                break;
            default:
                if (delayed.empty())
                    break;
                log.take(delayed[random() % delayed.size()]);
                if (random() % 2 == 0)
                    meter.durableThrough(log.through());
            }
            ASSERT_LE(meter.size(), bound + accounts);
        }
        while (!meter.isEmpty()) {
            log.take(meter.batch());
            meter.durableThrough(log.through());
        }
        EXPECT_EQ(log.tokens(), recorded);
    }
}

TEST(UsageMeterTest, mergesBeyondItsBound)
{
    usage_meter meter({.maxDeltas = 10});
    for (int i = 0; i < 1000; ++i) {
        meter.record({.clientAccount = i % 2 == 0 ? "a" : "b",
                      .finishedAt = i,
                      .promptTokens = 1,
                      .completionTokens = 2});
        EXPECT_EQ(meter.isNearBound(), i >= 7) << i;
    }
    EXPECT_EQ(meter.size(), 12U);
    // All pushes together report every request once.
    std::uint64_t requests = 0;
    while (!meter.isEmpty()) {
        const auto push = meter.batch();
        ASSERT_GT(push.deltas_size(), 0);
        for (const auto &delta : push.deltas())
            requests += delta.requests();
        meter.durableThrough(push.deltas().rbegin()->sequence());
    }
    EXPECT_EQ(requests, 1000U);
}

} // namespace
} // namespace mustardline
