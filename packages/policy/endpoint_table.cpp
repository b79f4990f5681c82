#include "policy/endpoint_table.h"

#include <algorithm>
#include <cmath>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr double firstTokenWeight = 0.2; // of a new sample
constexpr duration shortestEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t longestEjectionDoublings = 6;
constexpr duration busyPause = std::chrono::milliseconds(20);
// Reports up to this age are taken as they are; of older ones a mean is kept.
constexpr duration freshAge = std::chrono::milliseconds(200);
constexpr double staleWeight = 0.2;
// Requests sent beyond the window on an old report; they wait in the agent's queue for a place that
// the report could not show.
constexpr std::uint32_t staleSlack = 1;
// What other entries' prompts make an endpoint read is followed over about this time.
constexpr double promptFadeSeconds = 2;
constexpr duration historySpanLength = std::chrono::milliseconds(200);

} // namespace

auto endpoint_table::freeRow() -> std::uint32_t
{
    const auto unused = std::ranges::find_if(
        m_removed, [this](std::uint32_t index) { return m_rows[index].own == 0; });
    if (unused != m_removed.end()) {
        const auto index = *unused;
        m_removed.erase(unused);
        m_rows[index] = {};
        return index;
    }
    m_rows.emplace_back();
    return static_cast<std::uint32_t>(m_rows.size() - 1);
}

auto endpoint_table::set(const endpoint_info &info, std::vector<std::uint32_t> serves,
                         time_point now) -> std::uint32_t
{
    auto index = find(info.id);
    if (index == noIndex) {
        index = freeRow();
        m_indexes.emplace(info.id, index);
    }
    auto &row = m_rows[index];
    row.id = info.id;
    row.start = info.start;
    row.dataCentre = info.dataCentre;
    row.serves = std::move(serves);
    if (!row.serves.empty())
        row.pace = row.serves.front();
    const auto last = row.serves.empty() ? row.pace : std::ranges::max(row.serves);
    m_paces.resize(std::max<std::size_t>(m_paces.size(), last + 1));
    const auto cold = info.coldConcurrency > 0 ? info.coldConcurrency : unknownWindow;
    row.coldConcurrency = std::min(cold, info.maxConcurrency);
    row.maxOwn = info.maxOwn > 0 ? info.maxOwn : UINT32_MAX;
    row.present = true;
    row.available = info.available;
    row.hasChunkedPrefill = info.hasChunkedPrefill;
    if (row.firstTokenMean == 0)
        row.firstTokenMean = static_cast<double>(info.assumedFirstToken.count());
    row.coldUntil = info.coldUntil;
    row.coldRate.configure({.perSecond = info.coldPerSecond, .burst = 1}, now);
    return index;
}

auto endpoint_table::remove(std::uint32_t index) -> void
{
    m_indexes.erase(m_rows[index].id);
    m_rows[index].present = false;
    m_rows[index].available = false;
    m_removed.push_back(index);
}

auto endpoint_table::find(std::string_view id) const -> std::uint32_t
{
    const auto known = m_indexes.find(std::string(id));
    return known == m_indexes.end() ? noIndex : known->second;
}

auto endpoint_table::reportLoad(std::uint32_t index, const endpoint_load &load, time_point now)
    -> void
{
    auto &row = m_rows[index];
    recordOwn(row, now);
    const auto total = load.running + load.queued;
    const auto own = ownAt(row, now - load.age);
    const double others = total > own ? total - own : 0;
    // What others had long ago says little of now; their mean says more.
    const auto weight = load.age > freshAge ? staleWeight : 1;
    row.others += (others - row.others) * weight;
    row.othersCount = static_cast<std::uint32_t>(std::lround(row.others));
    for (auto tier = lowestTier; tier > 0; --tier)
        row.stoppableBelow[tier - 1] = row.stoppableBelow[tier] + load.preemptible[tier];
    row.window = load.window + (load.age > freshAge ? staleSlack : 0);
    row.reportedAt = now;
    followOthersPrompts(row, load.othersPromptTokens, now);
    if (total < load.window && load.age <= freshAge)
        row.busyUntil = {};
}

// The reports come at any pace, so a new one weighs as much as the time since the last.
auto endpoint_table::followOthersPrompts(endpoint_row &row, std::uint32_t tokens, time_point now)
    -> void
{
    const auto kept = std::exp(-toSeconds(now - row.othersPromptAt) / promptFadeSeconds);
    row.othersPromptTokens = tokens + (row.othersPromptTokens - tokens) * kept;
    row.othersPromptAt = now;
}

// Fills the spans of time up to now with the present count.
auto endpoint_table::recordOwn(endpoint_row &row, time_point now) -> void
{
    const auto span = now.nanoseconds / historySpanLength.count();
    const auto size = static_cast<std::int64_t>(row.ownHistory.size());
    for (auto at = std::max(row.historySpan + 1, span - size + 1); at <= span; ++at)
        row.ownHistory[at % size] = static_cast<std::uint16_t>(row.own);
    row.historySpan = span;
}

auto endpoint_table::ownAt(const endpoint_row &row, time_point when) -> std::uint32_t
{
    const auto span = when.nanoseconds / historySpanLength.count();
    const auto size = static_cast<std::int64_t>(row.ownHistory.size());
    if (span >= row.historySpan)
        return row.own;
    const auto kept = std::max(span, row.historySpan - size + 1);
    return row.ownHistory[std::max<std::int64_t>(0, kept) % size];
}

auto endpoint_table::failed(std::uint32_t index, time_point now) -> void
{
    auto &row = m_rows[index];
    // Failures that were under way when it was ejected count once.
    if (now < row.ejectedUntil)
        return;
    const auto pause = doubled(shortestEjection, row.failures, longestEjectionDoublings);
    row.ejectedUntil = now + scaled(pause, 0.75 + m_random.uniform() / 2);
    ++row.failures;
}

auto endpoint_table::busy(std::uint32_t index, time_point now) -> void
{
    m_rows[index].busyUntil = now + busyPause;
}

auto endpoint_table::answered(std::uint32_t index) -> void
{
    m_rows[index].failures = 0;
}

auto endpoint_table::placed(std::uint32_t index, std::uint32_t tier, time_point now) -> void
{
    auto &row = m_rows[index];
    recordOwn(row, now);
    ++row.own;
    ++row.ownByTier[tier];
    row.newestByTier[tier] = now;
    if (now < row.coldUntil)
        row.coldRate.take(now);
    row.retries.recordRequest();
    if (row.owing == 0)
        row.owingSince = now;
    ++row.owing;
}

auto endpoint_table::readingTime(std::uint32_t index, double tokens) const -> duration
{
    return m_paces[m_rows[index].pace].timeFor(tokens);
}

auto endpoint_table::promptWait(std::uint32_t index) const -> duration
{
    const auto &row = m_rows[index];
    return readingTime(index, row.ownPromptTokens + row.othersPromptTokens);
}

auto endpoint_table::firstToken(std::uint32_t index, duration latency, time_point now) -> void
{
    auto &row = m_rows[index];
    const auto sample = static_cast<double>(latency.count());
    row.firstTokenMean
        = row.firstTokenMean == 0
              ? sample
              : row.firstTokenMean + (sample - row.firstTokenMean) * firstTokenWeight;
    row.owing -= std::min(row.owing, 1U);
    row.owingSince = now;
    answered(index);
}

auto endpoint_table::released(std::uint32_t index, std::uint32_t tier, bool hadFirstToken,
                              time_point now) -> void
{
    auto &row = m_rows[index];
    recordOwn(row, now);
    --row.own;
    --row.ownByTier[tier];
    if (!hadFirstToken)
        row.owing -= std::min(row.owing, 1U);
}

auto endpoint_table::yieldingBelow(std::uint32_t index, std::uint32_t tier, time_point now) const
    -> std::uint32_t
{
    const auto &counts = m_rows[index].ownByTier;
    std::uint32_t own = 0;
    for (auto lower = tier + 1; lower < counts.size(); ++lower)
        own += counts[lower];
    return std::max(own, stoppableBelow(index, tier, now));
}

auto endpoint_table::newestOfLowest(std::uint32_t index) const -> time_point
{
    const auto &row = m_rows[index];
    for (auto tier = lowestTier; tier > 0; --tier) {
        if (row.ownByTier[tier] > 0)
            return row.newestByTier[tier];
    }
    return {};
}

} // namespace mustardline
