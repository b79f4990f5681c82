#include <array>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/prompt_part_watch.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using parts = std::vector<std::uint64_t>;

constexpr std::uint64_t common = 1;
constexpr std::uint64_t deadly = 2;
constexpr std::uint64_t other = 3;

class PromptPartWatchTest : public testing::Test
{
protected:
    // A request with these parts was lost in a crash of the endpoint.
    auto crash(prompt_part_watch &watch, std::uint64_t endpoint, const parts &lost) -> void
    {
        watch.lost(lost, endpoint, m_now);
        watch.endpointDown(endpoint, m_now);
        m_now = m_now + seconds(1);
    }

    [[nodiscard]] auto isBlocked(const parts &asked) const -> bool
    {
        return m_watch.blockedPart(asked, m_now).has_value();
    }

    prompt_part_watch m_watch{{}};
    time_point m_now{.nanoseconds = 1'000'000'000'000};
};

// Guards against prompts that crash one endpoint after the other.
TEST_F(PromptPartWatchTest, partIsBlockedAfterThreeCrashes)
{
    crash(m_watch, 10, {deadly});
    crash(m_watch, 11, {deadly});
    EXPECT_FALSE(isBlocked({deadly}));
    crash(m_watch, 12, {deadly});
    EXPECT_TRUE(isBlocked({deadly}));
    EXPECT_EQ(m_watch.takeNewlyBlocked(),
              (std::vector<suspected_part>{{.part = deadly, .crashes = {10, 11, 12}}}));
    EXPECT_TRUE(m_watch.takeNewlyBlocked().empty());
}

TEST_F(PromptPartWatchTest, oneCrashCountsOnceHoweverManyRequestsItLoses)
{
    for (auto turn = 0; turn < 5; ++turn) {
        m_watch.lost(parts{deadly}, 10, m_now);
        m_watch.endpointDown(10, m_now);
    }
    EXPECT_FALSE(isBlocked({deadly}));
}

// Guards against refusing sound requests that share parts with those that crash endpoints.
TEST_F(PromptPartWatchTest, partsWithSoundAnswersAreNeverBlocked)
{
    m_watch.proven(parts{common});
    for (const std::uint64_t endpoint : {10, 11, 12, 13})
        crash(m_watch, endpoint, {common, other, deadly});
    EXPECT_FALSE(isBlocked({common, other, deadly})) << "which of the two it is does not show yet";
    m_watch.proven(parts{other});
    crash(m_watch, 14, {common, other, deadly});
    EXPECT_FALSE(isBlocked({common, other}));
    EXPECT_TRUE(isBlocked({deadly}));
}

// Guards against blocking sound parts at a start of the fleet, when no answer has been sound yet.
TEST_F(PromptPartWatchTest, onlyThePartWithTheMostCrashesIsBlocked)
{
    crash(m_watch, 10, {common, deadly});
    crash(m_watch, 11, {common, other, deadly});
    crash(m_watch, 12, {common, other, deadly});
    EXPECT_FALSE(isBlocked({common, other, deadly}));
    crash(m_watch, 13, {other, deadly});
    EXPECT_TRUE(isBlocked({deadly}));
    EXPECT_FALSE(isBlocked({common, other}));
    // The explained crashes do not speak against the others, also if an edge that has not blocked
    // the part yet reports them once more.
    m_watch.applyReport({.suspects = {{.part = common, .crashes = {10, 11, 12}}}}, m_now);
    crash(m_watch, 14, {common});
    EXPECT_FALSE(isBlocked({common, other}));
}

TEST_F(PromptPartWatchTest, partsThatCannotBeToldApartAreBlockedInTheEnd)
{
    for (const std::uint64_t endpoint : {10, 11, 12, 13})
        crash(m_watch, endpoint, {other, deadly});
    EXPECT_FALSE(isBlocked({other, deadly}));
    crash(m_watch, 14, {other, deadly});
    EXPECT_TRUE(isBlocked({other}));
    EXPECT_TRUE(isBlocked({deadly}));
}

// Guards against taking lost connections for crashes.
TEST_F(PromptPartWatchTest, whatConfirmsACrash)
{
    struct confirmation_case
    {
        const char *name;
        duration nextLossAfter;
        bool isDown;
        bool isConfirmed;
    };
    const std::array cases{
        confirmation_case{"one loss", {}, false, false},
        confirmation_case{"a second loss at once", milliseconds(100), false, true},
        confirmation_case{"a second loss later", milliseconds(600), false, false},
        confirmation_case{"the endpoint is down", {}, true, true},
    };
    for (const auto &each : cases) {
        prompt_part_watch watch{{}};
        for (const std::uint64_t endpoint : {10, 11, 12}) {
            watch.lost(parts{deadly}, endpoint, m_now);
            if (each.nextLossAfter.count() > 0)
                watch.lost({}, endpoint, m_now + each.nextLossAfter);
            if (each.isDown)
                watch.endpointDown(endpoint, m_now + seconds(3));
            m_now = m_now + seconds(5);
        }
        EXPECT_EQ(watch.blockedPart(parts{deadly}, m_now).has_value(), each.isConfirmed)
            << each.name;
    }
}

TEST_F(PromptPartWatchTest, lossIsForgottenIfNothingConfirmsIt)
{
    for (const std::uint64_t endpoint : {10, 11, 12})
        m_watch.lost(parts{deadly}, endpoint, m_now);
    m_now = m_now + seconds(11);
    for (const std::uint64_t endpoint : {10, 11, 12})
        m_watch.endpointDown(endpoint, m_now);
    EXPECT_FALSE(isBlocked({deadly}));
}

TEST_F(PromptPartWatchTest, edgesCombineWhatTheySaw)
{
    prompt_part_watch peer{{}};
    crash(m_watch, 10, {deadly, other});
    crash(peer, 10, {deadly, other});
    crash(peer, 11, {deadly, other});
    crash(peer, 12, {deadly, other});
    m_watch.applyReport(peer.report(m_now), m_now);
    EXPECT_FALSE(isBlocked({deadly, other}));

    // A third edge knows one of the parts to be sound and says so when it hears the suspicion.
    prompt_part_watch third{{}};
    third.proven(parts{other});
    EXPECT_TRUE(third.report(m_now).sound.empty());
    third.applyReport(peer.report(m_now), m_now);
    m_watch.applyReport(third.report(m_now), m_now);
    EXPECT_FALSE(isBlocked({other}));
    EXPECT_TRUE(isBlocked({deadly}));
}

TEST_F(PromptPartWatchTest, blockEndsAfterItsTime)
{
    for (const std::uint64_t endpoint : {10, 11, 12})
        crash(m_watch, endpoint, {deadly});
    m_now = m_now + minutes(6);
    EXPECT_FALSE(isBlocked({deadly}));
}

TEST_F(PromptPartWatchTest, memoryIsBounded)
{
    for (std::uint64_t part = 1; part < 2000; ++part)
        m_watch.lost(parts{part}, 10, m_now);
    m_watch.endpointDown(10, m_now);
    const auto report = m_watch.report(m_now);
    EXPECT_LE(report.suspects.size(), 32U);
    for (std::uint64_t part = 1; part < 50000; ++part)
        m_watch.proven(parts{part});
    EXPECT_TRUE(m_watch.report(m_now).suspects.empty());
}

} // namespace
} // namespace mustardline
