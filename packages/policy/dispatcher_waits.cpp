// Prediction of queueing times, and removal of requests that would wait or have waited too long.

#include <algorithm>

#include "policy/dispatcher_state.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// Quantile of the answer lengths of a class that is taken as the estimated length.
constexpr double lengthQuantile = 0.9;
// The first token must be expected within this fraction of its target, which leaves a margin for
// its variance.
constexpr double targetFraction = 0.9;
// Queued requests are shed when their predicted wait exceeds this multiple of the wait with which
// they would have been admitted.
constexpr double backlogTolerance = 1.5;
// Lower bound on the service rate of a class, as a fraction of the rate at which the places of all
// classes become free.
constexpr double minRateFraction = 0.02;
// Number of requests kept after which a search for late ones ends.
constexpr std::uint32_t maxKept = 64;
constexpr duration sweepInterval = std::chrono::milliseconds(250);

} // namespace

// Estimates the places available to the class: those that it or a later class holds now. Above the
// lowest tier, the estimate is at least what the earlier classes leave of this entry process's
// share of all places: a process that happens to hold few places must not refuse requests of a
// higher tier than those that other entry processes have placed.
auto dispatcher::state::availabilityFor(const target_row &target, std::uint32_t queue) const
    -> place_availability
{
    const auto orderOfQueue
        = [&target](std::uint32_t number) { return target.queue.queue(number).options().order(); };
    const auto own = orderOfQueue(queue);
    const auto &ownStatistics = target.classStatistics[queue];
    place_availability availability;
    double all = 0;
    double heldBefore = 0;
    bool isLowest = target.places.preemptibleBelow[own.tier] == 0;
    for (std::uint32_t number = 0; number < target.classStatistics.size(); ++number) {
        const auto &statistics = target.classStatistics[number];
        const auto order = orderOfQueue(number);
        const auto rate = statistics.releaseRate();
        all += rate;
        if (order < own) {
            heldBefore += std::max<double>(statistics.inFlight(), statistics.load());
            continue;
        }
        isLowest = isLowest && order.tier == own.tier;
        const auto preemptible = order.tier > own.tier ? statistics.preemptible() : 0;
        availability.immediate += preemptible;
        availability.perSecond += std::max(rate, ownStatistics.releaseRate(preemptible));
    }
    // Requests of lower tiers of other entry processes can be preempted as well.
    availability.immediate
        = std::max(availability.immediate, target.places.preemptibleBelow[own.tier]);
    const auto remainder
        = isLowest ? 0 : static_cast<double>(target.places.all) / options.entryCount - heldBefore;
    return {.immediate = availability.immediate,
            .perSecond = std::max({availability.perSecond, all * minRateFraction,
                                   ownStatistics.releaseRate(std::max(remainder, 0.0))})};
}

// Predicted time until a request of the class with `ahead` others before it is placed; zero if not
// known. The first of them take the places of preemptible requests of lower tiers at once.
auto dispatcher::state::predictedWait(const target_row &target, std::uint32_t queue,
                                      std::uint32_t ahead) const -> duration
{
    const auto availability = availabilityFor(target, queue);
    if (availability.perSecond == 0 || ahead < availability.immediate)
        return {};
    return fromSeconds((ahead - availability.immediate + 1) / availability.perSecond);
}

// Returns `ok` if a request that waits for a further `wait` can still meet its latency targets. A
// request with `acceptsLateFirstToken` may miss its first-token target, unless it delays other
// requests of its class that could meet theirs.
auto dispatcher::state::checkTargets(const request_row &row, duration wait, time_point now) const
    -> result_code
{
    const auto &statistics = targets[row.target].classStatistics[row.queue];
    const auto placedAt = now + wait;
    const auto firstToken = fromSeconds(statistics.firstTokenSeconds());
    const bool mayBeLate
        = row.acceptsLateFirstToken && targets[row.target].queue.queue(row.queue).size() <= 1;
    if (row.firstTokenTarget.count() > 0 && !mayBeLate
        && placedAt + firstToken > row.arrivedAt + scaled(row.firstTokenTarget, targetFraction))
        return result_code::overloaded;
    const auto tokens = sizes.quantile(row.requestClass, row.account, lengthQuantile);
    if (placedAt + firstToken + fromSeconds(tokens * statistics.tokenSeconds()) > row.dueAt)
        return result_code::deadline_unmeetable;
    return result_code::ok;
}

// True if a request would miss its targets even if it were placed now.
auto dispatcher::state::missesTargets(std::uint32_t slot, time_point now) const -> bool
{
    const auto &row = requests.at(slot);
    return checkTargets(row, {}, now) != result_code::ok;
}

// Refuses the requests from `slot` on that would miss their targets. The queue is in order of
// arrival except for returned requests at its front, so the search continues past a few requests in
// time.
auto dispatcher::state::refuseLate(std::uint32_t slot, time_point now, dispatch_actions &actions)
    -> void
{
    std::uint32_t kept = 0;
    while (slot != noIndex && kept < maxKept) {
        const auto &row = requests.at(slot);
        const auto next = row.classLink.next;
        const bool isRecent = (now - row.arrivedAt) * 2 < row.firstTokenTarget;
        const bool isKept = isRecent || row.generatedTokens > 0 || !missesTargets(slot, now)
                            || serveLate(slot, {}, now, actions);
        kept += isKept ? 1 : 0;
        if (!isKept)
            refuse(slot, result_code::overloaded, "late", now, actions);
        slot = next;
    }
}

auto dispatcher::state::expireWaiting(target_row &target, time_point now, dispatch_actions &actions)
    -> void
{
    for (std::uint32_t number = 0; number < target.queue.queueCount(); ++number) {
        const auto &queue = target.queue.queue(number);
        while (!queue.empty() && requests.at(queue.oldest()).dueAt <= now)
            refuse(queue.oldest(), result_code::deadline_unmeetable, "expired", now, actions);
        if (!queue.empty() && !hasPendingLowerTier(target, queue.options().tier))
            refuseLate(queue.oldest(), now, actions);
    }
}

// Sheds requests that would be served too late, from the lowest class upwards, so that a backlog
// left by a loss of capacity does not delay all later requests beyond their targets as well.
auto dispatcher::state::shedBacklog(target_row &target, time_point now, dispatch_actions &actions)
    -> void
{
    while (const auto *lowestWaiting = target.queue.lowestWaiting()) {
        const auto slot = lowestWaiting->newestOfLargestAccount();
        const auto &row = requests.at(slot);
        if (hasPendingLowerTier(target, row.tier))
            return;
        const auto wait = predictedWait(target, row.queue, target.queue.size() - 1);
        const auto allowed = scaled(wait, 1 / backlogTolerance);
        const auto verdict = checkTargets(row, allowed, now);
        if (verdict == result_code::ok)
            return;
        refuse(slot, verdict, "backlog", now, actions);
    }
}

// Cancels placed requests that are past their deadline. Requests that are not idempotent continue.
auto dispatcher::state::cancelOverdue(time_point now, dispatch_actions &actions) -> void
{
    if (now < nextSweep)
        return;
    nextSweep = now + sweepInterval;
    for (const auto slot : requests.slots()) {
        auto &row = requests.at(slot);
        if (row.state != request_state::placed || row.cancelling || !row.idempotent
            || row.dueAt > now)
            continue;
        row.cancelling = true;
        actions.emplace_back(cancel_action{
            .request = row.request, .code = result_code::deadline_exceeded, .reason = "deadline"});
    }
}

} // namespace mustardline
