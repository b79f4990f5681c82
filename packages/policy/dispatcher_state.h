#pragma once

// The tables behind `dispatcher` and the systems that run over them.
//
// A request row is in exactly one place: in its class's queue (waiting), in the list of delayed
// retries (delayed) or counted at an endpoint (placed); `leave` takes it out of whichever it is in,
// and `forget`, the only way out for what was admitted, always does so. Systems that change the
// place of a row are the only ones that touch the counters that go with it. A request that its
// account's limits turn away was never in a list and is not counted; its row is free at once.

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

    // What belongs to one model or service.
    struct target_row
    {
        target_queue queue;
        endpoint_subset subset;
        // Used for endpoints that read prompts.
        prompt_placement prompts;
        // By the number of the class's queue.
        std::vector<class_pace> paces;
        return_schedule returns;
        // Places that each endpoint keeps free from a tier, on average.
        std::array<double, lowestTier + 1> reserves{};
        // Delayed retries by tier.
        std::array<std::uint32_t, lowestTier + 1> delayed{};
        subset_places places;
        time_point placesAt{};
        time_point loadsAt{};
        // No endpoint had room for this tier and those below it at the last search.
        std::uint32_t fullTier = lowestTier + 1;
        freed_places freed;
    };

    // The places that a class can count on.
    struct place_supply
    {
        // Held by lower tiers of any entry, and may be stopped.
        std::uint32_t atOnce = 0;
        // Come free each second; 0 if not known.
        double perSecond = 0;
    };

    // Entities.
    auto paceOf(const request_row &row) -> class_pace &
    {
        return targets[row.target].paces[row.queue];
    }
    auto targetOf(std::string_view name) -> std::uint32_t;
    auto updateSubsets(std::uint32_t index, std::span<const std::uint32_t> before) -> void;
    auto newRow(const request_arrival &arrival, time_point now) -> std::uint32_t;

    // Admission.
    auto admit(std::uint32_t slot, const request_arrival &arrival, time_point now,
               dispatch_actions &actions) -> void;
    auto enqueue(std::uint32_t slot, time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto supplyOf(const target_row &target, std::uint32_t queue) const
        -> place_supply;
    [[nodiscard]] auto predictedWait(const target_row &target, std::uint32_t queue,
                                     std::uint32_t ahead) const -> duration;
    [[nodiscard]] auto lateness(const request_row &row, duration wait, time_point now) const
        -> result_code;
    // True if a request of a lower tier waits, also for its retry: no other may be shed then.
    [[nodiscard]] auto holdsLowerTier(const target_row &target, std::uint32_t tier) const -> bool;
    [[nodiscard]] auto lowerDelayed(std::uint32_t slot) const -> std::uint32_t;
    auto refuse(std::uint32_t slot, result_code code, std::string_view reason, time_point now,
                dispatch_actions &actions) -> void;

    // Placement.
    auto placeWaiting(target_row &target, time_point now, dispatch_actions &actions) -> void;
    auto placePrompts(target_row &target, time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto chooseFor(target_row &target, std::uint32_t slot, time_point now)
        -> placement_choice;
    [[nodiscard]] auto choosePrompt(target_row &target, std::uint32_t slot, time_point now)
        -> placement_choice;
    [[nodiscard]] auto reserveFor(const target_row &target, std::uint32_t tier) const -> double;
    [[nodiscard]] auto isUrgent(const request_row &row, time_point now) const -> bool;
    auto place(target_row &target, std::uint32_t slot, const placement_choice &choice,
               time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto describeConsidered(const placement_choice &choice, time_point now) const
        -> std::string;

    // The prompt of a placed request was read, or need not be.
    auto promptDone(request_row &row) -> void
    {
        endpoints.promptDone(row.endpoint, row.unreadTokens);
        row.unreadTokens = 0;
    }

    // Takes a request out of its queue, its delay or its endpoint's counts.
    auto leave(std::uint32_t slot, time_point now) -> void;
    // The end of a request: it leaves where it is, and its row is free.
    auto forget(std::uint32_t slot, time_point now) -> void;
    auto release(std::uint32_t slot, time_point now) -> void;
    auto retry(std::uint32_t slot, result_code code, time_point now, dispatch_actions &actions)
        -> void;

    // Periodic systems.
    auto maintain(target_row &target, time_point now, dispatch_actions &actions) -> void;
    auto followLoad(target_row &target, time_point now) -> void;
    auto delay(std::uint32_t slot) -> void;
    auto undelay(std::uint32_t slot) -> void;
    auto releaseDelayed(time_point now, dispatch_actions &actions) -> void;
    [[nodiscard]] auto isLate(std::uint32_t slot, time_point now) const -> bool;
    auto refuseLate(std::uint32_t slot, time_point now, dispatch_actions &actions) -> void;
    auto expireWaiting(target_row &target, time_point now, dispatch_actions &actions) -> void;
    auto shedHopeless(target_row &target, time_point now, dispatch_actions &actions) -> void;
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
    // Time of the last call that named one.
    time_point latest{};
};

} // namespace mustardline
