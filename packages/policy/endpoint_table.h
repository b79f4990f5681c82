#pragma once

// The state of each endpoint as one entry process knows it: the exact number of its own requests
// there, the number of those of other entry processes by the agent's last report, and recent
// latencies and failures.
//
// An endpoint that fails is ejected at once and probed with a single request after a backoff that
// doubles with each failure. An endpoint that has not sent an expected first token for too long
// counts as stalled until one arrives. Load reports lose weight with age, so that a stale report
// neither attracts nor repels requests for ever.
//
//     endpoint_table endpoints(seed);
//     const auto index = endpoints.set(info);
//     endpoints.placed(index, tier, now);
//     endpoints.firstToken(index, latency, now);
//     endpoints.released(index, tier, hadFirstToken);

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/tiers.h"
#include "policy/dispatcher.h"
#include "policy/durations.h"
#include "policy/endpoint_pace.h"
#include "policy/name_table.h"
#include "policy/prefill_estimator.h"
#include "policy/random.h"
#include "policy/retry_budget.h"
#include "policy/token_bucket.h"

namespace mustardline {

struct endpoint_row
{
    std::string id;
    std::int64_t start = 0;
    std::string dataCentre;
    // Numbers of the targets (models, or one service) that it serves.
    std::vector<std::uint32_t> serves;
    // The window until the first report.
    std::uint32_t coldConcurrency = 1;
    // Upper bound of `own`.
    std::uint32_t maxOwn = UINT32_MAX;
    bool present = false;
    bool available = false;

    // Requests of this entry process there, in total and by tier.
    std::uint32_t own = 0;
    std::array<std::uint32_t, lowestTier + 1> ownByTier{};
    // When the most recent one of each tier was placed.
    std::array<time_point, lowestTier + 1> lastPlacedByTier{};
    // Requests of other entry processes there, from the reports; reports that are already old when
    // they arrive are averaged.
    double others = 0;
    // `others` rounded.
    std::uint32_t othersCount = 0;
    // The maximum of `own` in each of the most recent intervals, a ring buffer. It is subtracted
    // from the total of a report that was measured in that interval.
    std::array<std::uint16_t, 16> ownHistory{};
    std::int64_t historyInterval = 0;
    std::uint32_t window = 0;
    // By tier: reported requests of any entry process that it may preempt.
    std::array<std::uint32_t, lowestTier + 1> preemptibleBelow{};
    time_point reportedAt{};

    // Exponential moving average of the time to the first token, in nanoseconds; 0 if not known.
    double firstTokenMean = 0;
    // Requests of this entry process without a first token yet, and the time since which no first
    // token has arrived.
    std::uint32_t awaitingFirstToken = 0;
    time_point noFirstTokenSince{};

    std::uint32_t failures = 0;
    // Bounds the retries that its failures may cause.
    retry_budget retries;
    time_point ejectedUntil{};
    // It refused a request because it was full; no request is sent before this time.
    time_point busyUntil{};
    // It asked not to get requests before this time. Load reports do not shorten that.
    time_point pausedUntil{};

    bool hasChunkedPrefill = false;
    // Index of its prefill estimator: the first target that it serves, or served last.
    std::uint32_t estimator = 0;
    // Tokens of this process's prompts there that were not prefilled yet, that is whose first token
    // has not arrived.
    std::uint32_t ownPromptTokens = 0;
    // The same of other entry processes: an average over recent reports, since a report can be as
    // old as the prefill of a prompt takes.
    double othersPromptTokens = 0;
    time_point othersPromptsUpdatedAt{};
    // Its speed relative to the mean of its service.
    endpoint_pace pace;

    // Until this time it is cold, and `coldRate` limits the requests sent to it.
    time_point coldUntil{};
    token_bucket coldRate;
};

class endpoint_table
{
public:
    explicit endpoint_table(std::uint64_t seed) : m_random(seed) {}

    // Adds or updates an endpoint and returns its index.
    auto set(const endpoint_info &info, std::vector<std::uint32_t> serves, time_point now)
        -> std::uint32_t;
    auto remove(std::uint32_t index) -> void;
    [[nodiscard]] auto find(std::string_view id) const -> std::uint32_t;

    auto reportLoad(std::uint32_t index, const endpoint_load &load, time_point now) -> void;
    auto failed(std::uint32_t index, time_point now) -> void;
    auto busy(std::uint32_t index, time_point now) -> void;
    auto answered(std::uint32_t index) -> void;
    auto pause(std::uint32_t index, time_point until) -> void
    {
        auto &row = m_rows[index];
        row.pausedUntil = std::max(row.pausedUntil, until);
    }
    [[nodiscard]] auto hasRetryLeft(std::uint32_t index) const -> bool
    {
        return m_rows[index].retries.hasLeft();
    }
    // Takes a retry from the endpoint's budget; returns false if none is left.
    auto takeRetry(std::uint32_t index) -> bool { return m_rows[index].retries.take(); }

    auto placed(std::uint32_t index, std::uint32_t tier, time_point now) -> void;
    auto firstToken(std::uint32_t index, duration latency, time_point now) -> void;
    auto released(std::uint32_t index, std::uint32_t tier, bool hadFirstToken, time_point now)
        -> void;
    // A request that was placed there had its first token before.
    auto wentOn(std::uint32_t index) -> void
    {
        m_rows[index].awaitingFirstToken -= std::min(m_rows[index].awaitingFirstToken, 1U);
    }
    // A prompt with this many uncached tokens was sent there, or its prefill is done or no longer
    // needed.
    auto promptSent(std::uint32_t index, std::uint32_t tokens) -> void
    {
        m_rows[index].ownPromptTokens += tokens;
    }
    auto promptDone(std::uint32_t index, std::uint32_t tokens) -> void
    {
        m_rows[index].ownPromptTokens -= std::min(m_rows[index].ownPromptTokens, tokens);
    }
    // Records that the first token of a request arrived `latency` after it was sent, when `tokens`
    // prompt tokens were to be prefilled, including its own.
    auto promptRead(std::uint32_t index, duration latency, std::uint32_t tokens) -> void
    {
        auto &row = m_rows[index];
        m_prefillEstimators[row.estimator].firstToken(scaled(latency, row.pace.speed()), tokens);
    }
    // Records the short gap between two parts of a response.
    auto partsWritten(std::uint32_t index, double seconds, time_point now) -> void
    {
        auto &row = m_rows[index];
        row.pace.add(m_partBaselines[row.estimator].deviation(seconds), now);
    }
    auto paceReported(std::uint32_t index, const pace_report &report, time_point now) -> void
    {
        m_rows[index].pace.addReported(report, now);
    }
    // Returns up to `most` measurements of endpoints that differ, others with each call.
    [[nodiscard]] auto nextPaceReports(std::size_t most) -> std::vector<endpoint_pace_report>;
    // Speeds in use of the endpoints that differ from the mean of their service, by id.
    [[nodiscard]] auto unevenSpeeds() const -> std::map<std::string, double>;
    // Returns the prefill estimator of a target, which must have had an endpoint.
    [[nodiscard]] auto paceOf(std::uint32_t target) const -> const prefill_estimator &
    {
        return m_prefillEstimators[target];
    }
    // Returns the estimated time in which it prefills this many tokens.
    [[nodiscard]] auto prefillTime(std::uint32_t index, double tokens) const -> duration;
    // Returns the estimated time until all prompts sent there are prefilled.
    [[nodiscard]] auto prefillBacklog(std::uint32_t index) const -> duration;

    // True if it serves requests in general, even if none may be sent at this moment.
    [[nodiscard]] auto isServing(std::uint32_t index, time_point now) const -> bool
    {
        const auto &row = m_rows[index];
        return row.available && row.failures == 0 && now >= row.ejectedUntil;
    }
    // True if this entry process may send it a request, apart from whether it has room.
    [[nodiscard]] auto isUsable(std::uint32_t index, time_point now) const -> bool;
    // Returns the estimated number of requests there.
    [[nodiscard]] auto load(std::uint32_t index, time_point now) const -> std::uint32_t;
    [[nodiscard]] auto window(std::uint32_t index) const -> std::uint32_t;
    [[nodiscard]] auto hasRoom(std::uint32_t index, time_point now) const -> bool
    {
        return load(index, now) < window(index);
    }
    // Returns the number of requests of lower tiers there that may be displaced by one of `tier`:
    // those of this entry process, or those that a fresh report counts as preemptible, whichever is
    // more.
    [[nodiscard]] auto displaceableBelow(std::uint32_t index, std::uint32_t tier,
                                         time_point now) const -> std::uint32_t;
    // Returns the number that a fresh report counts as preemptible; 0 without a fresh report.
    [[nodiscard]] auto preemptibleBelow(std::uint32_t index, std::uint32_t tier,
                                        time_point now) const -> std::uint32_t
    {
        const auto &row = m_rows[index];
        return now - row.reportedAt < reportFreshness * 2 ? row.preemptibleBelow[tier] : 0;
    }

    // Returns when the most recent request of the lowest tier present there was placed. That
    // request would be preempted first.
    [[nodiscard]] auto lastPlacedOfLowestTier(std::uint32_t index) const -> time_point;

    [[nodiscard]] auto at(std::uint32_t index) const -> const endpoint_row &
    {
        return m_rows[index];
    }
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_rows.size());
    }

private:
    auto allocateRow() -> std::uint32_t;
    static auto updateOthersPrompts(endpoint_row &row, std::uint32_t tokens, time_point now)
        -> void;
    static auto recordOwn(endpoint_row &row, time_point now) -> void;
    [[nodiscard]] static auto ownAt(const endpoint_row &row, time_point when) -> std::uint32_t;

    // The window of a cold endpoint if the configuration gives none.
    static constexpr std::uint32_t defaultColdWindow = 2;
    // A report counts fully for this long, half for as long again, then not at all.
    static constexpr duration reportFreshness = std::chrono::seconds(1);
    // An endpoint is stalled if no first token arrives for this multiple of the mean time to the
    // first token, and for at least this long.
    static constexpr double stallRatio = 8;
    static constexpr duration minStall = std::chrono::seconds(1);

    std::vector<endpoint_row> m_rows;
    std::vector<std::uint32_t> m_removed;
    std::unordered_map<std::string, std::uint32_t> m_indexes;
    // By target.
    std::vector<prefill_estimator> m_prefillEstimators;
    // By target: the short gap between two parts of a response.
    std::vector<pace_baseline> m_partBaselines;
    // The row at which `nextPaceReports` continues.
    std::size_t m_nextPaceRow = 0;
    random_source m_random;
};

// Inline because every choice of an endpoint calls these functions for many members of a subset.

inline auto endpoint_table::isUsable(std::uint32_t index, time_point now) const -> bool
{
    const auto &row = m_rows[index];
    if (!row.available || row.own >= row.maxOwn)
        return false;
    if (now < row.ejectedUntil || now < row.busyUntil || now < row.pausedUntil)
        return false;
    if (now < row.coldUntil && !row.coldRate.hasToken(now))
        return false;
    // After a failure one request at a time is sent, until one is answered.
    if (row.failures > 0 && row.own > 0)
        return false;
    if (row.awaitingFirstToken == 0)
        return true;
    const auto stallTime = fromSeconds(row.firstTokenMean * stallRatio / 1e9);
    return now - row.noFirstTokenSince < std::max(stallTime, minStall);
}

inline auto endpoint_table::load(std::uint32_t index, time_point now) const -> std::uint32_t
{
    const auto &row = m_rows[index];
    const auto age = now - row.reportedAt;
    const auto others = row.othersCount;
    if (age < reportFreshness)
        return row.own + others;
    if (age < reportFreshness * 2)
        return row.own + others / 2;
    return row.own;
}

inline auto endpoint_table::window(std::uint32_t index) const -> std::uint32_t
{
    const auto &row = m_rows[index];
    return row.window == 0 ? row.coldConcurrency : row.window;
}

} // namespace mustardline
