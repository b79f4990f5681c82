#include "policy/endpoint_table.h"

#include <algorithm>
#include <cmath>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr double firstTokenWeight = 0.2; // of a new sample
constexpr duration minEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t maxEjectionDoublings = 6;
constexpr duration busyBackoff = std::chrono::milliseconds(20);
// Reports up to this age replace the previous value; older ones are averaged.
constexpr duration maxFreshAge = std::chrono::milliseconds(200);
constexpr double staleWeight = 0.2;
// Requests that may exceed the window of an old report. They wait in the agent's queue for a place
// that came free after the report was made.
constexpr std::uint32_t staleSlack = 1;
// Time constant of the average of other entry processes' prompt tokens.
constexpr double promptDecaySeconds = 2;
constexpr duration historyIntervalLength = std::chrono::milliseconds(200);

} // namespace

auto endpoint_table::allocateRow() -> std::uint32_t
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
        index = allocateRow();
        m_indexes.emplace(info.id, index);
    }
    auto &row = m_rows[index];
    row.id = info.id;
    row.start = info.start;
    row.dataCentre = info.dataCentre;
    row.serves = std::move(serves);
    if (!row.serves.empty())
        row.estimator = row.serves.front();
    const auto last = row.serves.empty() ? row.estimator : std::ranges::max(row.serves);
    m_prefillEstimators.resize(std::max<std::size_t>(m_prefillEstimators.size(), last + 1));
    m_partBaselines.resize(m_prefillEstimators.size());
    const auto cold = info.coldConcurrency > 0 ? info.coldConcurrency : defaultColdWindow;
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
    // A single old count says little about the current load; an average is more accurate.
    const auto weight = load.age > maxFreshAge ? staleWeight : 1;
    row.others += (others - row.others) * weight;
    row.othersCount = static_cast<std::uint32_t>(std::lround(row.others));
    for (auto tier = lowestTier; tier > 0; --tier)
        row.preemptibleBelow[tier - 1] = row.preemptibleBelow[tier] + load.preemptible[tier];
    row.window = load.window + (load.age > maxFreshAge ? staleSlack : 0);
    row.reportedAt = now;
    updateOthersPrompts(row, load.othersPromptTokens, now);
    if (total < load.window && load.age <= maxFreshAge)
        row.busyUntil = {};
}

// Reports arrive at irregular intervals, so a new one is weighted by the time since the last.
auto endpoint_table::updateOthersPrompts(endpoint_row &row, std::uint32_t tokens, time_point now)
    -> void
{
    const auto decay = std::exp(-toSeconds(now - row.othersPromptsUpdatedAt) / promptDecaySeconds);
    row.othersPromptTokens = tokens + (row.othersPromptTokens - tokens) * decay;
    row.othersPromptsUpdatedAt = now;
}

// Fills the intervals up to now with the current count.
auto endpoint_table::recordOwn(endpoint_row &row, time_point now) -> void
{
    const auto interval = now.nanoseconds / historyIntervalLength.count();
    const auto size = static_cast<std::int64_t>(row.ownHistory.size());
    for (auto at = std::max(row.historyInterval + 1, interval - size + 1); at <= interval; ++at)
        row.ownHistory[at % size] = static_cast<std::uint16_t>(row.own);
    row.historyInterval = interval;
}

auto endpoint_table::ownAt(const endpoint_row &row, time_point when) -> std::uint32_t
{
    const auto interval = when.nanoseconds / historyIntervalLength.count();
    const auto size = static_cast<std::int64_t>(row.ownHistory.size());
    if (interval >= row.historyInterval)
        return row.own;
    const auto decay = std::max(interval, row.historyInterval - size + 1);
    return row.ownHistory[std::max<std::int64_t>(0, decay) % size];
}

auto endpoint_table::failed(std::uint32_t index, time_point now) -> void
{
    auto &row = m_rows[index];
    // Requests that were in flight when it was ejected do not count as further failures.
    if (now < row.ejectedUntil)
        return;
    const auto pause = doubled(minEjection, row.failures, maxEjectionDoublings);
    row.ejectedUntil = now + scaled(pause, 0.75 + m_random.uniform() / 2);
    ++row.failures;
}

auto endpoint_table::busy(std::uint32_t index, time_point now) -> void
{
    m_rows[index].busyUntil = now + busyBackoff;
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
    row.lastPlacedByTier[tier] = now;
    if (now < row.coldUntil)
        row.coldRate.take(now);
    row.retries.recordRequest();
    if (row.awaitingFirstToken == 0)
        row.noFirstTokenSince = now;
    ++row.awaitingFirstToken;
}

auto endpoint_table::prefillTime(std::uint32_t index, double tokens) const -> duration
{
    const auto &row = m_rows[index];
    return m_prefillEstimators[row.estimator].timeFor(tokens * row.pace.slowness());
}

auto endpoint_table::prefillBacklog(std::uint32_t index) const -> duration
{
    const auto &row = m_rows[index];
    return prefillTime(index, row.ownPromptTokens + row.othersPromptTokens);
}

auto endpoint_table::nextPaceReports(std::size_t most) -> std::vector<endpoint_pace_report>
{
    std::vector<endpoint_pace_report> reports;
    for (std::size_t seen = 0; seen < m_rows.size() && reports.size() < most; ++seen) {
        const auto &row = m_rows[m_nextPaceRow++ % m_rows.size()];
        if (!row.present || !row.pace.differs())
            continue;
        const auto measured = row.pace.measured();
        if (measured.samples >= 1)
            reports.push_back({.endpoint = row.id, .pace = measured});
    }
    return reports;
}

auto endpoint_table::unevenSpeeds() const -> std::map<std::string, double>
{
    std::map<std::string, double> speeds;
    for (const auto &row : m_rows) {
        if (row.present && row.pace.slowness() != 1)
            speeds.emplace(row.id, row.pace.speed());
    }
    return speeds;
}

auto endpoint_table::firstToken(std::uint32_t index, duration latency, time_point now) -> void
{
    auto &row = m_rows[index];
    const auto sample = static_cast<double>(latency.count());
    row.firstTokenMean
        = row.firstTokenMean == 0
              ? sample
              : row.firstTokenMean + (sample - row.firstTokenMean) * firstTokenWeight;
    row.awaitingFirstToken -= std::min(row.awaitingFirstToken, 1U);
    row.noFirstTokenSince = now;
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
        row.awaitingFirstToken -= std::min(row.awaitingFirstToken, 1U);
}

auto endpoint_table::displaceableBelow(std::uint32_t index, std::uint32_t tier,
                                       time_point now) const -> std::uint32_t
{
    const auto &counts = m_rows[index].ownByTier;
    std::uint32_t own = 0;
    for (auto lower = tier + 1; lower < counts.size(); ++lower)
        own += counts[lower];
    return std::max(own, preemptibleBelow(index, tier, now));
}

auto endpoint_table::lastPlacedOfLowestTier(std::uint32_t index) const -> time_point
{
    const auto &row = m_rows[index];
    for (auto tier = lowestTier; tier > 0; --tier) {
        if (row.ownByTier[tier] > 0)
            return row.lastPlacedByTier[tier];
    }
    return {};
}

} // namespace mustardline
