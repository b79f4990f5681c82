#include "policy/prompt_placement.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "base/hashing.h"
#include "policy/random.h"

namespace mustardline {

namespace {

// Largest average size of a group. It bounds the cost of a choice in a large fleet.
constexpr std::size_t maxGroupMembers = 64;
// Groups that are tried before a request has to wait.
constexpr std::size_t maxTriedGroups = 3;
constexpr std::uint32_t hashBits = 64;
// The fraction of its first-token target for which a request may wait for earlier prompts, at the
// endpoints chosen by its prefix and at the others of its lane.
constexpr double prefixWaitFraction = 0.65;
constexpr double laneWaitFraction = 0.6;
// The fraction of a token gap that prefill may take. The rest is left for the decoding steps that
// produce the event.
constexpr double gapPrefillFraction = 0.5;
constexpr double occupancyWeight = 0.05; // of a new sample
// The size of the long lane changes only once its computed size, in endpoints, differs by more than
// this.
constexpr double laneHysteresis = 0.7;

// Time until an endpoint without the shared prefix would have prefilled it. The prefill of the
// prefix counts against the choice, because all requests waiting there are delayed by it.
auto waitWithoutPrefix(const endpoint_table &endpoints, std::uint32_t index,
                       const prompt_criteria &criteria) -> duration
{
    return endpoints.prefillBacklog(index) + endpoints.prefillTime(index, criteria.sharedTokens);
}

// Key of an endpoint in the rendezvous order of a prefix; the lowest comes first. With
// exponentially distributed keys (-log2 of the hash as a fraction, divided by the speed), each
// endpoint gets prefixes in proportion to its speed, and a change of one speed moves only prefixes
// of that endpoint. The logarithm is linear between powers of two: it keeps the order of hashes and
// costs few instructions.
auto rendezvousKey(std::uint64_t hash, double slowness) -> double
{
    constexpr unsigned droppedBits = 11;
    constexpr double mantissaScale = 0x1p-53;
    const auto zeros = std::countl_zero(hash | 1U);
    const auto leading = (hash << static_cast<unsigned>(zeros)) >> droppedBits;
    const auto mantissa = static_cast<double>(static_cast<std::int64_t>(leading)) * mantissaScale;
    return (zeros + 2 * (1 - mantissa)) * slowness;
}

auto fits(const endpoint_table &endpoints, std::uint32_t index, const prompt_criteria &criteria,
          time_point now) -> bool
{
    return index != criteria.avoid && endpoints.isUsable(index, now)
           && endpoints.load(index, now) + criteria.reserve < endpoints.window(index);
}

} // namespace

auto prompt_placement::add(const endpoint_table &endpoints, std::uint32_t index) -> void
{
    if (std::ranges::find(m_members, index, &member::index) != m_members.end())
        return;
    const member added{.hash = fastHash(endpoints.at(index).id), .index = index};
    m_members.insert(std::ranges::lower_bound(m_members, added.hash, {}, &member::hash), added);
    updateGroups();
}

auto prompt_placement::remove(std::uint32_t index) -> void
{
    if (std::erase_if(m_members, [index](const member &item) { return item.index == index; }) > 0)
        updateGroups();
}

auto prompt_placement::updateGroups() -> void
{
    m_groupBits = 0;
    while (m_members.size() > maxGroupMembers * groupCount())
        ++m_groupBits;
    resizeLanes();
}

auto prompt_placement::arrived(const prompt_work &work, time_point now) -> void
{
    const auto decay = std::exp(-toSeconds(now - m_demandUpdatedAt) / toSeconds(demandPeriod));
    m_demandUpdatedAt = now;
    for (auto &lane : m_ownDemand.lanes) {
        lane.prefill *= decay;
        lane.occupancy *= decay;
    }
    const auto number = laneOf(work.promptTokens);
    m_ownDemand.lanes[number].prefill += toSeconds(work.prefill);
    m_ownDemand.lanes[number].occupancy += m_meanOccupancy[number];
    for (auto &lane : m_workByOrder) {
        for (auto &[order, seconds] : lane)
            seconds *= decay;
    }
    m_workByOrder[number][work.order] += toSeconds(work.prefill);
    const bool isExpired = now - m_smallestTokenGapAt > demandPeriod;
    const auto gap = work.betweenTokensTarget;
    if (gap.count() > 0
        && (m_smallestTokenGap.count() == 0 || gap <= m_smallestTokenGap || isExpired)) {
        m_smallestTokenGap = gap;
        m_smallestTokenGapAt = now;
    }
    resizeLanes();
}

auto prompt_placement::ended(std::uint32_t promptTokens, duration held, std::uint32_t window)
    -> void
{
    auto &mean = m_meanOccupancy[laneOf(promptTokens)];
    const auto sample = toSeconds(held) / std::max(window, 1U);
    mean = mean == 0 ? sample : mean + (sample - mean) * occupancyWeight;
}

auto prompt_placement::division() const -> lane_division
{
    auto demand = m_ownDemand;
    demand += m_othersDemand;
    return {.endpoints = m_members.size(), .longLaneSize = m_longLaneSize, .demand = demand};
}

auto prompt_placement::resizeLanes() -> void
{
    const auto count = m_members.size();
    const auto demand = division().demand;
    const auto shortDemand = demand.endpointSeconds(0) / toSeconds(demandPeriod);
    const auto longDemand = demand.endpointSeconds(1) / toSeconds(demandPeriod);
    if (count < 2 || shortDemand + longDemand == 0) {
        m_longLaneSize = count / 2;
        return;
    }
    const auto wanted = longLaneShare(shortDemand, longDemand);
    if (std::abs(wanted - static_cast<double>(m_longLaneSize)) > laneHysteresis)
        m_longLaneSize = static_cast<std::size_t>(std::lround(wanted));
    m_longLaneSize = std::clamp<std::size_t>(m_longLaneSize, 1, count - 1);
}

// Returns the number of endpoints for the long lane. If there are fewer endpoints than both lanes
// need, the lane with the more urgent requests gets what it needs first.
auto prompt_placement::longLaneShare(double shortDemand, double longDemand) const -> double
{
    const auto endpoints = static_cast<double>(m_members.size());
    const auto spare = endpoints - shortDemand - longDemand;
    if (spare >= 0) {
        const auto roots = std::sqrt(longDemand) + std::sqrt(shortDemand);
        return longDemand + spare * std::sqrt(longDemand) / roots;
    }
    if (mainOrder(shortLane) < mainOrder(longLane))
        return endpoints - std::min(shortDemand, endpoints);
    if (mainOrder(longLane) < mainOrder(shortLane))
        return std::min(longDemand, endpoints);
    return endpoints * longDemand / (shortDemand + longDemand);
}

auto prompt_placement::mainOrder(std::size_t lane) const -> service_order
{
    const auto &work = m_workByOrder[lane];
    const auto most
        = std::ranges::max_element(work, {}, [](const auto &item) { return item.second; });
    return most == work.end() ? service_order() : most->first;
}

auto prompt_placement::groupAt(std::size_t number) const -> std::span<const member>
{
    if (m_groupBits == 0)
        return m_members;
    const auto startOf = [this](std::uint64_t group) {
        const auto hash = group << (hashBits - m_groupBits);
        return std::ranges::lower_bound(m_members, hash, {}, &member::hash);
    };
    const auto end = number + 1 == groupCount() ? m_members.end() : startOf(number + 1);
    return {startOf(number), end};
}

auto prompt_placement::lanesOf(std::span<const member> group) const
    -> std::array<std::span<const member>, promptLanes>
{
    if (group.size() < 2)
        return {group, group};
    const auto wanted = m_longLaneSize * group.size() / m_members.size();
    const auto longLane = std::clamp<std::size_t>(wanted, 1, group.size() - 1);
    return {group.subspan(longLane), group.first(longLane)};
}

auto prompt_placement::choose(const endpoint_table &endpoints, const prompt_criteria &criteria,
                              time_point now) -> placement_choice
{
    return chooseInGroups(criteria, [&](std::span<const member> group) {
        return chooseIn(group, endpoints, criteria, now);
    });
}

auto prompt_placement::chooseLate(const endpoint_table &endpoints, const prompt_criteria &criteria,
                                  time_point now) -> placement_choice
{
    if (!isOtherLaneLessUrgent(criteria))
        return {};
    const auto other = 1 - laneOf(criteria.promptTokens);
    auto choice = chooseInGroups(criteria, [&](std::span<const member> group) {
        return chooseLeastBacklog(lanesOf(group)[other], endpoints, criteria, now);
    });
    choice.reason = "late";
    return choice;
}

template<class ChooseIn>
auto prompt_placement::chooseInGroups(const prompt_criteria &criteria, const ChooseIn &chooseIn)
    -> placement_choice
{
    const auto groups = groupCount();
    const auto first = firstGroup(criteria);
    placement_choice choice;
    for (std::size_t tried = 0; tried < std::min(groups, maxTriedGroups); ++tried) {
        choice = chooseIn(groupAt((first + tried) % groups));
        if (choice.endpoint != noIndex)
            break;
    }
    return choice;
}

auto prompt_placement::chooseIn(std::span<const member> group, const endpoint_table &endpoints,
                                const prompt_criteria &criteria, time_point now) const
    -> placement_choice
{
    const auto lanes = lanesOf(group);
    const auto own = laneOf(criteria.promptTokens);
    placement_choice prefixed;
    if (criteria.prefixHash != 0)
        prefixed = chooseByPrefix(lanes[own], endpoints, criteria, now);
    if (prefixed.endpoint != noIndex)
        return prefixed;
    auto choice = chooseLeastBacklog(lanes[own], endpoints, criteria, now);
    choice.reason = "lane";
    const auto bound = scaled(criteria.firstTokenTarget, laneWaitFraction);
    if (choice.endpoint == noIndex
        || waitWithoutPrefix(endpoints, choice.endpoint, criteria) > bound)
        choice = chooseInOtherLane(lanes[1 - own], endpoints, criteria, now);
    // Endpoints that may have the prefix come first in the log, to show why none of them was
    // chosen.
    for (std::uint32_t at = 0; at < choice.consideredCount; ++at)
        prefixed.consider(choice.considered[at]);
    prefixed.endpoint = choice.endpoint;
    prefixed.reason = choice.reason;
    return prefixed;
}

auto prompt_placement::chooseInOtherLane(std::span<const member> lane,
                                         const endpoint_table &endpoints,
                                         const prompt_criteria &criteria, time_point now) const
    -> placement_choice
{
    auto choice = chooseLeastBacklog(lane, endpoints, criteria, now);
    choice.reason = "other_lane";
    if (choice.endpoint == noIndex)
        return choice;
    const auto wait = endpoints.prefillBacklog(choice.endpoint);
    const auto totalWait = wait + endpoints.prefillTime(choice.endpoint, criteria.promptTokens);
    const bool isInTime = wait <= scaled(criteria.firstTokenTarget, laneWaitFraction);
    const bool fitsTokenGap = m_smallestTokenGap.count() == 0
                              || totalWait <= scaled(m_smallestTokenGap, gapPrefillFraction);
    if (!isInTime || !fitsTokenGap)
        choice.endpoint = noIndex;
    return choice;
}

// Tries the endpoints of the lane in the rendezvous order of the prefix and returns the first one
// with a short enough wait.
auto prompt_placement::chooseByPrefix(std::span<const member> lane, const endpoint_table &endpoints,
                                      const prompt_criteria &criteria, time_point now)
    -> placement_choice
{
    constexpr std::size_t tried = 2;
    placement_choice choice;
    const auto bound = scaled(criteria.firstTokenTarget, prefixWaitFraction);
    double previousKey = -1;
    for (std::size_t rank = 0; rank < tried; ++rank) {
        auto best = noIndex;
        auto bestKey = std::numeric_limits<double>::infinity();
        for (const auto &item : lane) {
            const auto key = rendezvousKey(mixBits(item.hash ^ criteria.prefixHash),
                                           endpoints.at(item.index).pace.slowness());
            if (key <= previousKey || key >= bestKey || !fits(endpoints, item.index, criteria, now))
                continue;
            best = item.index;
            bestKey = key;
        }
        if (best == noIndex)
            return choice;
        choice.consider(best);
        const auto wait = rank == 0 ? endpoints.prefillBacklog(best)
                                    : waitWithoutPrefix(endpoints, best, criteria);
        if (wait <= bound) {
            choice.endpoint = best;
            choice.reason = rank == 0 ? "prefix" : "prefix_second";
            return choice;
        }
        previousKey = bestKey;
    }
    return choice;
}

auto prompt_placement::chooseLeastBacklog(std::span<const member> members,
                                          const endpoint_table &endpoints,
                                          const prompt_criteria &criteria, time_point now)
    -> placement_choice
{
    placement_choice choice;
    duration smallestBacklog{};
    double load = 0;
    for (const auto &item : members) {
        if (!fits(endpoints, item.index, criteria, now))
            continue;
        const auto wait = endpoints.prefillBacklog(item.index);
        const auto held
            = endpoints.load(item.index, now) * endpoints.at(item.index).pace.slowness();
        if (choice.endpoint != noIndex && std::pair(wait, held) >= std::pair(smallestBacklog, load))
            continue;
        choice.consider(item.index);
        choice.endpoint = item.index;
        smallestBacklog = wait;
        load = held;
    }
    return choice;
}

} // namespace mustardline
