// Placement of requests on endpoints with chunked prefill, by lanes (see prompt_placement.h).

#include <algorithm>

#include "policy/dispatcher_state.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// A request that will be late waits for this fraction of its time; the rest is left for the answer,
// or for the caller to try elsewhere.
constexpr double maxLateWaitFraction = 0.5;

} // namespace

auto dispatcher::state::recordUnplaced(target_row &target, const request_row &row, time_point now)
    -> void
{
    if (unplacedOrder(target, now) < orderOf(row))
        return;
    target.unplacedOrder = orderOf(row);
    target.unplacedUntil = now + row.firstTokenTarget;
}

// Long and short prompts are placed on separate sets of endpoints (lanes), so a request that finds
// no room blocks only the other requests of its lane. A short prompt that finds none also holds
// back less urgent long ones, here and at the other entry processes, and does so for a while after
// it was refused: they would keep their endpoints from it for long. A class of long prompts that
// was passed over for long still gets its turn.
auto dispatcher::state::placePrompts(target_row &target, time_point now, dispatch_actions &actions)
    -> void
{
    std::array<bool, promptLanes> isFull{};
    std::vector<bool> excluded;
    const auto unplaced
        = [&] { return std::min(unplacedOrder(target, now), target.prompts.othersUnplaced()); };
    for (;;) {
        const auto slot = target.queue.nextExcluding(excluded, requests, now);
        if (slot == noIndex)
            return;
        const auto &row = requests.at(slot);
        const auto lane = prompt_placement::laneOf(row.promptTokens);
        const bool isHeldBack = lane == longLane && unplaced() < orderOf(row)
                                && !target.queue.isTurnDue(row.queue, now);
        const auto choice
            = isFull[lane] || isHeldBack ? placement_choice() : choosePrompt(target, slot, now);
        if (choice.endpoint != noIndex) {
            place(target, slot, choice, now, actions);
            continue;
        }
        isFull[lane] = isFull[lane] || !isHeldBack;
        excluded.resize(target.queue.queueCount());
        excluded[row.queue] = true;
        if (lane == shortLane)
            recordUnplaced(target, row, now);
    }
}

auto dispatcher::state::promptCriteria(const request_row &row) const -> prompt_criteria
{
    const auto &reserves = targets[row.target].promptReserves;
    const bool isReserving
        = prompt_placement::laneOf(row.promptTokens) == longLane && row.queue < reserves.size();
    return {.order = orderOf(row),
            .promptTokens = row.promptTokens,
            .sharedTokens = row.sharedTokens,
            .prefixHash = row.prefixHash,
            .firstTokenTarget = row.firstTokenTarget,
            .reserve = isReserving ? reserves[row.queue] : 0,
            .avoid = row.attempt > 0 ? row.endpoint : noIndex};
}

auto dispatcher::state::choosePrompt(target_row &target, std::uint32_t slot, time_point now)
    -> placement_choice
{
    const auto &row = requests.at(slot);
    auto wish = promptCriteria(row);
    auto choice = target.prompts.choose(endpoints, wish, now);
    if (choice.endpoint == noIndex && wish.avoid != noIndex) {
        wish.avoid = noIndex;
        choice = target.prompts.choose(endpoints, wish, now);
    }
    return choice;
}

auto dispatcher::state::updatePromptReserves(target_row &target) -> void
{
    target.promptReserves.resize(target.classStatistics.size());
    for (std::uint32_t number = 0; number < target.promptReserves.size(); ++number) {
        target.promptReserves[number]
            = reserveFor(target, target.queue.queue(number).options().order());
    }
}

// Serves a request late that can no longer be in time: places it among less urgent ones, or lets it
// wait for one of their places, which would go to others of them otherwise. Returns false if it
// should be refused. `wait` is the predicted time until it would be placed.
auto dispatcher::state::serveLate(std::uint32_t slot, duration wait, time_point now,
                                  dispatch_actions &actions) -> bool
{
    const auto &row = requests.at(slot);
    auto &target = targets[row.target];
    const auto criteria = promptCriteria(row);
    if (!row.acceptsLateFirstToken || !target.prompts.isOtherLaneLessUrgent(criteria))
        return false;
    const auto choice = target.prompts.chooseLate(endpoints, criteria, now);
    if (choice.endpoint == noIndex)
        return now + wait < row.arrivedAt + scaled(row.dueAt - row.arrivedAt, maxLateWaitFraction);
    if (now + endpoints.prefillBacklog(choice.endpoint) >= row.dueAt)
        return false;
    place(target, slot, choice, now, actions);
    return true;
}

} // namespace mustardline
