// Tests of the verdict on a new version: a fleet of watches under a load, with a paused clock.

#include "policy/rollout_watch.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};
// The bounds of the roll-out.
constexpr double exposureShare = 0.1;
constexpr double exposureSlack = 50;
constexpr duration rollbackTime = seconds(5);
constexpr std::uint64_t countedBad = 50;
constexpr duration step = milliseconds(5);
constexpr duration reportInterval = milliseconds(500);

// Requests of one route, and the answers of the old version.
struct route_load
{
    std::string route;
    double perSecond = 100;
    duration time = milliseconds(60);
    double failing = 0;
};

// How the new version differs.
struct new_version
{
    double failing = 0;
    double slowFactor = 1;
    // From this time after the order on.
    duration from{};
    // On this route; on all if empty.
    std::string route;
    // Only while it gets most of the traffic.
    bool underLoadOnly = false;
};

struct fleet_options
{
    std::vector<route_load> routes{{.route = "orders"}, {.route = "reads", .perSecond = 30}};
    new_version version;
    std::uint32_t processes = 8;
    duration length = seconds(30);
    // The processes hear nothing of each other between these times.
    duration silentFrom = seconds(1000);
    // The record cannot be read or written between these times.
    duration storeAwayFrom = seconds(1000);
    duration storeAwayTo = seconds(1000);
    // The process that writes the record is lost at this time.
    duration holderLostAt = seconds(1000);
    std::uint64_t seed = 1;
};

struct fleet_outcome
{
    rollout_verdict verdict = rollout_verdict::in_progress;
    duration recordedAt{};
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    // Requests to the new version later than `rollbackTime` after its 50th bad answer.
    std::uint64_t sentLate = 0;
    // Requests to the old version after the record said `completed`, or running there then.
    std::uint64_t lostAtOld = 0;
    std::string badRoute;
};

class rollout_fleet
{
public:
    explicit rollout_fleet(fleet_options options)
        : m_options(std::move(options)), m_random(m_options.seed)
    {
        for (std::uint32_t number = 0; number < m_options.processes; ++number) {
            m_watches.push_back(std::make_unique<rollout_watch>(
                rollout_period{.startedAt = start, .deadlineAt = start + m_options.length},
                rollout_watch_options(), m_random.uniform()));
            m_watches.back()->setPeerCount(m_options.processes - 1);
        }
    }

    auto run() -> fleet_outcome
    {
        // Past the deadline, since the record may be written late.
        for (m_elapsed = {}; m_elapsed < m_options.length + seconds(5); m_elapsed += step) {
            endAttempts();
            if (m_elapsed < m_options.length)
                sendRequests();
            if (m_elapsed % reportInterval == duration(0))
                exchangeReports();
            if (m_elapsed % milliseconds(100) == duration(0))
                judge();
        }
        return m_outcome;
    }

private:
    struct attempt
    {
        std::uint32_t process = 0;
        std::uint64_t request = 0;
        rollout_version version = rollout_version::before;
        bool hasFailed = false;
        bool isBad = false;
    };

    [[nodiscard]] auto now() const -> time_point { return start + m_elapsed; }
    [[nodiscard]] auto isAlive(std::uint32_t process) const -> bool
    {
        return process > 0 || m_elapsed < m_options.holderLostAt;
    }

    auto sendRequests() -> void
    {
        for (const auto &load : m_options.routes) {
            auto &due = m_due[load.route];
            for (due += load.perSecond * toSeconds(step); due >= 1; due -= 1)
                sendRequest(load);
        }
    }

    auto sendRequest(const route_load &load) -> void
    {
        const auto process = static_cast<std::uint32_t>(m_random.uniform() * m_options.processes);
        if (!isAlive(process))
            return;
        const auto version = m_watches[process]->choose(load.route, now());
        m_watches[process]->started(++m_lastRequest, {.route = load.route, .version = version},
                                    now());
        ++m_outcome.requests;
        recordExposure(version);
        attempt sent{.process = process, .request = m_lastRequest, .version = version};
        // Times vary by a factor of four.
        auto time = load.time * (0.5 + 1.5 * m_random.uniform());
        auto failing = load.failing;
        if (version == rollout_version::after && isDifferent(load.route)) {
            sent.isBad = true;
            failing = std::max(failing, m_options.version.failing);
            time *= m_options.version.slowFactor;
        }
        sent.hasFailed = m_random.uniform() < failing;
        sent.isBad = sent.isBad && (sent.hasFailed || m_options.version.slowFactor > 1);
        m_running.emplace(now() + std::chrono::duration_cast<duration>(time), sent);
    }

    auto recordExposure(rollout_version version) -> void
    {
        if (version == rollout_version::before) {
            m_outcome.lostAtOld += m_outcome.verdict == rollout_verdict::completed ? 1 : 0;
            return;
        }
        ++m_outcome.exposed;
        if (m_badAnswers >= countedBad && now() - m_countedBadAt > rollbackTime)
            ++m_outcome.sentLate;
    }

    [[nodiscard]] auto isDifferent(const std::string &route) const -> bool
    {
        const auto &version = m_options.version;
        if (m_elapsed < version.from || (!version.route.empty() && version.route != route))
            return false;
        return !version.underLoadOnly
               || std::ranges::any_of(m_watches, [](const auto &each) { return each->isMoving(); });
    }

    auto endAttempts() -> void
    {
        while (!m_running.empty() && m_running.begin()->first <= now()) {
            const auto ended = m_running.begin()->second;
            m_running.erase(m_running.begin());
            if (isAlive(ended.process))
                m_watches[ended.process]->ended(ended.request, ended.hasFailed, now());
            if (ended.isBad && ++m_badAnswers == countedBad)
                m_countedBadAt = now();
        }
    }

    auto exchangeReports() -> void
    {
        if (m_elapsed >= m_options.silentFrom)
            return;
        for (std::uint32_t from = 0; from < m_options.processes; ++from) {
            for (std::uint32_t to = 0; to < m_options.processes; ++to) {
                if (from != to && isAlive(from))
                    m_watches[to]->applyPeer(std::to_string(from), m_watches[from]->report(),
                                             now());
            }
        }
    }

    // The first process that lives writes the record, and all take it over from there.
    auto judge() -> void
    {
        for (auto &watch : m_watches)
            watch->tick(now());
        if (m_elapsed >= m_options.storeAwayFrom && m_elapsed < m_options.storeAwayTo)
            return;
        const auto &writer = m_watches[isAlive(0) ? 0 : 1];
        if (m_outcome.verdict == rollout_verdict::in_progress
            && writer->verdict() != rollout_verdict::in_progress)
            record(*writer);
        for (auto &watch : m_watches)
            watch->adopt(m_outcome.verdict);
    }

    auto record(const rollout_watch &writer) -> void
    {
        m_outcome.verdict = writer.verdict();
        m_outcome.recordedAt = m_elapsed;
        m_outcome.badRoute = writer.badRoute();
        if (m_outcome.verdict != rollout_verdict::completed)
            return;
        m_outcome.lostAtOld += static_cast<std::uint64_t>(
            std::ranges::count_if(m_running, [this](const auto &item) {
                return item.second.version == rollout_version::before
                       && isAlive(item.second.process);
            }));
    }

    fleet_options m_options;
    random_source m_random;
    std::vector<std::unique_ptr<rollout_watch>> m_watches;
    std::map<std::string, double> m_due;
    std::multimap<time_point, attempt> m_running;
    duration m_elapsed{};
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_badAnswers = 0;
    time_point m_countedBadAt{};
    fleet_outcome m_outcome;
};

auto play(const fleet_options &options) -> fleet_outcome
{
    auto outcome = rollout_fleet(options).run();
    // The rules hold whatever the version is.
    EXPECT_LE(static_cast<double>(outcome.exposed),
              exposureShare * static_cast<double>(outcome.requests) + exposureSlack
                  + (outcome.verdict == rollout_verdict::completed
                         ? static_cast<double>(outcome.requests)
                         : 0));
    EXPECT_EQ(outcome.lostAtOld, 0U);
    return outcome;
}

auto expectRolledBack(const fleet_options &options) -> fleet_outcome
{
    auto outcome = play(options);
    EXPECT_EQ(verdictName(outcome.verdict), "rolled_back") << "seed " << options.seed;
    EXPECT_LE(outcome.recordedAt, options.length);
    EXPECT_EQ(outcome.sentLate, 0U) << "seed " << options.seed;
    return outcome;
}

// A good version that is never completed costs the operator the release.
TEST(RolloutWatchTest, goodVersionIsCompletedBeforeTheDeadline)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto outcome = play({.seed = seed});
        EXPECT_EQ(verdictName(outcome.verdict), "completed") << "seed " << seed;
        EXPECT_LE(outcome.recordedAt, seconds(30));
        EXPECT_GE(outcome.recordedAt, seconds(25)) << "a version that turns bad late is not seen";
    }
}

// An old version with many failures on a route makes a good new one look bad.
TEST(RolloutWatchTest, goodVersionWithAFlakyRouteIsCompleted)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto outcome
            = play({.routes = {{.route = "orders", .failing = 0.14}, {.route = "reads"}},
                    .version = {.failing = 0.14, .route = "orders"},
                    .seed = seed});
        EXPECT_EQ(verdictName(outcome.verdict), "completed") << "seed " << seed;
    }
}

// Every request of a bad version costs a caller.
TEST(RolloutWatchTest, versionBadAtOnceIsRolledBackEarly)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto outcome = expectRolledBack({.version = {.failing = 0.4}, .seed = seed});
        EXPECT_LE(outcome.recordedAt, seconds(15));
    }
}

// Good answers of the first half must not hide what follows.
TEST(RolloutWatchTest, versionBadLateIsRolledBack)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        expectRolledBack({.version = {.failing = 0.4, .from = seconds(15)}, .seed = seed});
}

// The trial alone shows nothing of a version that fails with all traffic.
TEST(RolloutWatchTest, versionBadUnderLoadIsRolledBackWithinTheBound)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        expectRolledBack({.version = {.failing = 0.4, .underLoadOnly = true}, .seed = seed});
}

// The answers of the busy route must not hide the failures of the other one.
TEST(RolloutWatchTest, versionBadOnOneRouteIsRolledBack)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        expectRolledBack({.version = {.failing = 0.5, .route = "reads"}, .seed = seed});
}

TEST(RolloutWatchTest, slowVersionIsRolledBack)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        expectRolledBack({.version = {.slowFactor = 6}, .seed = seed});
}

// Answers that have not come by the deadline would never count otherwise.
TEST(RolloutWatchTest, versionThatDoesNotAnswerIsRolledBack)
{
    const auto outcome = expectRolledBack({.version = {.slowFactor = 2000}});
    EXPECT_LE(outcome.recordedAt, seconds(25));
}

// A process that does not hear of the others' bad answers must not go on.
TEST(RolloutWatchTest, silentPeersEndTheTrial)
{
    const auto outcome
        = expectRolledBack({.version = {.failing = 0.4}, .silentFrom = milliseconds(100)});
    // That of the time for which silence is tolerated, at 130 requests a second.
    EXPECT_LE(static_cast<double>(outcome.exposed), exposureShare * 130 * 3.1 + exposureSlack);
    expectRolledBack({.silentFrom = seconds(10)});
}

// The processes go on with the evidence of a lost one, and its verdict is not lost.
TEST(RolloutWatchTest, lostHolderIsReplaced)
{
    expectRolledBack({.version = {.failing = 0.4}, .holderLostAt = seconds(3)});
    const auto outcome = play({.holderLostAt = seconds(20)});
    EXPECT_EQ(verdictName(outcome.verdict), "completed");
}

// While the record cannot be written, the processes act on their own verdicts.
TEST(RolloutWatchTest, badVersionGetsNothingWhileTheStoreIsAway)
{
    const auto outcome = play(
        {.version = {.failing = 0.4}, .storeAwayFrom = seconds(0), .storeAwayTo = seconds(28)});
    EXPECT_EQ(verdictName(outcome.verdict), "rolled_back");
    EXPECT_EQ(outcome.sentLate, 0U);
}

// A verdict that could not be written in time is not one: the exposure would go on without a limit.
TEST(RolloutWatchTest, unwrittenCompletionIsWithdrawnAtTheDeadline)
{
    const auto outcome = play({.storeAwayFrom = seconds(20), .storeAwayTo = seconds(33)});
    EXPECT_EQ(verdictName(outcome.verdict), "rolled_back");
}

TEST(RolloutWatchTest, recordedVerdictIsNeverReversed)
{
    rollout_watch watch({.startedAt = start, .deadlineAt = start + seconds(10)}, {}, 0);
    watch.adopt(rollout_verdict::in_progress);
    EXPECT_FALSE(watch.isRecorded());
    watch.tick(start + seconds(11));
    EXPECT_EQ(watch.verdict(), rollout_verdict::rolled_back);
    watch.adopt(rollout_verdict::completed);
    watch.adopt(rollout_verdict::rolled_back);
    watch.tick(start + seconds(12));
    EXPECT_EQ(watch.verdict(), rollout_verdict::completed);
    EXPECT_EQ(watch.choose("orders", start + seconds(12)), rollout_version::after);
}

// Requests that are refused do not reach the service, so they permit none to the new version.
TEST(RolloutWatchTest, refusedRequestsYieldNoExposure)
{
    rollout_watch watch({.startedAt = start, .deadlineAt = start + seconds(60)}, {.allowance = 0},
                        0.9);
    for (int count = 0; count < 1000; ++count)
        EXPECT_EQ(watch.choose("orders", start), rollout_version::before);
}

// A route without traffic for the trial is unknown, and unknown is not good.
TEST(RolloutWatchTest, versionWithoutAnswersIsRolledBack)
{
    rollout_watch watch({.startedAt = start, .deadlineAt = start + seconds(10)}, {}, 0);
    for (auto at = start; at < start + seconds(10); at = at + milliseconds(100)) {
        watch.tick(at);
        EXPECT_FALSE(watch.isMoving());
    }
    EXPECT_EQ(watch.verdict(), rollout_verdict::rolled_back);
}

} // namespace

} // namespace mustardline
