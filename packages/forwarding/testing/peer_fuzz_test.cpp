// Malformed and extreme messages of other edges, for the tables that keep what they say.

#include <limits>

#include <gtest/gtest.h>

#include "base/testing/fuzz_source.h"
#include "forwarding/peer_table.h"
#include "forwarding/prompt_part_watch.h"
#include "forwarding/usage_windows.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};
constexpr std::uint64_t ciRounds = 30'000;

auto messageOf(fuzz_source &source, std::uint64_t round) -> v1::EdgeState
{
    v1::EdgeState state;
    state.set_name("edge-" + std::to_string(round));
    state.set_boot(std::to_string(round));
    state.set_sequence(static_cast<std::uint64_t>(source.number()));
    state.set_address("10.0.0.1:" + std::to_string(source.below(70'000)));
    for (auto left = source.below(20); left > 0; --left) {
        state.add_peers(source.chance(2) ? "10.1.1." + std::to_string(source.bits()) + ":7000"
                                         : source.bytes(20));
        auto *use = state.add_uses();
        use->set_endpoint(std::string(source.below(300), 'e') + std::to_string(source.below(9)));
        use->set_in_flight(static_cast<std::uint32_t>(source.number()));
        use->set_prompt_tokens(static_cast<std::uint32_t>(source.number()));
        state.add_lanes()->set_target(std::to_string(source.bits()));
    }
    return state;
}

// Guards against tables of other edges that grow with each new name, address and endpoint that a
// message holds, until the process is above its memory.
TEST(PeerFuzzTest, whatMessagesNameIsBounded)
{
    const auto range = fuzzRange(ciRounds);
    fuzz_source source(range.seed);
    const peer_table_options limits{
        .name = "self", .boot = "b", .maxEdges = 50, .maxNamedAddresses = 100};
    peer_table peers(limits, start);
    for (std::uint64_t round = 0; round < range.rounds; ++round) {
        peers.applyState(messageOf(source, round), start);
        ASSERT_LE(peers.rows().size(), limits.maxEdges) << round;
    }
    EXPECT_LE(peers.addresses(start).size(), 2 * limits.maxNamedAddresses);
    const auto later = start + limits.addressTtl + seconds(1);
    peers.tick(later);
    EXPECT_TRUE(peers.rows().empty()) << "silent edges are forgotten";
    v1::EdgeState sound;
    sound.set_name("sound");
    sound.set_sequence(1);
    EXPECT_TRUE(peers.applyState(sound, later)) << "there is room again";
}

// Guards against load of other edges that stays in the sums, or is taken out twice, after its
// memory was used up.
TEST(PeerFuzzTest, loadBeyondItsMemoryIsIgnored)
{
    peer_table peers({.name = "self", .boot = "b", .maxLoadBytes = 1000}, start);
    v1::EdgeState state;
    state.set_name("other");
    for (std::uint64_t sequence = 1; sequence < 10; ++sequence) {
        state.set_sequence(sequence);
        auto *use = state.add_uses();
        use->set_endpoint("e" + std::to_string(sequence));
        use->set_in_flight(2);
        ASSERT_TRUE(peers.applyState(state, start));
    }
    EXPECT_EQ(peers.peerUseOf("e1").inFlight, 2U);
    EXPECT_EQ(peers.peerUseOf("e4").inFlight, 2U);
    EXPECT_EQ(peers.peerUseOf("e9").inFlight, 0U);
    peers.tick(start + seconds(5));
    EXPECT_EQ(peers.peerUseOf("e1").inFlight, 0U);
}

// Guards against a window far ahead, after which the windows of the present were discarded as the
// oldest ones and not reported.
TEST(PeerFuzzTest, windowsFarFromThePresentAreNotAccepted)
{
    const usage_windows usage({.window = seconds(5)});
    const unix_milliseconds now = 1'800'000'000'000;
    const auto current = usage.windowOf(now);
    EXPECT_TRUE(usage.accepts(current - 3, now));
    EXPECT_TRUE(usage.accepts(current + 1, now));
    for (const auto window :
         {current - 24, current + 4, std::int64_t(0), std::numeric_limits<std::int64_t>::max(),
          std::numeric_limits<std::int64_t>::min()})
        EXPECT_FALSE(usage.accepts(window, now)) << window;
}

// Guards against counts of windows that were reported long ago, which kept those of the present
// out, so that reports were too low.
TEST(PeerFuzzTest, oldUsageWindowsGiveWayToNewOnes)
{
    usage_windows usage({.window = seconds(5), .maxPeerBytes = 15'000});
    constexpr int accounts = 8;
    for (std::int64_t window = 1; window <= 20; ++window) {
        for (int account = 0; account < accounts; ++account)
            usage.merge("edge", window, "account-" + std::to_string(account), 1);
        EXPECT_EQ(usage.totals(window).size(), 8U) << window;
        EXPECT_EQ(usage.totals(window - 1).size(), window > 1 ? 8U : 0U) << window;
    }
}

// Guards against counts of usage that grow with each new start of an edge and each new account.
TEST(PeerFuzzTest, countsOfOtherEdgesAreBoundedAndOwnOnesAreNot)
{
    usage_windows usage({.window = seconds(5), .maxPeerBytes = 10'000});
    const auto total = [&](std::int64_t window) {
        const auto totals = usage.totals(window);
        return totals.size();
    };
    for (auto boot = 0; boot < 1000; ++boot)
        usage.merge(std::to_string(boot), 100, "account-" + std::to_string(boot), 1);
    EXPECT_GT(total(100), 10U);
    EXPECT_LT(total(100), 50U);
    for (auto account = 0; account < 1000; ++account)
        usage.count(std::to_string(account), 500'000);
    EXPECT_GE(total(100), 1000U);
    usage.merge("edge", 106, "later", 1);
    EXPECT_EQ(total(106), 0U) << "the memory is used by a window that is not reported yet";
    EXPECT_GE(total(100), 1000U);
    usage.merge("edge", 200, "later", 1);
    EXPECT_EQ(total(200), 1U);
    EXPECT_EQ(total(100), 0U) << "it was reported long before";
}

// Guards against crashes without a bound that a report adds to a part that is blocked.
TEST(PeerFuzzTest, reportsOfCrashesAreBounded)
{
    const auto range = fuzzRange(ciRounds);
    fuzz_source source(range.seed);
    prompt_part_watch watch({});
    for (std::uint64_t round = 0; round < range.rounds; ++round) {
        prompt_part_report report{.sound = {source.bits()}};
        report.suspects.push_back({.part = source.below(3), .crashes = {source.bits()}});
        watch.applyReport(report, start);
    }
    EXPECT_LE(watch.explainedCount(), prompt_part_watch_options().maxExplained);
    EXPECT_LE(watch.takeNewlyBlocked().size(), 3U);
}

} // namespace
} // namespace mustardline
