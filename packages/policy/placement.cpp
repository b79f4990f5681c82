#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Members probed for one choice; a smaller subset is weighed whole.
constexpr std::uint32_t probes = 4;
constexpr std::uint32_t weighedWhole = 16;
// Part of the subset that is kept for other data centres.
constexpr std::uint32_t otherPart = 4;
// A warm prefix counts as this much less load.
constexpr double warmFactor = 0.6;

// Load for its window after one more request, times the first-token time; less is better.
auto weigh(const endpoint_table &endpoints, std::uint32_t index, const placement_wish &wish,
           time_point now) -> double
{
    const auto load = static_cast<double>(endpoints.load(index, now) + 1);
    const auto filled = load / endpoints.window(index);
    const auto latency = endpoints.at(index).firstTokenMean;
    return filled * (latency == 0 ? 1 : latency) * (index == wish.warm ? warmFactor : 1);
}

// The part of a fractional reserve that falls on this endpoint.
auto reserveAt(std::uint32_t index, double reserve) -> std::uint32_t
{
    // Multiples of the golden ratio spread the rounding evenly over the endpoints.
    constexpr double goldenRatio = 0.6180339887498949;
    const auto phase = index * goldenRatio;
    return static_cast<std::uint32_t>(reserve + (phase - std::floor(phase)));
}

auto fits(const endpoint_table &endpoints, std::uint32_t index, const placement_wish &wish,
          time_point now) -> bool
{
    const auto load = endpoints.load(index, now);
    const auto window = endpoints.window(index);
    if (load >= window || !endpoints.isUsable(index, now))
        return false;
    return wish.reserve == 0 || load + reserveAt(index, wish.reserve) < window;
}

} // namespace

auto endpoint_subset::contains(std::uint32_t index) const -> bool
{
    return std::ranges::find(m_own, index, &member::index) != m_own.end()
           || std::ranges::find(m_others, index, &member::index) != m_others.end();
}

auto endpoint_subset::trim() -> void
{
    const auto ownLimit = m_options.size - m_options.size / otherPart;
    if (m_own.size() > ownLimit)
        m_own.resize(ownLimit);
    const auto othersLimit = m_options.size - m_own.size();
    if (m_others.size() > othersLimit)
        m_others.resize(othersLimit);
}

auto endpoint_subset::add(const endpoint_table &endpoints, std::uint32_t index) -> void
{
    if (contains(index))
        return;
    const auto &row = endpoints.at(index);
    auto &members = row.dataCentre == m_options.dataCentre ? m_own : m_others;
    const member added{.score = fastHash(row.id, m_options.seed), .index = index};
    const auto place
        = std::ranges::upper_bound(members, added.score, std::greater<>{}, &member::score);
    members.insert(place, added);
    trim();
}

auto endpoint_subset::rebuild(const endpoint_table &endpoints, std::uint32_t target) -> void
{
    m_own.clear();
    m_others.clear();
    for (std::uint32_t index = 0; index < endpoints.size(); ++index) {
        const auto &row = endpoints.at(index);
        if (row.available && std::ranges::find(row.serves, target) != row.serves.end())
            add(endpoints, index);
    }
}

auto endpoint_subset::chooseAmong(std::span<const member> members, const endpoint_table &endpoints,
                                  const placement_wish &wish, random_source &random, time_point now,
                                  placement_choice &choice) const -> bool
{
    const auto count = static_cast<std::uint32_t>(members.size());
    if (count == 0)
        return false;
    const auto drawn = count <= weighedWhole ? count : probes;
    const auto start = random.below(count);
    double least = 0;
    for (std::uint32_t probe = 0; probe < drawn; ++probe) {
        const auto at = count <= weighedWhole ? (start + probe) % count : random.below(count);
        const auto index = members[at].index;
        choice.consider(index);
        if (index == wish.avoid || !fits(endpoints, index, wish, now))
            continue;
        const auto weight = weigh(endpoints, index, wish, now);
        if (choice.endpoint == noIndex || weight < least) {
            choice.endpoint = index;
            least = weight;
        }
    }
    // None of the few had room: take any that has.
    for (std::uint32_t step = 0; choice.endpoint == noIndex && step < count; ++step) {
        const auto index = members[(start + step) % count].index;
        const bool isLeft = wish.avoidsFailure && index == wish.avoid;
        if (!isLeft && fits(endpoints, index, wish, now))
            choice.endpoint = index;
    }
    return choice.endpoint != noIndex;
}

auto endpoint_subset::choose(const endpoint_table &endpoints, const placement_wish &wish,
                             random_source &random, time_point now) const -> placement_choice
{
    placement_choice choice;
    if (wish.warm != noIndex && wish.warm != wish.avoid && contains(wish.warm)
        && fits(endpoints, wish.warm, wish, now)
        && endpoints.load(wish.warm, now) * 2 < endpoints.window(wish.warm)) {
        choice.consider(wish.warm);
        choice.endpoint = wish.warm;
        choice.reason = "warm_prefix";
        return choice;
    }
    if (chooseAmong(m_own, endpoints, wish, random, now, choice))
        choice.reason = "own_data_centre";
    else if (chooseAmong(m_others, endpoints, wish, random, now, choice))
        choice.reason = "other_data_centre";
    return choice;
}

auto endpoint_subset::chooseFreed(const endpoint_table &endpoints, const placement_wish &wish,
                                  freed_places &freed, time_point now) const -> placement_choice
{
    placement_choice choice;
    for (auto &index : freed.endpoints) {
        if (index == noIndex || index == wish.avoid || !fits(endpoints, index, wish, now)
            || !contains(index))
            continue;
        choice.consider(index);
        choice.endpoint = std::exchange(index, noIndex);
        choice.reason = "freed_place";
        break;
    }
    return choice;
}

// Takes the endpoint where the least work would be lost.
auto endpoint_subset::chooseOver(const endpoint_table &endpoints, const placement_wish &wish,
                                 time_point now) const -> placement_choice
{
    placement_choice choice;
    time_point newest{};
    for (const auto *members : {&m_own, &m_others}) {
        for (const auto &item : *members) {
            const auto load = endpoints.load(item.index, now);
            const auto window = endpoints.window(item.index);
            const auto over = load > window ? load - window : 0;
            if (endpoints.yieldingBelow(item.index, wish.tier, now) <= over
                || item.index == wish.avoid || !endpoints.isUsable(item.index, now))
                continue;
            const auto placedAt = endpoints.newestOfLowest(item.index);
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
    for (const auto *members : {&m_own, &m_others}) {
        for (const auto &item : *members) {
            if (!endpoints.isServing(item.index, now))
                continue;
            places.all += endpoints.window(item.index);
            for (std::uint32_t tier = 1; tier < lowestTier; ++tier)
                places.stoppableBelow[tier] += endpoints.stoppableBelow(item.index, tier, now);
        }
    }
    return places;
}

} // namespace mustardline
