#include "policy/dispatcher_state.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <utility>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr std::uint32_t defaultAnswerTokens = 100;
constexpr duration noEndpointRetryAfter = std::chrono::seconds(2);
// A queued request becomes urgent after this fraction of its first-token target.
constexpr double urgentFraction = 0.25;
// Number of standard deviations of the load of higher tiers that lower tiers leave free.
constexpr double reserveDeviations = 2;
constexpr double loadAveragingSeconds = 10;
// Interval between updates of the place counts of a target. Load reports of endpoints count in full
// for five times as long.
constexpr duration placesUpdateInterval = std::chrono::milliseconds(200);

auto appendNumber(std::string &text, std::uint32_t number) -> void
{
    std::array<char, 10> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    text.append(digits.data(), end);
}

} // namespace

dispatcher::state::state(dispatcher_options value)
    : options(std::move(value)), random(options.seed), endpoints(options.seed)
{
    limits.setEntryCount(options.entryCount);
}

auto dispatcher::state::targetOf(std::string_view name) -> std::uint32_t
{
    const auto number = targetNames.intern(name);
    if (number == targets.size()) {
        targets.push_back({.queue = target_queue({.maxQueued = options.maxQueued}),
                           .subset = endpoint_subset({.size = options.subsetSize,
                                                      .dataCentre = options.dataCentre,
                                                      .seed = options.seed})});
    }
    return number;
}

// Updates the subsets of all targets that the endpoint served before or serves now.
auto dispatcher::state::updateSubsets(std::uint32_t index,
                                      std::span<const std::uint32_t> previousTargets) -> void
{
    const auto &row = endpoints.at(index);
    for (const auto target : previousTargets) {
        const bool serves = std::ranges::find(row.serves, target) != row.serves.end();
        const bool stays = row.available && serves;
        if (!stays && targets[target].subset.contains(index))
            targets[target].subset.rebuild(endpoints, target);
        // The endpoint may have had chunked prefill when it was added and have it no longer.
        if (!stays || !row.hasChunkedPrefill)
            targets[target].prompts.remove(index);
    }
    if (!row.available)
        return;
    for (const auto target : row.serves) {
        targets[target].subset.add(endpoints, index);
        if (row.hasChunkedPrefill)
            targets[target].prompts.add(endpoints, index);
        targets[target].fullTier = lowestTier + 1;
    }
}

auto dispatcher::state::addRequest(const request_arrival &arrival, time_point now) -> std::uint32_t
{
    const auto slot = requests.add(arrival.request);
    auto &row = requests.at(slot);
    row.account = accounts.intern(arrival.clientAccount);
    row.requestClass = classes.intern(arrival.requestClass);
    row.tier = std::clamp(arrival.tier, 1U, lowestTier);
    row.priority = arrival.priority;
    row.arrivedAt = now;
    row.dueAt = arrival.deadline.count() > 0 ? now + arrival.deadline
                                             : time_point{.nanoseconds = INT64_MAX};
    row.firstTokenTarget = arrival.firstTokenTarget;
    row.betweenTokensTarget = arrival.betweenTokensTarget;
    row.prefixHash = arrival.prefixHash;
    row.promptTokens = arrival.promptTokens;
    row.sharedTokens = arrival.sharedTokens;
    row.idempotent = arrival.idempotent;
    row.acceptsLateFirstToken = arrival.acceptsLateFirstToken;
    if (row.account >= accountBudgets.size())
        accountBudgets.resize(row.account + 1);
    accountBudgets[row.account].recordRequest();
    return slot;
}

auto dispatcher::state::admit(std::uint32_t slot, const request_arrival &arrival, time_point now,
                              dispatch_actions &actions) -> void
{
    auto &row = requests.at(slot);
    const auto verdict = limits.admit(row.account,
                                      {.requestsPerSecond = arrival.requestsPerSecond,
                                       .concurrentRequests = arrival.concurrentRequests},
                                      now);
    if (verdict.code != result_code::ok) {
        actions.emplace_back(refuse_action{.request = row.request,
                                           .code = verdict.code,
                                           .retryAfter = verdict.retryAfter,
                                           .reason = "account_limit"});
        requests.remove(slot);
        return;
    }
    row.target = targetOf(arrival.target);
    auto &target = targets[row.target];
    target.isPreferred = target.isPreferred || arrival.isTargetPreferred;
    row.queue = queueFor(row);
    if (target.prompts.size() > 0) {
        const auto own
            = arrival.promptTokens - std::min(arrival.promptTokens, arrival.sharedTokens);
        target.prompts.arrived({.order = orderOf(row),
                                .promptTokens = arrival.promptTokens,
                                .prefill = endpoints.paceOf(row.target).timeFor(own),
                                .betweenTokensTarget = arrival.betweenTokensTarget},
                               now);
    }
    if (target.subset.empty())
        refuse(slot, result_code::no_endpoint, "no_endpoint", now, actions);
    else
        enqueue(slot, now, actions);
}

auto dispatcher::state::queueFor(const request_row &row) -> std::uint32_t
{
    auto &target = targets[row.target];
    const auto number = target.queue.queueOf(row.requestClass, row.tier, row.priority);
    if (target.classStatistics.size() < target.queue.queueCount())
        target.classStatistics.resize(target.queue.queueCount());
    return number;
}

// Queues a new request, places all requests that can be placed, and refuses the new one if it is
// still queued and predicted to miss its targets.
auto dispatcher::state::enqueue(std::uint32_t slot, time_point now, dispatch_actions &actions)
    -> void
{
    const auto number = requests.at(slot).target;
    auto &target = targets[number];
    auto shed = target.queue.findVictim(requests, slot);
    if (shed == slot)
        shed = lowestTierDelayed(slot);
    if (shed == slot) {
        refuse(slot, result_code::queue_full, "queue_full", now, actions);
        return;
    }
    if (shed != noIndex)
        refuse(shed, result_code::overloaded, "shed_for_earlier", now, actions);

    const auto queue = requests.at(slot).queue;
    const auto ahead = target.queue.ahead(queue, requests.at(slot).account);
    requests.at(slot).state = request_state::waiting;
    target.queue.push(requests, slot, now);
    placeWaiting(target, now, actions);
    const auto &row = requests.at(slot);
    if (row.state != request_state::waiting || hasPendingLowerTier(target, row.tier))
        return;
    const auto wait = predictedWait(target, queue, ahead);
    const auto verdict = checkTargets(row, wait, now);
    if (verdict != result_code::ok && !serveLate(slot, wait, now, actions))
        refuse(slot, verdict, "predicted_wait", now, actions);
}

// Returns the delayed request of the lowest tier among those for the same target, if its tier is
// lower than that of `slot`; `slot` otherwise.
auto dispatcher::state::lowestTierDelayed(std::uint32_t slot) const -> std::uint32_t
{
    auto lowest = slot;
    for (const auto other : delayed) {
        if (requests.at(other).target == requests.at(slot).target
            && requests.at(other).tier > requests.at(lowest).tier)
            lowest = other;
    }
    return lowest;
}

auto dispatcher::state::hasPendingLowerTier(const target_row &target, std::uint32_t tier) const
    -> bool
{
    if (target.queue.hasLowerTier(tier))
        return true;
    for (auto lower = tier + 1; lower <= lowestTier; ++lower) {
        if (target.delayedCounts[lower] > 0)
            return true;
    }
    return false;
}

auto dispatcher::state::refuse(std::uint32_t slot, result_code code, std::string_view reason,
                               time_point now, dispatch_actions &actions) -> void
{
    const auto &row = requests.at(slot);
    auto &target = targets[row.target];
    detach(slot, now);
    if (prompt_placement::laneOf(row.promptTokens) == shortLane)
        recordUnplaced(target, row, now);
    auto wait = noEndpointRetryAfter;
    if (!target.subset.empty())
        wait = predictedWait(target, row.queue, target.queue.ahead(row.queue, row.account));
    actions.emplace_back(
        refuse_action{.request = row.request,
                      .code = code,
                      .retryAfter = target.retrySchedule.retryAfter(
                          wait, availabilityFor(target, row.queue).perSecond, random, now),
                      .reason = reason});
    endRequest(slot, now);
}

auto dispatcher::state::placeWaiting(target_row &target, time_point now, dispatch_actions &actions)
    -> void
{
    if (target.prompts.size() > 0) {
        placePrompts(target, now, actions);
        return;
    }
    for (;;) {
        const auto slot = target.queue.next(requests, now);
        if (slot == noIndex)
            return;
        const auto choice = chooseFor(target, slot, now);
        if (choice.endpoint == noIndex)
            return;
        place(target, slot, choice, now, actions);
    }
}

auto dispatcher::state::placePreferred(time_point now, dispatch_actions &actions) -> void
{
    for (auto &target : targets) {
        if (!target.isPreferred || target.queue.size() == 0)
            continue;
        const auto order = orderOf(requests.at(target.queue.next(requests, now)));
        const bool isFirst = std::ranges::none_of(targets, [&](const auto &other) {
            return other.queue.size() > 0
                   && orderOf(requests.at(other.queue.next(requests, now))) < order;
        });
        if (isFirst)
            placeWaiting(target, now, actions);
    }
}

auto dispatcher::state::chooseFor(target_row &target, std::uint32_t slot, time_point now)
    -> placement_choice
{
    const auto &row = requests.at(slot);
    const placement_criteria wish{
        .tier = row.tier,
        .prefixEndpoint = prefixes.find(row.prefixHash),
        .reserve = target.queue.isTurnDue(row.queue, now) ? 0 : target.reserves[row.tier],
        .avoid = row.attempt > 0 ? row.endpoint : noIndex,
        .avoidedHasFailed = row.failedAtEndpoint};
    placement_choice choice;
    if (row.tier < target.fullTier) {
        choice = target.subset.choose(endpoints, wish, random, now);
        if (choice.endpoint == noIndex && wish.avoid != noIndex)
            choice = target.subset.choose(endpoints, {.tier = row.tier, .reserve = wish.reserve},
                                          random, now);
        if (choice.endpoint == noIndex)
            target.fullTier = row.tier;
    } else {
        choice = target.subset.chooseFreedPlace(endpoints, wish, target.freed, now);
    }
    if (choice.endpoint == noIndex && isUrgent(row, now))
        choice = target.subset.chooseOverWindow(endpoints, wish, now);
    return choice;
}

// Places per endpoint that requests of `order` leave free for more urgent ones. The number of those
// in flight varies by about its square root; less urgent requests that filled the places while that
// number is low would have to be preempted when it rises again.
auto dispatcher::state::reserveFor(const target_row &target, service_order order) const -> double
{
    double higher = 0;
    for (std::uint32_t number = 0; number < target.classStatistics.size(); ++number) {
        if (target.queue.queue(number).options().order() < order)
            higher += target.classStatistics[number].load();
    }
    const auto fleet = higher * options.entryCount;
    return reserveDeviations * std::sqrt(fleet) / static_cast<double>(target.subset.size());
}

auto dispatcher::state::maintain(target_row &target, time_point now, dispatch_actions &actions)
    -> void
{
    updateMeanLoads(target, now);
    for (std::uint32_t tier = 1; tier <= lowestTier; ++tier)
        target.reserves[tier] = reserveFor(target, {.tier = tier, .priority = 0});
    if (target.prompts.size() > 0)
        updatePromptReserves(target);
    if (now - target.placesUpdatedAt >= placesUpdateInterval) {
        target.places = target.subset.places(endpoints, now);
        target.placesUpdatedAt = now;
    }
    expireWaiting(target, now, actions);
    // Endpoints can also gain room by the passage of time: load reports expire and pauses end.
    target.fullTier = lowestTier + 1;
}

// Updates the moving average of the number of requests in flight of each class.
auto dispatcher::state::updateMeanLoads(target_row &target, time_point now) -> void
{
    const auto weight
        = std::min(1.0, toSeconds(now - target.loadsUpdatedAt) / loadAveragingSeconds);
    for (auto &statistics : target.classStatistics)
        statistics.updateMeanLoad(weight);
    target.loadsUpdatedAt = now;
}

// True if a request has waited so long that requests of lower tiers should be preempted for it.
auto dispatcher::state::isUrgent(const request_row &row, time_point now) const -> bool
{
    const auto bound
        = row.firstTokenTarget.count() > 0 ? row.firstTokenTarget : row.dueAt - row.arrivedAt;
    return now - row.arrivedAt >= scaled(bound, urgentFraction);
}

auto dispatcher::state::place(target_row &target, std::uint32_t slot,
                              const placement_choice &choice, time_point now,
                              dispatch_actions &actions) -> void
{
    auto &row = requests.at(slot);
    ++row.attempt;
    const auto considered = describeConsidered(choice, now);
    occupy(target, slot, choice.endpoint, now);
    actions.emplace_back(place_action{.request = row.request,
                                      .endpoint = endpoints.at(choice.endpoint).id,
                                      .attempt = row.attempt,
                                      .resumeFrom = row.generatedTokens,
                                      .expectedFirstToken
                                      = fromSeconds(statisticsOf(row).fastFirstTokenSeconds(now)),
                                      .reason = choice.reason,
                                      .considered = considered});
    if (!endpoints.at(choice.endpoint).hasChunkedPrefill)
        return;
    const bool isCached = choice.reason == "prefix";
    row.pendingPrefillTokens
        = row.promptTokens - std::min(row.promptTokens, isCached ? row.sharedTokens : 0);
    endpoints.promptSent(choice.endpoint, row.pendingPrefillTokens);
    const auto &there = endpoints.at(choice.endpoint);
    row.tokensAhead = there.ownPromptTokens + static_cast<std::uint32_t>(there.othersPromptTokens);
}

auto dispatcher::state::occupy(target_row &target, std::uint32_t slot, std::uint32_t endpoint,
                               time_point now) -> void
{
    auto &row = requests.at(slot);
    const auto expected = sizes.mean(row.requestClass, row.account);
    row.chargedTokens = expected == 0 ? defaultAnswerTokens : expected;
    target.queue.start(requests, slot, row.chargedTokens, now);
    row.state = request_state::placed;
    row.placedAt = now;
    row.endpoint = endpoint;
    row.hasFirstToken = false;
    row.shortGap = quantile_estimator(shortGapQuantile);
    row.lastPartAt = {};
    row.queuedAtEndpoint = {};
    row.cancelling = false;
    statisticsOf(row).started(row.idempotent);
    ++placedCount;
    endpoints.placed(endpoint, row.tier, now);
}

// Builds the text without a formatting library, which would make this the most expensive part of a
// placement.
auto dispatcher::state::describeConsidered(const placement_choice &choice, time_point now) const
    -> std::string
{
    constexpr std::size_t numbersCapacity = 24;
    std::string text;
    std::size_t length = 0;
    const bool hasChunkedPrefill = endpoints.at(choice.endpoint).hasChunkedPrefill;
    for (std::uint32_t at = 0; at < choice.consideredCount; ++at)
        length += endpoints.at(choice.considered[at]).id.size() + numbersCapacity;
    text.reserve(length);
    for (std::uint32_t at = 0; at < choice.consideredCount; ++at) {
        const auto index = choice.considered[at];
        if (at > 0)
            text += ',';
        text += endpoints.at(index).id;
        text += ':';
        appendNumber(text, endpoints.load(index, now));
        text += '/';
        appendNumber(text, endpoints.window(index));
        if (hasChunkedPrefill) {
            text += '/';
            appendNumber(
                text, static_cast<std::uint32_t>(toMilliseconds(endpoints.prefillBacklog(index))));
        }
    }
    return text;
}

// Removes a placed request from the counts of its endpoint and its account.
auto dispatcher::state::releasePlace(std::uint32_t slot, time_point now) -> void
{
    auto &row = requests.at(slot);
    auto &target = targets[row.target];
    endPrefill(row);
    endpoints.released(row.endpoint, row.tier, row.hasFirstToken, now);
    target.queue.finish(row, row.generatedTokens);
    target.freed.add(row.endpoint);
    statisticsOf(row).ended(row.idempotent);
    --placedCount;
}

auto dispatcher::state::detach(std::uint32_t slot, time_point now) -> void
{
    auto &row = requests.at(slot);
    switch (row.state) {
    case request_state::detached:
        return;
    case request_state::waiting:
        targets[row.target].queue.remove(requests, slot);
        break;
    case request_state::delayed:
        removeDelayed(slot);
        break;
    case request_state::placed:
        releasePlace(slot, now);
        break;
    }
    row.state = request_state::detached;
}

auto dispatcher::state::endRequest(std::uint32_t slot, time_point now) -> void
{
    detach(slot, now);
    limits.ended(requests.at(slot).account);
    requests.remove(slot);
}

// Schedules another attempt for a request that is known not to have run, or refuses it.
auto dispatcher::state::retry(std::uint32_t slot, result_code code, time_point now,
                              dispatch_actions &actions) -> void
{
    auto &row = requests.at(slot);
    row.failedAtEndpoint = code == result_code::endpoint_error;
    if (now >= row.dueAt) {
        refuse(slot, result_code::deadline_unmeetable, "expired", now, actions);
        return;
    }
    // An endpoint without room, a preemption and an endpoint that its agent cannot reach are not
    // failures of an attempt, so they do not consume the retry budget.
    const bool isFailure = code != result_code::not_run && code != result_code::preempted
                           && code != result_code::endpoint_unreachable;
    if (isFailure && !takeRetry(row)) {
        refuse(slot, result_code::retry_budget_exhausted, "retry_budget", now, actions);
        return;
    }
    row.retryAt = isFailure || row.attempt > 1 ? now + retryBackoff(row.attempt, random) : now;
    addDelayed(slot);
    releaseDelayed(now, actions);
}

auto dispatcher::state::chooseElsewhere(target_row &target, const request_row &row, time_point now)
    -> placement_choice
{
    if (target.prompts.size() > 0)
        return target.prompts.choose(endpoints, promptCriteria(row), now);
    return target.subset.choose(endpoints,
                                {.tier = row.tier,
                                 .prefixEndpoint = prefixes.find(row.prefixHash),
                                 .reserve = target.reserves[row.tier],
                                 .avoid = row.endpoint,
                                 .avoidedHasFailed = true},
                                random, now);
}

// Chooses the other endpoint before the place of the request is released, so that a request without
// one keeps its place. The budgets must allow a retry.
auto dispatcher::state::moveElsewhere(std::uint32_t slot, time_point now, dispatch_actions &actions)
    -> bool
{
    auto &row = requests.at(slot);
    auto &target = targets[row.nextTarget == noIndex ? row.target : row.nextTarget];
    const auto choice = chooseElsewhere(target, row, now);
    if (choice.endpoint == noIndex)
        return false;
    takeRetry(row);
    row.failedAtEndpoint = true;
    detach(slot, now);
    changeTarget(slot);
    row.state = request_state::waiting;
    target.queue.pushFront(requests, slot, now);
    place(target, slot, choice, now, actions);
    return true;
}

auto dispatcher::state::changeTarget(std::uint32_t slot) -> void
{
    auto &row = requests.at(slot);
    const auto next = std::exchange(row.nextTarget, noIndex);
    if (next == noIndex || next == row.target)
        return;
    row.target = next;
    row.queue = queueFor(row);
}

auto dispatcher::state::returnTo(std::uint32_t slot, std::uint32_t endpoint, time_point now) -> void
{
    auto &row = requests.at(slot);
    auto &target = targets[row.target];
    detach(slot, now);
    row.state = request_state::waiting;
    target.queue.pushFront(requests, slot, now);
    occupy(target, slot, endpoint, now);
    row.hasFirstToken = true;
    row.firstTokenAt = now;
    endpoints.wentOn(endpoint);
}

auto dispatcher::state::addDelayed(std::uint32_t slot) -> void
{
    auto &row = requests.at(slot);
    row.state = request_state::delayed;
    ++targets[row.target].delayedCounts[row.tier];
    delayed.push_back(slot);
}

auto dispatcher::state::removeDelayed(std::uint32_t slot) -> void
{
    const auto &row = requests.at(slot);
    std::erase(delayed, slot);
    --targets[row.target].delayedCounts[row.tier];
}

auto dispatcher::state::releaseDelayed(time_point now, dispatch_actions &actions) -> void
{
    if (delayed.empty())
        return;
    std::vector<std::uint32_t> ready;
    std::ranges::copy_if(delayed, std::back_inserter(ready),
                         [&](std::uint32_t slot) { return requests.at(slot).retryAt <= now; });
    for (const auto slot : ready) {
        auto &row = requests.at(slot);
        auto &target = targets[row.target];
        detach(slot, now);
        row.state = request_state::waiting;
        target.queue.pushFront(requests, slot, now);
        if (row.generatedTokens == 0 && missesTargets(slot, now)
            && !hasPendingLowerTier(target, row.tier) && !serveLate(slot, {}, now, actions))
            refuse(slot, result_code::overloaded, "late", now, actions);
    }
    for (auto &target : targets)
        placeWaiting(target, now, actions);
}

} // namespace mustardline
