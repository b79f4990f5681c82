#pragma once

// What one entry knows of each endpoint: its own requests there exactly, those of other entries by
// the agent's last report, and how well it has answered lately.
//
// An endpoint that fails is left at once and tried again with one request after a pause that
// doubles. One that owes first tokens for long is taken as stalled until one comes. Reports of load
// lose their weight with age, so that a stale one neither attracts nor repels for ever.
//
//     endpoint_table endpoints(seed);
//     const auto index = endpoints.set(info);
//     endpoints.placed(index, tier, now);
//     endpoints.firstToken(index, latency, now);
//     endpoints.released(index, tier, hadFirstToken);

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/tiers.h"
#include "policy/dispatcher.h"
#include "policy/durations.h"
#include "policy/name_table.h"
#include "policy/random.h"
#include "policy/reading_pace.h"
#include "policy/retry_budget.h"
#include "policy/token_bucket.h"

namespace mustardline {

struct endpoint_row
{
    std::string id;
    std::int64_t start = 0;
    std::string dataCentre;
    // Numbers of the models or the service that it serves.
    std::vector<std::uint32_t> serves;
    // The window before the first report.
    std::uint32_t coldConcurrency = 1;
    // Bound on `own`.
    std::uint32_t maxOwn = UINT32_MAX;
    bool present = false;
    bool available = false;

    // Requests of this entry there, in all and by tier.
    std::uint32_t own = 0;
    std::array<std::uint32_t, lowestTier + 1> ownByTier{};
    // When the newest of each tier was placed.
    std::array<time_point, lowestTier + 1> newestByTier{};
    // Requests of other entries there, by the reports; their mean over old reports.
    double others = 0;
    // The same as a whole number.
    std::uint32_t othersCount = 0;
    // The highest `own` in each of the last spans of time, to set against an old report.
    std::array<std::uint16_t, 16> ownHistory{};
    std::int64_t historySpan = 0;
    std::uint32_t window = 0;
    // By tier: those of any entry that may be stopped in favour of it, as reported.
    std::array<std::uint32_t, lowestTier + 1> stoppableBelow{};
    time_point reportedAt{};

    // Mean time to the first token in nanoseconds; 0 before the first.
    double firstTokenMean = 0;
    // Requests of this entry that owe their first token, and since when none has come.
    std::uint32_t owing = 0;
    time_point owingSince{};

    std::uint32_t failures = 0;
    // Retries that its failures may cause.
    retry_budget retries;
    time_point ejectedUntil{};
    // It refused a request for want of room; it is left alone until then.
    time_point busyUntil{};
    // It asked to be left alone until then; no report of its load changes that.
    time_point pausedUntil{};

    bool hasChunkedPrefill = false;
    // The number of its reading pace: that of the first model or service that it serves or served.
    std::uint32_t pace = 0;
    // Tokens of prompts there that were not read yet, by the first tokens that are owed.
    std::uint32_t ownPromptTokens = 0;
    // Of other entries: a mean of what was told lately, since each report is as old as a prompt is
    // long.
    double othersPromptTokens = 0;
    time_point othersPromptAt{};

    // While it is cold, requests are sent at a rate of their own.
    time_point coldUntil{};
    token_bucket coldRate;
};

class endpoint_table
{
public:
    explicit endpoint_table(std::uint64_t seed) : m_random(seed) {}

    // Adds or changes an endpoint and returns its index.
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
    // True if a failure of this endpoint may be retried elsewhere; counts it.
    auto takeRetry(std::uint32_t index) -> bool { return m_rows[index].retries.take(); }

    auto placed(std::uint32_t index, std::uint32_t tier, time_point now) -> void;
    auto firstToken(std::uint32_t index, duration latency, time_point now) -> void;
    auto released(std::uint32_t index, std::uint32_t tier, bool hadFirstToken, time_point now)
        -> void;
    // A prompt of so many tokens, cached ones left out, was sent there or need no longer be read.
    auto promptSent(std::uint32_t index, std::uint32_t tokens) -> void
    {
        m_rows[index].ownPromptTokens += tokens;
    }
    auto promptDone(std::uint32_t index, std::uint32_t tokens) -> void
    {
        m_rows[index].ownPromptTokens -= std::min(m_rows[index].ownPromptTokens, tokens);
    }
    // The first token of a request came `latency` after it was sent, behind so many prompt tokens.
    auto promptRead(std::uint32_t index, duration latency, std::uint32_t tokens) -> void
    {
        m_paces[m_rows[index].pace].firstToken(latency, tokens);
    }
    // How fast the endpoints of a model or service read, by its number; it must have one.
    [[nodiscard]] auto paceOf(std::uint32_t target) const -> const reading_pace &
    {
        return m_paces[target];
    }
    // Time in which it reads so many tokens of prompts.
    [[nodiscard]] auto readingTime(std::uint32_t index, double tokens) const -> duration;
    // Time until the prompts that were sent there are read.
    [[nodiscard]] auto promptWait(std::uint32_t index) const -> duration;

    // Takes requests as far as is known, though perhaps not at this moment.
    [[nodiscard]] auto isServing(std::uint32_t index, time_point now) const -> bool
    {
        const auto &row = m_rows[index];
        return row.available && row.failures == 0 && now >= row.ejectedUntil;
    }
    // May be sent a request by this entry, whether or not it has room.
    [[nodiscard]] auto isUsable(std::uint32_t index, time_point now) const -> bool;
    // Requests there, as far as is known.
    [[nodiscard]] auto load(std::uint32_t index, time_point now) const -> std::uint32_t;
    [[nodiscard]] auto window(std::uint32_t index) const -> std::uint32_t;
    [[nodiscard]] auto hasRoom(std::uint32_t index, time_point now) const -> bool
    {
        return load(index, now) < window(index);
    }
    // Requests there of a lower tier than `tier` that can make way: those of this entry, or those
    // of all entries that a fresh report calls stoppable, whichever are more.
    [[nodiscard]] auto yieldingBelow(std::uint32_t index, std::uint32_t tier, time_point now) const
        -> std::uint32_t;
    // The reported ones alone; 0 without a fresh report.
    [[nodiscard]] auto stoppableBelow(std::uint32_t index, std::uint32_t tier, time_point now) const
        -> std::uint32_t
    {
        const auto &row = m_rows[index];
        return now - row.reportedAt < reportFreshness * 2 ? row.stoppableBelow[tier] : 0;
    }

    // When the newest request of the lowest tier there was placed: what would be preempted.
    [[nodiscard]] auto newestOfLowest(std::uint32_t index) const -> time_point;

    [[nodiscard]] auto at(std::uint32_t index) const -> const endpoint_row &
    {
        return m_rows[index];
    }
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_rows.size());
    }

private:
    auto freeRow() -> std::uint32_t;
    static auto followOthersPrompts(endpoint_row &row, std::uint32_t tokens, time_point now)
        -> void;
    static auto recordOwn(endpoint_row &row, time_point now) -> void;
    [[nodiscard]] static auto ownAt(const endpoint_row &row, time_point when) -> std::uint32_t;

    // Taken where the configuration gives no window for a cold endpoint.
    static constexpr std::uint32_t unknownWindow = 2;
    // A report is believed whole for this long, half for as long again, then not at all.
    static constexpr duration reportFreshness = std::chrono::seconds(1);
    // Owing first tokens for longer than this many times the mean, and this long, is a stall.
    static constexpr double stallRatio = 8;
    static constexpr duration shortestStall = std::chrono::seconds(1);

    std::vector<endpoint_row> m_rows;
    std::vector<std::uint32_t> m_removed;
    std::unordered_map<std::string, std::uint32_t> m_indexes;
    // By the number of the model or service.
    std::vector<reading_pace> m_paces;
    random_source m_random;
};

// The checks that every choice makes of every member of a subset are inlined.

inline auto endpoint_table::isUsable(std::uint32_t index, time_point now) const -> bool
{
    const auto &row = m_rows[index];
    if (!row.available || row.own >= row.maxOwn)
        return false;
    if (now < row.ejectedUntil || now < row.busyUntil || now < row.pausedUntil)
        return false;
    if (now < row.coldUntil && !row.coldRate.hasToken(now))
        return false;
    // After a failure one request at a time, until one is answered.
    if (row.failures > 0 && row.own > 0)
        return false;
    if (row.owing == 0)
        return true;
    const auto stalled = fromSeconds(row.firstTokenMean * stallRatio / 1e9);
    return now - row.owingSince < std::max(stalled, shortestStall);
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
