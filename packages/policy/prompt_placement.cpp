#include "policy/prompt_placement.h"

#include <algorithm>
#include <cmath>

#include "base/hashing.h"
#include "policy/random.h"

namespace mustardline {

namespace {

// Most members of a group on average, so that a choice costs the same in a fleet of any size.
constexpr std::size_t groupMembers = 64;
// Groups that a request tries before it waits.
constexpr std::size_t triedGroups = 3;
constexpr std::uint32_t hashBits = 64;
// The part of its first-token target that a request may wait for prompts before it at the endpoint
// that has its prefix, and at the others of its lane.
constexpr double warmWaitPart = 0.65;
constexpr double laneWaitPart = 0.6;
// The part of a pause that reading prompts may fill; the steps of the event itself fill the rest.
constexpr double pauseReadingPart = 0.5;
// What the lanes need is followed over about this time.
constexpr double needFadeSeconds = 20;
constexpr double heldWeight = 0.05; // of a new sample
// The long lane's size changes once the work is so much of one endpoint's part away from it.
constexpr double laneHysteresis = 0.7;

// Until the parts that others share would be read at an endpoint that does not have them: what they
// cost counts against the choice, since all that wait there wait for them too.
auto coldWait(const endpoint_table &endpoints, std::uint32_t index, const prompt_wish &wish)
    -> duration
{
    return endpoints.promptWait(index) + endpoints.readingTime(index, wish.sharedTokens);
}

auto fits(const endpoint_table &endpoints, std::uint32_t index, time_point now) -> bool
{
    return endpoints.isUsable(index, now) && endpoints.hasRoom(index, now);
}

} // namespace

auto prompt_placement::add(const endpoint_table &endpoints, std::uint32_t index) -> void
{
    if (std::ranges::find(m_members, index, &member::index) != m_members.end())
        return;
    const member added{.hash = fastHash(endpoints.at(index).id), .index = index};
    m_members.insert(std::ranges::lower_bound(m_members, added.hash, {}, &member::hash), added);
    resized();
}

auto prompt_placement::remove(std::uint32_t index) -> void
{
    if (std::erase_if(m_members, [index](const member &item) { return item.index == index; }) > 0)
        resized();
}

auto prompt_placement::resized() -> void
{
    m_groupBits = 0;
    while (m_members.size() > groupMembers * groupCount())
        ++m_groupBits;
    resizeLanes();
}

auto prompt_placement::arrived(const prompt_work &work, time_point now) -> void
{
    const auto fade = std::exp(-toSeconds(now - m_needsAt) / needFadeSeconds);
    m_needsAt = now;
    for (auto &lane : m_own.lanes) {
        lane.reading *= fade;
        lane.holding *= fade;
    }
    const auto number = laneOf(work.promptTokens);
    m_own.lanes[number].reading += toSeconds(work.reading);
    m_own.lanes[number].holding += m_heldByOne[number];
    const bool isOld = toSeconds(now - m_pauseAt) > needFadeSeconds;
    const auto pause = work.betweenTokensTarget;
    if (pause.count() > 0 && (m_shortestPause.count() == 0 || pause <= m_shortestPause || isOld)) {
        m_shortestPause = pause;
        m_pauseAt = now;
    }
    resizeLanes();
}

auto prompt_placement::ended(std::uint32_t promptTokens, duration held, std::uint32_t window)
    -> void
{
    auto &mean = m_heldByOne[laneOf(promptTokens)];
    const auto sample = toSeconds(held) / std::max(window, 1U);
    mean = mean == 0 ? sample : mean + (sample - mean) * heldWeight;
}

auto prompt_placement::resizeLanes() -> void
{
    const auto count = m_members.size();
    auto needs = m_own;
    needs += m_others;
    const auto shortNeed = needs.of(0) / needFadeSeconds;
    const auto longNeed = needs.of(1) / needFadeSeconds;
    if (count < 2 || shortNeed + longNeed == 0) {
        m_longLane = count / 2;
        return;
    }
    const auto endpoints = static_cast<double>(count);
    const auto scale = std::min(1.0, endpoints / (shortNeed + longNeed));
    const auto spare = endpoints - (shortNeed + longNeed) * scale;
    const auto spareForLong = std::sqrt(longNeed) / (std::sqrt(longNeed) + std::sqrt(shortNeed));
    const auto wanted = longNeed * scale + spare * spareForLong;
    if (std::abs(wanted - static_cast<double>(m_longLane)) > laneHysteresis)
        m_longLane = static_cast<std::size_t>(std::lround(wanted));
    m_longLane = std::clamp<std::size_t>(m_longLane, 1, count - 1);
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
    const auto wanted = m_longLane * group.size() / m_members.size();
    const auto longLane = std::clamp<std::size_t>(wanted, 1, group.size() - 1);
    return {group.subspan(longLane), group.first(longLane)};
}

auto prompt_placement::choose(const endpoint_table &endpoints, const prompt_wish &wish,
                              time_point now) -> placement_choice
{
    const auto groups = groupCount();
    const auto first = wish.prefixHash != 0 ? mixBits(wish.prefixHash) : m_turn++;
    placement_choice choice;
    for (std::size_t tried = 0; tried < std::min(groups, triedGroups); ++tried) {
        choice = chooseIn(groupAt((first + tried) % groups), endpoints, wish, now);
        if (choice.endpoint != noIndex)
            break;
    }
    return choice;
}

auto prompt_placement::chooseIn(std::span<const member> group, const endpoint_table &endpoints,
                                const prompt_wish &wish, time_point now) const -> placement_choice
{
    const auto lanes = lanesOf(group);
    const auto own = laneOf(wish.promptTokens);
    placement_choice warm;
    if (wish.prefixHash != 0)
        warm = chooseWarm(lanes[own], endpoints, wish, now);
    if (warm.endpoint != noIndex)
        return warm;
    auto choice = chooseShortest(lanes[own], endpoints, wish, now);
    choice.reason = "lane";
    const auto bound = scaled(wish.firstTokenTarget, laneWaitPart);
    if (choice.endpoint == noIndex || coldWait(endpoints, choice.endpoint, wish) > bound)
        choice = chooseGuest(lanes[1 - own], endpoints, wish, now);
    // The log tells first why none of those was taken that may have its parts.
    for (std::uint32_t at = 0; at < choice.consideredCount; ++at)
        warm.consider(choice.considered[at]);
    warm.endpoint = choice.endpoint;
    warm.reason = choice.reason;
    return warm;
}

auto prompt_placement::chooseGuest(std::span<const member> lane, const endpoint_table &endpoints,
                                   const prompt_wish &wish, time_point now) const
    -> placement_choice
{
    auto choice = chooseShortest(lane, endpoints, wish, now);
    choice.reason = "other_lane";
    if (choice.endpoint == noIndex)
        return choice;
    const auto wait = endpoints.promptWait(choice.endpoint);
    const auto reading = wait + endpoints.readingTime(choice.endpoint, wish.promptTokens);
    const bool isInTime = wait <= scaled(wish.firstTokenTarget, laneWaitPart);
    const bool isBorne
        = m_shortestPause.count() == 0 || reading <= scaled(m_shortestPause, pauseReadingPart);
    if (!isInTime || !isBorne)
        choice.endpoint = noIndex;
    return choice;
}

// The endpoints of the lane in the prefix's own order; the first that keeps it waiting briefly.
auto prompt_placement::chooseWarm(std::span<const member> lane, const endpoint_table &endpoints,
                                  const prompt_wish &wish, time_point now) -> placement_choice
{
    constexpr std::size_t tried = 2;
    placement_choice choice;
    const auto bound = scaled(wish.firstTokenTarget, warmWaitPart);
    std::uint64_t below = UINT64_MAX;
    for (std::size_t turn = 0; turn < tried; ++turn) {
        auto best = noIndex;
        std::uint64_t bestScore = 0;
        for (const auto &item : lane) {
            const auto score = mixBits(item.hash ^ wish.prefixHash);
            if (score >= below || score < bestScore || item.index == wish.avoid
                || !fits(endpoints, item.index, now))
                continue;
            best = item.index;
            bestScore = score;
        }
        if (best == noIndex)
            return choice;
        choice.consider(best);
        const auto wait = turn == 0 ? endpoints.promptWait(best) : coldWait(endpoints, best, wish);
        if (wait <= bound) {
            choice.endpoint = best;
            choice.reason = turn == 0 ? "prefix" : "prefix_second";
            return choice;
        }
        below = bestScore;
    }
    return choice;
}

auto prompt_placement::chooseShortest(std::span<const member> members,
                                      const endpoint_table &endpoints, const prompt_wish &wish,
                                      time_point now) -> placement_choice
{
    placement_choice choice;
    duration least{};
    std::uint32_t load = 0;
    for (const auto &item : members) {
        if (item.index == wish.avoid || !fits(endpoints, item.index, now))
            continue;
        const auto wait = endpoints.promptWait(item.index);
        const auto held = endpoints.load(item.index, now);
        if (choice.endpoint != noIndex && std::pair(wait, held) >= std::pair(least, load))
            continue;
        choice.consider(item.index);
        choice.endpoint = item.index;
        least = wait;
        load = held;
    }
    return choice;
}

} // namespace mustardline
