#pragma once

// The state of `dispatcher` and the functions that operate on it.
//
// A request row is in exactly one container: in the queue of its class (waiting), in the list of
// delayed retries (delayed) or counted at an endpoint (placed). `detach` removes it from the one it
// is in, and `endRequest`, through which every admitted request ends, always calls `detach`. Only
// the functions that move a row between containers update the counters that belong to it. A request
// refused by the limits of its account was in no container and is not counted; its row is freed at
// once.

#include <array>
#include <span>
#include <string>
#include <vector>

#include "policy/account_limits.h"
#include "policy/dispatcher.h"
#include "policy/drain_estimate.h"
#include "policy/endpoint_table.h"
#include "policy/placement.h"
#include "policy/prefix_index.h"
#include "policy/prompt_placement.h"
#include "policy/request_table.h"
#include "policy/retry_budget.h"
#include "policy/size_estimator.h"
#include "policy/target_queue.h"

namespace mustardline {

using dispatch_actions = std::vector<dispatch_action>;

struct dispatcher::state
{
    explicit state(dispatcher_options value);

    // State of one model or service.
    struct target_row
    {
        target_queue queue;
        // See request_arrival.
        bool isPreferred = false;
        endpoint_subset subset;
        // Used for endpoints with chunked prefill.
        prompt_placement prompts;
        // Indexed by the number of the class queue.
        std::vector<class_statistics> classStatistics;
        retry_after_schedule retrySchedule;
        // By tier: places that it leaves free for higher tiers, on average per endpoint.
        std::array<double, lowestTier + 1> reserves{};
        // The same for long prompts, by the number of the class queue, for all more urgent classes.
        std::vector<double> promptReserves;
        // Number of delayed retries by tier.
        std::array<std::uint32_t, lowestTier + 1> delayedCounts{};
        subset_places places;
        time_point placesUpdatedAt{};
        time_point loadsUpdatedAt{};
        // The last full search found no endpoint with room for this tier, nor therefore for lower
        // tiers.
        std::uint32_t fullTier = lowestTier + 1;
        freed_places freed;
        // The most urgent short prompt that lately found no endpoint, and the time until which it
        // holds back less urgent long ones.
        service_order unplacedOrder;
        time_point unplacedUntil{};
    };

    // Estimated places available to a class.
    struct place_availability
    {
        // Places held by preemptible requests of lower tiers, of any entry process.
        std::uint32_t immediate = 0;
        // Places that become free per second; 0 if not known.
        double perSecond = 0;
    };

    // Tables.
    auto statisticsOf(const request_row &row) -> class_statistics &
    {
        return targets[row.target].classStatistics[row.queue];
    }
    auto targetOf(std::string_view name) -> std::uint32_t;
    auto updateSubsets(std::uint32_t index, std::span<const std::uint32_t> previousTargets) -> void;
    auto addRequest(const request_arrival &arrival, time_point now) -> std::uint32_t;

    // Admission.
    auto admit(std::uint32_t slot, const request_arrival &arrival, time_point now,
               dispatch_actions &actions) -> void;
    auto enqueue(std::uint32_t slot, time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto availabilityFor(const target_row &target, std::uint32_t queue) const
        -> place_availability;
    [[nodiscard]] auto predictedWait(const target_row &target, std::uint32_t queue,
                                     std::uint32_t ahead) const -> duration;
    [[nodiscard]] auto checkTargets(const request_row &row, duration wait, time_point now) const
        -> result_code;
    // True if a request of a lower tier is queued or delayed for a retry; while that is so, no
    // request of this tier may be shed.
    [[nodiscard]] auto hasPendingLowerTier(const target_row &target, std::uint32_t tier) const
        -> bool;
    [[nodiscard]] auto lowestTierDelayed(std::uint32_t slot) const -> std::uint32_t;
    auto refuse(std::uint32_t slot, result_code code, std::string_view reason, time_point now,
                dispatch_actions &actions) -> void;

    static auto recordUnplaced(target_row &target, const request_row &row, time_point now) -> void;
    [[nodiscard]] static auto unplacedOrder(const target_row &target, time_point now)
        -> service_order
    {
        return now < target.unplacedUntil ? target.unplacedOrder : service_order();
    }

    // Placement.
    auto placeWaiting(target_row &target, time_point now, dispatch_actions &actions) -> void;
    // Places the waiting requests of preferred targets for which no more urgent one of another
    // target waits.
    auto placePreferred(time_point now, dispatch_actions &actions) -> void;
    auto placePrompts(target_row &target, time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto chooseFor(target_row &target, std::uint32_t slot, time_point now)
        -> placement_choice;
    [[nodiscard]] auto choosePrompt(target_row &target, std::uint32_t slot, time_point now)
        -> placement_choice;
    [[nodiscard]] static auto orderOf(const request_row &row) -> service_order
    {
        return {.tier = row.tier, .priority = row.priority};
    }
    [[nodiscard]] auto promptCriteria(const request_row &row) const -> prompt_criteria;
    [[nodiscard]] auto reserveFor(const target_row &target, service_order order) const -> double;
    [[nodiscard]] auto isUrgent(const request_row &row, time_point now) const -> bool;
    auto place(target_row &target, std::uint32_t slot, const placement_choice &choice,
               time_point now, dispatch_actions &actions) -> void;
    // Takes a place at the endpoint for a waiting request.
    auto occupy(target_row &target, std::uint32_t slot, std::uint32_t endpoint, time_point now)
        -> void;
    [[nodiscard]] auto describeConsidered(const placement_choice &choice, time_point now) const
        -> std::string;

    // The prompt of a placed request was prefilled or no longer needs to be.
    auto endPrefill(request_row &row) -> void
    {
        endpoints.promptDone(row.endpoint, row.pendingPrefillTokens);
        row.pendingPrefillTokens = 0;
    }

    // Records how fast the endpoint wrote a response, if it had enough parts.
    auto recordParts(const request_row &row, time_point now) -> void
    {
        constexpr std::uint32_t minParts = 8;
        if (!row.hasFirstToken || row.shortGap.count() < minParts
            || !endpoints.at(row.endpoint).hasChunkedPrefill)
            return;
        endpoints.partsWritten(row.endpoint, row.shortGap.value(), now);
    }

    // Removes a request from its queue, the list of delayed retries or the counts of its endpoint.
    auto detach(std::uint32_t slot, time_point now) -> void;
    // Ends a request: detaches it and frees its row.
    auto endRequest(std::uint32_t slot, time_point now) -> void;
    auto releasePlace(std::uint32_t slot, time_point now) -> void;
    auto retry(std::uint32_t slot, result_code code, time_point now, dispatch_actions &actions)
        -> void;
    [[nodiscard]] auto isInRetryBudgets(const request_row &row) const -> bool
    {
        return accountBudgets[row.account].hasLeft() && endpoints.hasRetryLeft(row.endpoint);
    }
    auto takeRetry(const request_row &row) -> bool
    {
        return accountBudgets[row.account].take() && endpoints.takeRetry(row.endpoint);
    }
    // Returns an endpoint with room other than the one where the request is.
    [[nodiscard]] auto chooseElsewhere(target_row &target, const request_row &row, time_point now)
        -> placement_choice;
    auto moveElsewhere(std::uint32_t slot, time_point now, dispatch_actions &actions) -> bool;
    // Applies the next target of a request that is in no container.
    auto changeTarget(std::uint32_t slot) -> void;
    // The number of the queue of a request's class within its target.
    auto queueFor(const request_row &row) -> std::uint32_t;
    // Counts a placed request at another endpoint, which has sent the beginning of its answer.
    auto returnTo(std::uint32_t slot, std::uint32_t endpoint, time_point now) -> void;

    // Periodic work and retries.
    auto maintain(target_row &target, time_point now, dispatch_actions &actions) -> void;
    auto updatePromptReserves(target_row &target) -> void;
    auto updateMeanLoads(target_row &target, time_point now) -> void;
    auto addDelayed(std::uint32_t slot) -> void;
    auto removeDelayed(std::uint32_t slot) -> void;
    auto releaseDelayed(time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto serveLate(std::uint32_t slot, duration wait, time_point now,
                                 dispatch_actions &actions) -> bool;
    [[nodiscard]] auto missesTargets(std::uint32_t slot, time_point now) const -> bool;
    auto refuseLate(std::uint32_t slot, time_point now, dispatch_actions &actions) -> void;
    auto expireWaiting(target_row &target, time_point now, dispatch_actions &actions) -> void;
    auto shedBacklog(target_row &target, time_point now, dispatch_actions &actions) -> void;
    auto cancelOverdue(time_point now, dispatch_actions &actions) -> void;

    dispatcher_options options;
    random_source random;
    name_table accounts;
    name_table classes;
    name_table targetNames;
    request_table requests;
    endpoint_table endpoints;
    account_limits limits;
    size_estimator sizes;
    prefix_index prefixes;
    std::vector<retry_budget> accountBudgets;
    std::vector<target_row> targets;
    std::vector<std::uint32_t> delayed;
    std::size_t placedCount = 0;
    time_point nextMaintenance{};
    time_point nextSweep{};
    // The `now` of the last call of `arrive` or `tick`.
    time_point latestTime{};
};

} // namespace mustardline
