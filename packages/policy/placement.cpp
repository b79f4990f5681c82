#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Members probed for one choice. A subset of at most `maxFullScan` members is scanned fully.
constexpr std::uint32_t probeCount = 4;
constexpr std::uint32_t maxFullScan = 16;
// One in this many members is reserved for other data centres.
constexpr std::uint32_t remoteDivisor = 4;
// Multiplies the cost of the endpoint that has the prefix in its cache.
constexpr double cachedPrefixFactor = 0.6;

// Relative load after one more request, times the mean first-token time. Lower is better.
auto costOf(const endpoint_table &endpoints, std::uint32_t index,
            const placement_criteria &criteria, time_point now) -> double
{
    const auto load = static_cast<double>(endpoints.load(index, now) + 1);
    const auto relativeLoad = load / endpoints.window(index);
    const auto latency = endpoints.at(index).firstTokenMean;
    return relativeLoad * (latency == 0 ? 1 : latency)
           * (index == criteria.prefixEndpoint ? cachedPrefixFactor : 1);
}

// Rounds a fractional reserve to a whole number of places for one endpoint.
auto reserveAt(std::uint32_t index, double reserve) -> std::uint32_t
{
    // Multiples of the golden ratio spread the rounding evenly, so that the average over the
    // endpoints is `reserve`.
    constexpr double goldenRatio = 0.6180339887498949;
    const auto phase = index * goldenRatio;
    return static_cast<std::uint32_t>(reserve + (phase - std::floor(phase)));
}

auto fits(const endpoint_table &endpoints, std::uint32_t index, const placement_criteria &criteria,
          time_point now) -> bool
{
    const auto load = endpoints.load(index, now);
    const auto window = endpoints.window(index);
    if (load >= window || !endpoints.isUsable(index, now))
        return false;
    return criteria.reserve == 0 || load + reserveAt(index, criteria.reserve) < window;
}

} // namespace

auto endpoint_subset::contains(std::uint32_t index) const -> bool
{
    return std::ranges::find(m_local, index, &member::index) != m_local.end()
           || std::ranges::find(m_remote, index, &member::index) != m_remote.end();
}

auto endpoint_subset::trim() -> void
{
    const auto localLimit = m_options.size - m_options.size / remoteDivisor;
    if (m_local.size() > localLimit)
        m_local.resize(localLimit);
    const auto remoteLimit = m_options.size - m_local.size();
    if (m_remote.size() > remoteLimit)
        m_remote.resize(remoteLimit);
}

auto endpoint_subset::add(const endpoint_table &endpoints, std::uint32_t index) -> void
{
    if (contains(index))
        return;
    const auto &row = endpoints.at(index);
    auto &members = row.dataCentre == m_options.dataCentre ? m_local : m_remote;
    const member added{.score = fastHash(row.id, m_options.seed), .index = index};
    const auto place
        = std::ranges::upper_bound(members, added.score, std::greater<>{}, &member::score);
    members.insert(place, added);
    trim();
}

auto endpoint_subset::rebuild(const endpoint_table &endpoints, std::uint32_t target) -> void
{
    m_local.clear();
    m_remote.clear();
    for (std::uint32_t index = 0; index < endpoints.size(); ++index) {
        const auto &row = endpoints.at(index);
        if (row.available && std::ranges::find(row.serves, target) != row.serves.end())
            add(endpoints, index);
    }
}

auto endpoint_subset::chooseAmong(std::span<const member> members, const endpoint_table &endpoints,
                                  const placement_criteria &criteria, random_source &random,
                                  time_point now, placement_choice &choice) const -> bool
{
    const auto count = static_cast<std::uint32_t>(members.size());
    if (count == 0)
        return false;
    const auto probed = count <= maxFullScan ? count : probeCount;
    const auto start = random.below(count);
    double lowestCost = 0;
    for (std::uint32_t probe = 0; probe < probed; ++probe) {
        const auto at = count <= maxFullScan ? (start + probe) % count : random.below(count);
        const auto index = members[at].index;
        choice.consider(index);
        if (index == criteria.avoid || !fits(endpoints, index, criteria, now))
            continue;
        const auto cost = costOf(endpoints, index, criteria, now);
        if (choice.endpoint == noIndex || cost < lowestCost) {
            choice.endpoint = index;
            lowestCost = cost;
        }
    }
    // No probed member fits: take the first one that does.
    for (std::uint32_t step = 0; choice.endpoint == noIndex && step < count; ++step) {
        const auto index = members[(start + step) % count].index;
        const bool isExcluded = criteria.avoidedHasFailed && index == criteria.avoid;
        if (!isExcluded && fits(endpoints, index, criteria, now))
            choice.endpoint = index;
    }
    return choice.endpoint != noIndex;
}

auto endpoint_subset::choose(const endpoint_table &endpoints, const placement_criteria &criteria,
                             random_source &random, time_point now) const -> placement_choice
{
    placement_choice choice;
    if (criteria.prefixEndpoint != noIndex && criteria.prefixEndpoint != criteria.avoid
        && contains(criteria.prefixEndpoint)
        && fits(endpoints, criteria.prefixEndpoint, criteria, now)
        && endpoints.load(criteria.prefixEndpoint, now) * 2
               < endpoints.window(criteria.prefixEndpoint)) {
        choice.consider(criteria.prefixEndpoint);
        choice.endpoint = criteria.prefixEndpoint;
        choice.reason = "warm_prefix";
        return choice;
    }
    if (chooseAmong(m_local, endpoints, criteria, random, now, choice))
        choice.reason = "own_data_centre";
    else if (chooseAmong(m_remote, endpoints, criteria, random, now, choice))
        choice.reason = "other_data_centre";
    return choice;
}

auto endpoint_subset::chooseFreedPlace(const endpoint_table &endpoints,
                                       const placement_criteria &criteria, freed_places &freed,
                                       time_point now) const -> placement_choice
{
    placement_choice choice;
    for (auto &index : freed.endpoints) {
        if (index == noIndex || index == criteria.avoid || !fits(endpoints, index, criteria, now)
            || !contains(index))
            continue;
        choice.consider(index);
        choice.endpoint = std::exchange(index, noIndex);
        choice.reason = "freed_place";
        break;
    }
    return choice;
}

// Takes the endpoint where the preempted request was placed most recently, since it loses the
// least work.
auto endpoint_subset::chooseOverWindow(const endpoint_table &endpoints,
                                       const placement_criteria &criteria, time_point now) const
    -> placement_choice
{
    placement_choice choice;
    time_point newest{};
    for (const auto *members : {&m_local, &m_remote}) {
        for (const auto &item : *members) {
            const auto load = endpoints.load(item.index, now);
            const auto window = endpoints.window(item.index);
            const auto excess = load > window ? load - window : 0;
            if (endpoints.displaceableBelow(item.index, criteria.tier, now) <= excess
                || item.index == criteria.avoid || !endpoints.isUsable(item.index, now))
                continue;
            const auto placedAt = endpoints.lastPlacedOfLowestTier(item.index);
            if (choice.endpoint != noIndex && placedAt <= newest)
                continue;
            choice.consider(item.index);
            choice.endpoint = item.index;
            choice.reason = "over_window";
            newest = placedAt;
        }
    }
    return choice;
}

auto endpoint_subset::places(const endpoint_table &endpoints, time_point now) const -> subset_places
{
    subset_places places;
    for (const auto *members : {&m_local, &m_remote}) {
        for (const auto &item : *members) {
            if (!endpoints.isServing(item.index, now))
                continue;
            places.all += endpoints.window(item.index);
            for (std::uint32_t tier = 1; tier < lowestTier; ++tier)
                places.preemptibleBelow[tier] += endpoints.preemptibleBelow(item.index, tier, now);
        }
    }
    return places;
}

} // namespace mustardline
