#pragma once

// Chooses endpoints for requests whose prompts have shared prefixes, where the endpoints cache
// these prefixes and interleave the prefill of prompts with the decoding of running requests
// (chunked prefill).
//
// It handles two load patterns:
//
// - Many requests share a prefix. Requests with the same prefix go to the same endpoint, chosen by
//   rendezvous hashing, so that each prefix is prefilled once in the fleet and all entry processes
//   make the same choice without communication. A second endpoint is used while the prefill backlog
//   of the first is longer than a request can wait, and only if it could prefill the prefix as well
//   within that time. Otherwise a burst would make all endpoints prefill all prefixes, and all of
//   them would miss their targets.
// - A burst of long prompts. Their prefill delays every response at the same endpoint, so they are
//   confined to some of the endpoints, the long lane. Each lane gets as many endpoints as it needs
//   for prefill or for concurrency, whichever is more. Spare endpoints are divided in proportion to
//   the square roots of the demands, because the load of a small lane varies more relative to its
//   size. A request leaves its lane only if every endpoint there would keep it waiting for too
//   long, and only for an endpoint where the prefill backlog, including its own prompt, fits into
//   a fraction of the smallest token gap that streams of either lane require. If there is none,
//   `choose` returns no endpoint and the request waits.
//
// Endpoints may differ in speed (endpoint_pace.h): a slow one gets fewer prefixes, and its backlog
// and its requests count as the time that they take there.
//
// A large fleet is divided by endpoint hash into groups of 32 to 64 endpoints on average, each with
// its own lanes. The prefix hash selects the group, and requests without a prefix use the groups in
// turn. So the cost of a choice does not depend on the size of the fleet, and all endpoints are
// used. If a group has no endpoint with room, the next groups are tried.
//
//     prompt_placement placement;
//     placement.add(endpoints, index);
//     placement.arrived({.promptTokens = 12000, .prefill = 60ms}, now);
//     const auto choice = placement.choose(endpoints, criteria, now);
//     placement.ended(promptTokens, held, window);

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/lane_demand.h"
#include "policy/placement.h"
#include "policy/service_order.h"

namespace mustardline {

struct prompt_criteria
{
    service_order order;
    std::uint32_t promptTokens = 0;
    // Length and hash of the prefix that other requests share; 0 if there is none.
    std::uint32_t sharedTokens = 0;
    std::uint64_t prefixHash = 0;
    duration firstTokenTarget{};
    // Places of an endpoint that the request leaves free for more urgent ones.
    double reserve = 0;
    // Endpoint that was tried before; it is never chosen.
    std::uint32_t avoid = noIndex;
};

// The work that one request causes, from which the lanes are sized.
struct prompt_work
{
    service_order order;
    std::uint32_t promptTokens = 0;
    // Prefill time of the prompt without its shared prefix.
    duration prefill{};
    // Longest allowed gap between two events of its stream; zero if it is not limited.
    duration betweenTokensTarget{};
};

class prompt_placement
{
public:
    // Prompts of at least this many tokens are long: their prefill takes more than one step.
    static constexpr std::uint32_t longPromptTokens = 4096;

    auto add(const endpoint_table &endpoints, std::uint32_t index) -> void;
    auto remove(std::uint32_t index) -> void;

    // Adds a request's work to the demand of its lane.
    auto arrived(const prompt_work &work, time_point now) -> void;

    // Records that a request completed after it had occupied one of the endpoint's `window` places
    // for the duration `held`.
    auto ended(std::uint32_t promptTokens, duration held, std::uint32_t window) -> void;

    // Entry processes exchange their demands, so that each one sizes the lanes by the demand of all
    // of them and all arrive at the same lanes.
    [[nodiscard]] auto ownDemand() const -> const lane_demand & { return m_ownDemand; }
    [[nodiscard]] auto othersUnplaced() const -> const service_order &
    {
        return m_othersDemand.unplaced;
    }
    auto setOthersDemand(const lane_demand &demand) -> void
    {
        m_othersDemand = demand;
        resizeLanes();
    }

    // Returns an endpoint with room, or none if the request should wait.
    [[nodiscard]] auto choose(const endpoint_table &endpoints, const prompt_criteria &criteria,
                              time_point now) -> placement_choice;
    // True if most of the recent work of the other lane is less urgent.
    [[nodiscard]] auto isOtherLaneLessUrgent(const prompt_criteria &criteria) const -> bool
    {
        return criteria.order < mainOrder(1 - laneOf(criteria.promptTokens));
    }
    // Returns an endpoint of the other lane for a request that cannot be in time, regardless of the
    // token gaps there; none if that lane has no room or is not less urgent.
    [[nodiscard]] auto chooseLate(const endpoint_table &endpoints, const prompt_criteria &criteria,
                                  time_point now) -> placement_choice;

    // Returns 0 for short prompts and 1 for long ones.
    [[nodiscard]] static auto laneOf(std::uint32_t promptTokens) -> std::size_t
    {
        return promptTokens >= longPromptTokens ? 1 : 0;
    }
    [[nodiscard]] auto division() const -> lane_division;
    // Number of endpoints in the lane for long prompts.
    [[nodiscard]] auto longLaneSize() const -> std::size_t { return m_longLaneSize; }
    [[nodiscard]] auto size() const -> std::size_t { return m_members.size(); }

private:
    // Time constant with which the recorded demand of the lanes decays.
    static constexpr duration demandPeriod = std::chrono::seconds(20);

    // Members are ordered by their hashes, which are the same in all entry processes.
    struct member
    {
        std::uint64_t hash = 0;
        std::uint32_t index = 0;
    };

    [[nodiscard]] auto groupCount() const -> std::size_t { return std::size_t{1} << m_groupBits; }
    // Returns the members of a group, in the order of their hashes.
    [[nodiscard]] auto groupAt(std::size_t number) const -> std::span<const member>;
    // Splits a group into the lane for short prompts and the lane for long ones.
    [[nodiscard]] auto lanesOf(std::span<const member> group) const
        -> std::array<std::span<const member>, promptLanes>;
    // The group in which the search for an endpoint begins.
    [[nodiscard]] auto firstGroup(const prompt_criteria &criteria) -> std::size_t
    {
        return criteria.prefixHash != 0 ? mixBits(criteria.prefixHash) : m_nextGroup++;
    }
    // Returns the first choice in the groups that a request may use, in the order of preference.
    template<class ChooseIn>
    [[nodiscard]] auto chooseInGroups(const prompt_criteria &criteria, const ChooseIn &chooseIn)
        -> placement_choice;
    // Returns an endpoint of the other lane where neither the request's own token gaps nor those of
    // the running streams become too long.
    [[nodiscard]] auto chooseInOtherLane(std::span<const member> lane,
                                         const endpoint_table &endpoints,
                                         const prompt_criteria &criteria, time_point now) const
        -> placement_choice;
    [[nodiscard]] auto chooseIn(std::span<const member> group, const endpoint_table &endpoints,
                                const prompt_criteria &criteria, time_point now) const
        -> placement_choice;
    [[nodiscard]] static auto chooseByPrefix(std::span<const member> lane,
                                             const endpoint_table &endpoints,
                                             const prompt_criteria &criteria, time_point now)
        -> placement_choice;
    // Returns the member with room that has the smallest prefill backlog.
    [[nodiscard]] static auto chooseLeastBacklog(std::span<const member> members,
                                                 const endpoint_table &endpoints,
                                                 const prompt_criteria &criteria, time_point now)
        -> placement_choice;
    auto updateGroups() -> void;
    auto resizeLanes() -> void;
    // Returns the order with most of the recent work of a lane.
    [[nodiscard]] auto mainOrder(std::size_t lane) const -> service_order;
    [[nodiscard]] auto longLaneShare(double shortDemand, double longDemand) const -> double;

    std::vector<member> m_members;
    // A member's group is given by this many leading bits of its hash.
    std::uint32_t m_groupBits = 0;
    // The group for the next request without a shared prefix.
    std::size_t m_nextGroup = 0;
    std::size_t m_longLaneSize = 0;
    // The demand seen by this entry process, and the sum of those reported by the others.
    lane_demand m_ownDemand;
    lane_demand m_othersDemand;
    // By lane: mean occupancy of a request, that is its duration in seconds divided by the number
    // of places of its endpoint.
    std::array<double, promptLanes> m_meanOccupancy{};
    time_point m_demandUpdatedAt{};
    // The smallest token gap required by recent streams of either lane; zero if none is limited.
    duration m_smallestTokenGap{};
    time_point m_smallestTokenGapAt{};
    // By lane: this entry process's recent prefill work by order, in endpoint-seconds.
    std::array<std::map<service_order, double>, promptLanes> m_workByOrder;
};

} // namespace mustardline
