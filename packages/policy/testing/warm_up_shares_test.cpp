#include "policy/warm_up_shares.h"

#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

#include "policy/random.h"
#include "policy/token_bucket.h"

namespace mustardline {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests per second that an endpoint accepts while cold, and the tolerance for bursts: in any
// second it may get endpointRate * burstFactor + slack requests.
constexpr double endpointRate = 12;
constexpr double burstFactor = 1.5;
constexpr double slack = 5;
constexpr std::uint32_t senders = 4;
// The fraction of the rate that the entry processes use.
constexpr double usedFraction = 0.8;

auto entryName(std::uint32_t number) -> std::string
{
    return "edge-" + std::to_string(number);
}

// Entry processes that know a random subset of each other, because messages are lost. Each has more
// requests than a cold endpoint can take.
class lossy_fleet
{
public:
    // Each process knows `knownFraction` of the others on average.
    lossy_fleet(std::uint32_t count, double knownFraction, std::uint64_t seed)
        : m_random(seed), m_knownFraction(knownFraction)
    {
        for (std::uint32_t at = 0; at < count; ++at)
            m_entries.push_back(
                {.shares = warm_up_shares({.self = entryName(at), .senders = senders})});
        for (std::uint32_t at = 0; at < count; ++at)
            updatePeers(at);
    }

    auto updatePeers(std::uint32_t at) -> void
    {
        std::vector<std::string> known;
        for (std::uint32_t other = 0; other < m_entries.size(); ++other) {
            if (other != at && m_random.uniform() < m_knownFraction)
                known.push_back(entryName(other));
        }
        m_entries[at].shares.setPeers(std::move(known));
    }

    // Replaces the process by a new one, which knows no others and has an unused rate limit.
    auto restart(std::uint32_t at) -> void
    {
        m_entries[at] = {.shares = warm_up_shares({.self = entryName(at), .senders = senders})};
    }

    // Returns the maximum number of requests that the endpoint gets in any second.
    auto maxInOneSecond(std::string_view endpoint, duration length) -> std::size_t
    {
        const time_point start{.nanoseconds = 1'000'000'000};
        std::deque<time_point> sent;
        std::size_t maxSent = 0;
        for (auto now = start; now < start + length; now = now + milliseconds(20)) {
            // One process gets an update of the others or restarts.
            const auto changed = m_random.below(static_cast<std::uint32_t>(m_entries.size()));
            if (m_random.below(4) == 0)
                restart(changed);
            else
                updatePeers(changed);
            for (auto &entry : m_entries) {
                const auto fraction = entry.shares.rateFraction(endpoint);
                entry.rate.configure(
                    {.perSecond = endpointRate * usedFraction * fraction, .burst = 1}, now);
                if (entry.rate.take(now))
                    sent.push_back(now);
            }
            while (!sent.empty() && sent.front() <= now - seconds(1))
                sent.pop_front();
            maxSent = std::max(maxSent, sent.size());
        }
        return maxSent;
    }

private:
    struct entry_row
    {
        warm_up_shares shares;
        token_bucket rate{};
    };

    random_source m_random;
    double m_knownFraction;
    std::vector<entry_row> m_entries;
};

// An endpoint comes back cold behind many busy entry processes, of which some do not know all
// others and some restart. Each of them might take itself for a sender, and their rates would add
// up to more than the endpoint can take.
TEST(WarmUpSharesTest, totalRateOfAllProcessesStaysWithinTheColdLimit)
{
    for (const std::uint32_t count : {1U, 5U, 28U, 103U, 860U}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            lossy_fleet fleet(count, 0.95, seed);
            EXPECT_LE(fleet.maxInOneSecond("endpoint-" + std::to_string(seed), seconds(3)),
                      endpointRate * burstFactor + slack)
                << count << " entries, seed " << seed;
        }
    }
}

TEST(WarmUpSharesTest, aColdEndpointGetsAtLeastHalfOfItsRate)
{
    for (const std::uint32_t count : {1U, 5U, 28U, 103U, 860U}) {
        lossy_fleet fleet(count, 1, 1);
        EXPECT_GE(fleet.maxInOneSecond("endpoint", seconds(3)), endpointRate * usedFraction / 2)
            << count << " entries";
    }
}

TEST(WarmUpSharesTest, processesThatKnowAllOthersAgreeOnTheSenders)
{
    constexpr std::uint32_t count = 103;
    std::vector<std::string> all;
    for (std::uint32_t at = 0; at < count; ++at)
        all.push_back(entryName(at));
    std::vector<std::uint32_t> endpointsOfProcess(count);
    constexpr std::uint32_t endpoints = 500;
    std::vector<warm_up_shares> shares;
    for (std::uint32_t at = 0; at < count; ++at) {
        shares.emplace_back(warm_up_options{.self = all[at], .senders = senders});
        auto others = all;
        std::erase(others, all[at]);
        EXPECT_TRUE(shares.back().setPeers(others));
        EXPECT_FALSE(shares.back().setPeers(others));
    }
    for (std::uint32_t endpoint = 0; endpoint < endpoints; ++endpoint) {
        std::uint32_t found = 0;
        for (std::uint32_t at = 0; at < count; ++at) {
            const auto fraction = shares[at].rateFraction("endpoint-" + std::to_string(endpoint));
            if (fraction > 0) {
                ++found;
                ++endpointsOfProcess[at];
                EXPECT_DOUBLE_EQ(fraction, 1.0 / senders);
            }
        }
        EXPECT_EQ(found, senders);
    }
    // The work is spread: no process has three times its even share of endpoints or more.
    EXPECT_LT(std::ranges::max(endpointsOfProcess), 3 * endpoints * senders / count);
}

TEST(WarmUpSharesTest, aProcessThatKnowsNoPeersYetSendsNothing)
{
    const warm_up_shares shares({.self = "edge-1"});
    EXPECT_EQ(shares.rateFraction("endpoint"), 0);
}

} // namespace

} // namespace mustardline
