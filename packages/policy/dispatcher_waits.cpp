// What a request may expect to wait, and what becomes of those that wait too long.

#include <algorithm>

#include "policy/dispatcher_state.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// The part of the answers of a class that must be no longer than the estimate.
constexpr double sizeQuantile = 0.9;
// A first token must be expected within this part of its target, because its time varies.
constexpr double targetPart = 0.9;
// Waiting requests are shed when their wait is this much over what would have been admitted.
constexpr double hopelessFactor = 1.5;
// A class is never taken to be served at less than this part of all places that come free.
constexpr double leastPart = 0.02;
// Requests in time that a search for late ones passes over.
constexpr std::uint32_t mostPassed = 64;
constexpr duration sweepInterval = std::chrono::milliseconds(250);

} // namespace

// The places that the class would take: those that it or a later class holds now. Above the lowest
// tier, it is at least what the classes before it leave of this entry's part of all places: an
// entry that happens to hold few must not refuse what is higher than others' requests.
auto dispatcher::state::supplyOf(const target_row &target, std::uint32_t queue) const
    -> place_supply
{
    const auto orderOf = [&target](std::uint32_t number) {
        const auto &options = target.queue.queue(number).options();
        return std::pair(options.tier, options.priority);
    };
    const auto own = orderOf(queue);
    const auto &ownPace = target.paces[queue];
    place_supply supply;
    double all = 0;
    double before = 0;
    bool isLowest = target.places.stoppableBelow[own.first] == 0;
    for (std::uint32_t number = 0; number < target.paces.size(); ++number) {
        const auto &pace = target.paces[number];
        const auto order = orderOf(number);
        const auto freed = pace.freedPerSecond();
        all += freed;
        if (order < own) {
            before += std::max<double>(pace.inFlight(), pace.load());
            continue;
        }
        isLowest = isLowest && order.first == own.first;
        const auto stoppable = order.first > own.first ? pace.stoppable() : 0;
        supply.atOnce += stoppable;
        supply.perSecond += std::max(freed, ownPace.freedPerSecond(stoppable));
    }
    // Other entries' requests of lower tiers make way as well.
    supply.atOnce = std::max(supply.atOnce, target.places.stoppableBelow[own.first]);
    const auto part
        = isLowest ? 0 : static_cast<double>(target.places.all) / options.entryCount - before;
    return {.atOnce = supply.atOnce,
            .perSecond = std::max(
                {supply.perSecond, all * leastPart, ownPace.freedPerSecond(std::max(part, 0.0))})};
}

// Time until a request of the class with `ahead` others before it is placed; zero if nothing is
// known. The first of them take what lower tiers hold and may be stopped.
auto dispatcher::state::predictedWait(const target_row &target, std::uint32_t queue,
                                      std::uint32_t ahead) const -> duration
{
    const auto supply = supplyOf(target, queue);
    if (supply.perSecond == 0 || ahead < supply.atOnce)
        return {};
    return fromSeconds((ahead - supply.atOnce + 1) / supply.perSecond);
}

// `ok` if a request that waits for `wait` more can still be in time for its targets. One that is
// wanted late as well may miss its first token's, unless it keeps others waiting that could be in
// time.
auto dispatcher::state::lateness(const request_row &row, duration wait, time_point now) const
    -> result_code
{
    const auto &pace = targets[row.target].paces[row.queue];
    const auto placedAt = now + wait;
    const auto firstToken = fromSeconds(pace.firstTokenSeconds());
    const bool mayBeLate = row.wantedLate && targets[row.target].queue.queue(row.queue).size() <= 1;
    if (row.firstTokenTarget.count() > 0 && !mayBeLate
        && placedAt + firstToken > row.arrivedAt + scaled(row.firstTokenTarget, targetPart))
        return result_code::overloaded;
    const auto tokens = sizes.quantile(row.requestClass, row.account, sizeQuantile);
    if (placedAt + firstToken + fromSeconds(tokens * pace.tokenSeconds()) > row.dueAt)
        return result_code::deadline_unmeetable;
    return result_code::ok;
}

// True for a request that would miss its target even if it were placed now.
auto dispatcher::state::isLate(std::uint32_t slot, time_point now) const -> bool
{
    const auto &row = requests.at(slot);
    return lateness(row, {}, now) != result_code::ok;
}

// Refuses the late ones from `slot` on. The order is that of arrival except for some that came back
// and stand first, so the search goes on past a few that are in time.
auto dispatcher::state::refuseLate(std::uint32_t slot, time_point now, dispatch_actions &actions)
    -> void
{
    std::uint32_t passed = 0;
    while (slot != noIndex && passed < mostPassed) {
        const auto &row = requests.at(slot);
        const auto next = row.classLink.next;
        const bool isYoung = (now - row.arrivedAt) * 2 < row.firstTokenTarget;
        if (!isYoung && row.generatedTokens == 0 && isLate(slot, now))
            refuse(slot, result_code::overloaded, "late", now, actions);
        else
            ++passed;
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
        if (!queue.empty() && !holdsLowerTier(target, queue.options().tier))
            refuseLate(queue.oldest(), now, actions);
    }
}

// Sheds from the lowest class upward what would be served too late, so that a backlog left by a
// loss of capacity does not make everything behind it late as well.
auto dispatcher::state::shedHopeless(target_row &target, time_point now, dispatch_actions &actions)
    -> void
{
    while (const auto *lowest = target.queue.lowest()) {
        const auto slot = lowest->newestOfLargest();
        const auto &row = requests.at(slot);
        if (holdsLowerTier(target, row.tier))
            return;
        const auto wait = predictedWait(target, row.queue, target.queue.size() - 1);
        const auto allowed = scaled(wait, 1 / hopelessFactor);
        const auto verdict = lateness(row, allowed, now);
        if (verdict == result_code::ok)
            return;
        refuse(slot, verdict, "backlog", now, actions);
    }
}

// Stops answers that can no longer be in time; what may not be repeated is left to end.
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
