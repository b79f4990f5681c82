#include "policy/rollout_watch.h"

#include <algorithm>
#include <cmath>

#include "policy/durations.h"

namespace mustardline {

namespace {

// Periods over which recent answers are judged alone. The short one shows a version that fails
// much, the long one a version that fails little or gets little traffic.
constexpr auto judgedPeriods
    = std::to_array<duration>({std::chrono::seconds(5), std::chrono::seconds(15)});
constexpr duration snapshotInterval = std::chrono::milliseconds(500);
// With fewer answers of the old version in a period, all its answers are the reference.
constexpr std::uint64_t minReference = 30;
// Step of the median estimate, relative to its value, and its lower limit.
constexpr double firstStep = 0.5;
constexpr double lastStep = 0.02;

auto indexOf(rollout_version version) -> std::size_t
{
    return static_cast<std::size_t>(version);
}

auto hasWork(const rollout_counts &counts) -> bool
{
    return std::ranges::any_of(
        counts, [](const auto &item) { return item.second[0].sent > item.second[0].answered; });
}

auto badOf(const version_counts &counts) -> std::uint64_t
{
    return counts.failed + counts.slow;
}

// Requests with a known outcome; those that are slow and have not ended are known to be bad.
auto judgedOf(const version_counts &counts) -> std::uint64_t
{
    return std::max(counts.answered, badOf(counts));
}

// Counts of a process that restarted or of a late datagram may be lower than earlier ones.
auto less(std::uint64_t value, std::uint64_t subtracted) -> std::uint64_t
{
    return value - std::min(value, subtracted);
}

auto difference(const version_counts &now, const version_counts &start) -> version_counts
{
    return {.sent = less(now.sent, start.sent),
            .answered = less(now.answered, start.answered),
            .failed = less(now.failed, start.failed),
            .slow = less(now.slow, start.slow)};
}

// Probability of at least `bad` of `answers` where each is bad with probability `share`.
auto tailProbability(std::uint64_t answers, std::uint64_t bad, double share) -> double
{
    if (bad == 0 || share >= 1)
        return 1;
    const auto n = static_cast<double>(answers);
    double sum = 0;
    for (auto k = bad; k <= answers; ++k) {
        const auto x = static_cast<double>(k);
        const auto term = std::exp(std::lgamma(n + 1) - std::lgamma(x + 1) - std::lgamma(n - x + 1)
                                   + x * std::log(share) + (n - x) * std::log1p(-share));
        sum += term;
        // Beyond the mean the terms fall, and the rest no longer counts.
        if (x > n * share && term < sum * 1e-6)
            break;
    }
    return std::min(sum, 1.0);
}

} // namespace

auto verdictName(rollout_verdict verdict) -> std::string_view
{
    switch (verdict) {
    case rollout_verdict::in_progress:
        return "in_progress";
    case rollout_verdict::completed:
        return "completed";
    case rollout_verdict::rolled_back:
        return "rolled_back";
    }
    return "in_progress";
}

auto version_counts::operator+=(const version_counts &other) -> version_counts &
{
    sent += other.sent;
    answered += other.answered;
    failed += other.failed;
    slow += other.slow;
    return *this;
}

rollout_watch::rollout_watch(rollout_period period, rollout_watch_options options, double phase)
    : m_period(period), m_options(options), m_phase(phase), m_oldWorkAt(period.startedAt)
{}

auto rollout_watch::choose(std::string_view route, time_point now) -> rollout_version
{
    if (m_recorded == rollout_verdict::completed)
        return rollout_version::after;
    if (verdict() == rollout_verdict::rolled_back || now >= m_period.deadlineAt)
        return rollout_version::before;
    auto due = m_due.find(route);
    if (due == m_due.end())
        due = m_due.emplace(std::string(route), m_phase).first;
    due->second = std::min(due->second + m_options.trialShare, 1 + m_options.trialShare);
    if (!hearsPeers(now) || (!m_isMoving && due->second < 1))
        return rollout_version::before;
    if (m_credit + m_options.allowance / (m_peerCount + 1) < 1) {
        m_isSpent = m_isSpent || m_isMoving;
        m_isMoving = false;
        return rollout_version::before;
    }
    m_credit -= 1;
    due->second = std::max(due->second - 1, 0.0);
    return rollout_version::after;
}

auto rollout_watch::started(std::uint64_t request, const rollout_attempt &attempt, time_point now)
    -> void
{
    // Only requests that reach the service count, so that refused ones yield no credit.
    if (!attempt.isRetry)
        m_credit += m_options.guardShare;
    else if (attempt.version == rollout_version::after)
        m_credit -= 1;
    const std::string route(attempt.route);
    ++m_own[route][indexOf(attempt.version)].sent;
    m_running.insert_or_assign(request, running_attempt{.route = route,
                                                        .version = attempt.version,
                                                        .startedAt = now,
                                                        .isCold = attempt.isCold});
}

auto rollout_watch::ended(std::uint64_t request, bool hasFailed, time_point now) -> void
{
    const auto found = m_running.find(request);
    if (found == m_running.end())
        return;
    auto &attempt = found->second;
    auto &counts = m_own[attempt.route][indexOf(attempt.version)];
    ++counts.answered;
    if (isSlow(attempt, now))
        markSlow(attempt);
    else if (hasFailed && !attempt.isSlow)
        ++counts.failed;
    if (!hasFailed && !attempt.isCold && attempt.version == rollout_version::before)
        addTime(attempt.route, now - attempt.startedAt);
    m_running.erase(found);
}

auto rollout_watch::applyPeer(const std::string &boot, rollout_report report, time_point now)
    -> void
{
    m_peers[boot] = {.report = std::move(report), .heardAt = now};
}

auto rollout_watch::adopt(rollout_verdict verdict) -> void
{
    if (!m_recorded && verdict != rollout_verdict::in_progress)
        m_recorded = verdict;
}

auto rollout_watch::tick(time_point now) -> void
{
    markOutstanding(now);
    if (verdict() == rollout_verdict::rolled_back || m_recorded)
        return;
    const auto counts = totals();
    keepSnapshot(counts, now);
    const auto isTooLate = now >= m_period.deadlineAt - writeTime() / 2 && !m_isMoving;
    if (isBad(counts, now) || isTooLate || now >= m_period.deadlineAt) {
        m_verdict = rollout_verdict::rolled_back;
        m_isMoving = false;
        return;
    }
    updateMove(counts, now);
}

auto rollout_watch::updateMove(const rollout_counts &counts, time_point now) -> void
{
    if (!m_isMoving)
        m_isMoving = !m_isSpent && now >= moveAt() && hearsPeers(now) && isProved(counts);
    if (!m_isMoving || hasOldWork(now))
        m_oldWorkAt = now;
    const auto isDone = m_isMoving && hearsPeers(now) && now - m_oldWorkAt >= m_options.quietTime;
    m_verdict = isDone ? rollout_verdict::completed : rollout_verdict::in_progress;
}

auto rollout_watch::totals() const -> rollout_counts
{
    auto sums = m_own;
    for (const auto &[boot, row] : m_peers) {
        for (const auto &[route, counts] : row.report.counts) {
            auto &sum = sums[route];
            sum[0] += counts[0];
            sum[1] += counts[1];
        }
    }
    return sums;
}

// A process that does not hear most of the others does not know of their bad answers.
auto rollout_watch::hearsPeers(time_point now) const -> bool
{
    const auto heard = std::ranges::count_if(m_peers, [this, now](const auto &item) {
        return now - item.second.heardAt <= m_options.silence;
    });
    return static_cast<std::uint64_t>(heard) * 2 >= m_peerCount;
}

auto rollout_watch::isSlow(const running_attempt &attempt, time_point now) const -> bool
{
    if (attempt.isSlow || attempt.isCold)
        return false;
    const auto median = m_times.find(attempt.route);
    if (median == m_times.end() || median->second.count < m_options.minTimes)
        return false;
    const auto taken = now - attempt.startedAt;
    return taken > m_options.minSlow
           && toSeconds(taken) > median->second.value * m_options.slowFactor;
}

// Moves the estimate towards each time by a step that does not depend on the distance, so that
// single long answers do not move it far.
auto rollout_watch::addTime(const std::string &route, duration taken) -> void
{
    auto &median = m_times[route];
    const auto value = toSeconds(taken);
    if (median.count++ == 0) {
        median.value = value;
        return;
    }
    const auto step = std::max(firstStep / static_cast<double>(median.count), lastStep);
    median.value *= value > median.value ? 1 + step : 1 - step;
}

auto rollout_watch::markSlow(running_attempt &attempt) -> void
{
    attempt.isSlow = true;
    ++m_own[attempt.route][indexOf(attempt.version)].slow;
}

auto rollout_watch::markOutstanding(time_point now) -> void
{
    for (auto &[number, attempt] : m_running) {
        if (isSlow(attempt, now))
            markSlow(attempt);
    }
}

auto rollout_watch::keepSnapshot(const rollout_counts &counts, time_point now) -> void
{
    if (!m_snapshots.empty() && now - m_snapshots.back().at < snapshotInterval)
        return;
    m_snapshots.push_back({.at = now, .counts = counts});
    while (m_snapshots.size() > 1 && now - m_snapshots[1].at >= judgedPeriods.back())
        m_snapshots.pop_front();
}

auto rollout_watch::evidenceOf(const version_counts &before, const version_counts &after) const
    -> evidence
{
    // One bad answer more than was seen, since few answers prove little.
    const auto oldShare
        = static_cast<double>(badOf(before) + 1) / static_cast<double>(judgedOf(before) + 2);
    return {.answers = judgedOf(after),
            .bad = badOf(after),
            .tolerated = oldShare * m_options.toleratedRatio + m_options.toleratedShare};
}

auto rollout_watch::isLessLikelyThan(const evidence &found, double probability) const -> bool
{
    return found.bad >= m_options.minBad
           && tailProbability(found.answers, found.bad, found.tolerated) < probability;
}

auto rollout_watch::findBad(const rollout_counts &counts, const rollout_counts &start,
                            double probability, std::string &route) const -> bool
{
    evidence all;
    double toleratedBad = 0;
    for (const auto &[name, versions] : counts) {
        const auto earlier = start.find(name);
        const auto base = earlier == start.end() ? route_counts() : earlier->second;
        auto before = difference(versions[0], base[0]);
        if (judgedOf(before) < minReference)
            before = versions[0];
        const auto found = evidenceOf(before, difference(versions[1], base[1]));
        if (isLessLikelyThan(found, probability)) {
            route = name;
            return true;
        }
        all.answers += found.answers;
        all.bad += found.bad;
        toleratedBad += found.tolerated * static_cast<double>(found.answers);
    }
    if (all.answers == 0)
        return false;
    all.tolerated = toleratedBad / static_cast<double>(all.answers);
    return isLessLikelyThan(all, probability);
}

auto rollout_watch::isBad(const rollout_counts &counts, time_point now) -> bool
{
    if (findBad(counts, {}, m_options.falseAlarm, m_badRoute))
        return true;
    return std::ranges::any_of(judgedPeriods, [&](duration period) {
        // The newest snapshot that is at least as old as the period.
        const auto next = std::ranges::find_if(
            m_snapshots, [&](const snapshot &item) { return now - item.at < period; });
        return next != m_snapshots.begin()
               && findBad(counts, std::prev(next)->counts, m_options.falseAlarm, m_badRoute);
    });
}

auto rollout_watch::isProved(const rollout_counts &counts) const -> bool
{
    std::string route;
    if (findBad(counts, {}, m_options.doubt, route))
        return false;
    std::uint64_t answers = 0;
    for (const auto &[name, versions] : counts) {
        // A rare route gets few trial requests; half of its expected number has to suffice.
        const auto expected = static_cast<double>(versions[0].sent) * m_options.trialShare / 2;
        const auto needed = std::min(m_options.minAnswers, static_cast<std::uint64_t>(expected));
        if (versions[1].answered < needed)
            return false;
        answers += versions[1].answered;
    }
    return answers >= m_options.minAnswers;
}

auto rollout_watch::writeTime() const -> duration
{
    const auto length = m_period.deadlineAt - m_period.startedAt;
    return std::max(m_options.minWriteTime, scaled(length, m_options.writeShare));
}

// The credit that the trial has left allows all traffic for this part of the roll-out.
auto rollout_watch::moveAt() const -> time_point
{
    const auto length = m_period.deadlineAt - m_period.startedAt;
    const auto part = (m_options.guardShare - m_options.trialShare) / (1 - m_options.guardShare);
    const auto move = std::min(scaled(length, std::max(part, 0.0)), m_options.maxMove);
    return m_period.deadlineAt - writeTime() - move;
}

auto rollout_watch::hasOwnOldWork() const -> bool
{
    return hasWork(m_own);
}

// Whether a process that was heard of lately may have attempts at the old version.
auto rollout_watch::hasOldWork(time_point now) const -> bool
{
    return hasOwnOldWork() || std::ranges::any_of(m_peers, [&](const auto &item) {
               const auto &report = item.second.report;
               return now - item.second.heardAt <= m_options.silence
                      && (!report.hasMoved || hasWork(report.counts));
           });
}

} // namespace mustardline
