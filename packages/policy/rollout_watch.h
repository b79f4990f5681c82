#pragma once

// Judges a new version of a service during a roll-out, and limits the traffic that it gets.
//
//     rollout_watch watch({.startedAt = now, .deadlineAt = now + 60s}, {}, random.uniform());
//     const auto version = watch.choose("chat", now);
//     watch.started(request, {.route = "chat", .version = version}, now);
//     watch.ended(request, false, now);
//     watch.applyPeer(boot, report, now);
//     watch.tick(now); // several times a second
//     if (watch.verdict() == rollout_verdict::rolled_back) ...
//
// Each process has a watch. Most of the time the new version gets `trialShare` of each route. Near
// the deadline all traffic moves to it; the roll-out is complete when the old version's requests
// have ended. A process may send at most `guardShare` of its own requests, and its part of
// `allowance`, to the new version. The sum over all processes thus stays below the bound without
// any message between them.
//
// The version is bad if its share of failed or slow answers on a route is larger than that of the
// old version by more than chance explains. Recent answers are also judged alone, so that earlier
// good ones do not hide a version that turns bad. Where evidence is missing, the version is not
// good: it gets no more than the trial, and is rolled back at the deadline.
//
// The verdict of a watch holds only for its process. The one that counts for all is written to a
// record, from which each watch takes it over with `adopt`.
//
// The class does no I/O and is not thread-safe. Time is monotonic.

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"

namespace mustardline {

enum class rollout_version : std::uint8_t { before, after };

enum class rollout_verdict : std::uint8_t { in_progress, completed, rolled_back };

[[nodiscard]] auto verdictName(rollout_verdict verdict) -> std::string_view;

// Attempts of one version on one route. `slow` counts an attempt as soon as it has taken too long,
// and `failed` leaves out those that are in `slow`.
struct version_counts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;

    auto operator+=(const version_counts &other) -> version_counts &;
    auto operator==(const version_counts &) const -> bool = default;
};

// Both versions on one route, indexed by rollout_version.
using route_counts = std::array<version_counts, 2>;
// Keyed by route.
using rollout_counts = std::map<std::string, route_counts, std::less<>>;

// What a process tells the others.
struct rollout_report
{
    rollout_counts counts;
    // It sends all requests to the new version.
    bool hasMoved = false;

    auto operator==(const rollout_report &) const -> bool = default;
};

struct rollout_period
{
    time_point startedAt{};
    time_point deadlineAt{};
};

struct rollout_watch_options
{
    // Share of the requests of a route that the new version gets on trial.
    double trialShare = 0.02;
    // Upper limit of the share of this process's requests, counted from the start.
    double guardShare = 0.095;
    // Requests to the new version beyond `guardShare`, divided among the processes.
    double allowance = 25;
    // Probability of so many bad answers by chance below which the version is bad.
    double falseAlarm = 1e-5;
    // The same below which it is not good: all traffic does not move to it.
    double doubt = 0.005;
    // Least number of bad answers for a verdict.
    std::uint64_t minBad = 3;
    // Difference in the shares of bad answers that is tolerated: a part of the old version's share,
    // and a constant.
    double toleratedRatio = 1.25;
    double toleratedShare = 0.01;
    // Answers on a route that show that the version is good there.
    std::uint64_t minAnswers = 10;
    // An answer is slow if it takes this many times the old version's median on the route.
    double slowFactor = 3;
    // Answers of the old version from which its median is known.
    std::uint64_t minTimes = 8;
    // Shorter answers are never slow: scheduling delays have this size.
    duration minSlow = std::chrono::milliseconds(20);
    // Longest time for which all traffic goes to the new version before it is complete.
    duration maxMove = std::chrono::seconds(10);
    // Time kept for the record: this part of the roll-out, and no less than the minimum.
    double writeShare = 0.05;
    duration minWriteTime = std::chrono::milliseconds(1000);
    // Time after which a process that sent nothing counts as silent.
    duration silence = std::chrono::seconds(3);
    // Time without attempts at the old version after which they have ended.
    duration quietTime = std::chrono::milliseconds(200);
};

// An attempt at an endpoint.
struct rollout_attempt
{
    std::string_view route;
    rollout_version version = rollout_version::before;
    // The request was sent before.
    bool isRetry = false;
    // The endpoint has just started and is slow for that reason.
    bool isCold = false;
};

class rollout_watch
{
public:
    // `phase`, in [0, 1), spreads the first trial requests of the processes.
    rollout_watch(rollout_period period, rollout_watch_options options, double phase);

    // The start and the deadline, where a record states them.
    auto setPeriod(rollout_period period) -> void { m_period = period; }
    [[nodiscard]] auto period() const -> rollout_period { return m_period; }

    // Chooses the version for a new request and charges its exposure.
    [[nodiscard]] auto choose(std::string_view route, time_point now) -> rollout_version;
    // The new version that was chosen has no room for the request.
    auto refund() -> void { m_credit += 1; }

    // An attempt was sent to an endpoint, or has ended. A request has one attempt at a time.
    auto started(std::uint64_t request, const rollout_attempt &attempt, time_point now) -> void;
    auto ended(std::uint64_t request, bool hasFailed, time_point now) -> void;

    // Sets the number of other processes that should report.
    auto setPeerCount(std::uint32_t count) -> void { m_peerCount = count; }
    // Replaces the report of another process; `boot` is unique for each start of a process, so that
    // the evidence of an ended one is kept.
    auto applyPeer(const std::string &boot, rollout_report report, time_point now) -> void;

    // Takes over the verdict of the record. The first final one holds, whatever this process found.
    auto adopt(rollout_verdict verdict) -> void;

    // Judges the evidence.
    auto tick(time_point now) -> void;

    // The recorded verdict, or else the one of this process.
    [[nodiscard]] auto verdict() const -> rollout_verdict { return m_recorded.value_or(m_verdict); }
    [[nodiscard]] auto isRecorded() const -> bool { return m_recorded.has_value(); }
    [[nodiscard]] auto isMoving() const -> bool { return m_isMoving; }
    [[nodiscard]] auto report() const -> rollout_report
    {
        return {.counts = m_own, .hasMoved = m_isMoving};
    }
    [[nodiscard]] auto totals() const -> rollout_counts;
    // Whether attempts of this process at the old version have not ended.
    [[nodiscard]] auto hasOwnOldWork() const -> bool;
    // The route that showed that the version is bad; empty for all routes together.
    [[nodiscard]] auto badRoute() const -> const std::string & { return m_badRoute; }

private:
    struct peer
    {
        rollout_report report;
        time_point heardAt{};
    };
    struct running_attempt
    {
        std::string route;
        rollout_version version = rollout_version::before;
        time_point startedAt{};
        bool isCold = false;
        bool isSlow = false;
    };
    struct snapshot
    {
        time_point at{};
        rollout_counts counts;
    };
    // Running estimate of a median, in seconds.
    struct median_time
    {
        double value = 0;
        std::uint64_t count = 0;
    };
    struct evidence
    {
        std::uint64_t answers = 0;
        std::uint64_t bad = 0;
        // Largest share of bad answers of a good version.
        double tolerated = 0;
    };

    [[nodiscard]] auto hearsPeers(time_point now) const -> bool;
    [[nodiscard]] auto isSlow(const running_attempt &attempt, time_point now) const -> bool;
    auto addTime(const std::string &route, duration taken) -> void;
    auto markSlow(running_attempt &attempt) -> void;
    auto markOutstanding(time_point now) -> void;
    auto keepSnapshot(const rollout_counts &counts, time_point now) -> void;
    [[nodiscard]] auto evidenceOf(const version_counts &before, const version_counts &after) const
        -> evidence;
    [[nodiscard]] auto isLessLikelyThan(const evidence &found, double probability) const -> bool;
    // Looks for bad answers since `start` that are less likely than `probability`; returns whether
    // there are, and sets `route`.
    [[nodiscard]] auto findBad(const rollout_counts &counts, const rollout_counts &start,
                               double probability, std::string &route) const -> bool;
    [[nodiscard]] auto isBad(const rollout_counts &counts, time_point now) -> bool;
    [[nodiscard]] auto isProved(const rollout_counts &counts) const -> bool;
    [[nodiscard]] auto moveAt() const -> time_point;
    [[nodiscard]] auto writeTime() const -> duration;
    [[nodiscard]] auto hasOldWork(time_point now) const -> bool;
    auto updateMove(const rollout_counts &counts, time_point now) -> void;

    rollout_period m_period;
    rollout_watch_options m_options;
    double m_phase;
    // Of this process; `completed` may be withdrawn until it is recorded.
    rollout_verdict m_verdict = rollout_verdict::in_progress;
    // The final verdict of the record.
    std::optional<rollout_verdict> m_recorded;
    std::string m_badRoute;
    bool m_isMoving = false;
    // The credit ran out during the move.
    bool m_isSpent = false;
    time_point m_oldWorkAt{};
    std::uint32_t m_peerCount = 0;
    // Requests that this process may still send to the new version.
    double m_credit = 0;
    // Fraction of a trial request that each route has collected.
    std::map<std::string, double, std::less<>> m_due;
    std::map<std::string, median_time, std::less<>> m_times;
    std::unordered_map<std::uint64_t, running_attempt> m_running;
    rollout_counts m_own;
    // Keyed by boot.
    std::map<std::string, peer> m_peers;
    // The newest last.
    std::deque<snapshot> m_snapshots;
};

} // namespace mustardline
