// Simulates a fleet of endpoints with chunked prefill behind several dispatchers that know each
// other's load only from periodic messages. Manual clock, seeded arrivals, no network.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "policy/dispatcher.h"
#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t entryCount = 10;
constexpr std::uint32_t endpointCount = 20;
constexpr std::uint32_t places = 128;
constexpr duration clockStep = 5ms;
constexpr duration reportInterval = 100ms;

// An endpoint's batch runs in steps: each generates one token of each response and prefills a chunk
// of the prompts.
constexpr duration baseStepTime = 3500us;
constexpr duration stepTimePerResponse = 50us;
constexpr double prefilledPerMillisecond = 110;
constexpr std::uint32_t maxPrefilledPerStep = 4096;
constexpr std::uint32_t tokensPerEvent = 7;
// Number of distinct shared prefixes of each kind.
constexpr std::uint32_t prefixesPerKind = 30;

struct burst
{
    duration from{};
    duration until{};
    double factor = 1;
};

struct stream_kind
{
    std::string name;
    std::uint32_t tier = 1;
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0;
    std::uint32_t responseTokens = 0;
    duration firstTokenTarget{};
    duration tokenGapTarget{};
    double perSecond = 0;
    std::vector<burst> bursts;
};

struct stream
{
    std::uint32_t kind = 0;
    std::uint32_t entry = 0;
    std::uint32_t prefix = 0;
    time_point arrivedAt{};
    std::uint32_t pendingPrefill = 0;
    std::uint32_t generatedTokens = 0;
    time_point lastEventAt{};
    bool isLate = false;
    bool isComplete = false;
};

struct endpoint_model
{
    // In order of arrival.
    std::vector<std::uint64_t> streams;
    // Prefixes in the cache, by kind and number.
    std::set<std::pair<std::uint32_t, std::uint32_t>> cached;
    time_point stepEndsAt{};
    bool isDown = false;
};

class prompt_fleet
{
public:
    prompt_fleet(std::vector<stream_kind> kinds, std::uint64_t seed)
        : m_kinds(std::move(kinds)), m_random(seed)
    {
        for (std::uint32_t at = 0; at < entryCount; ++at) {
            m_entries.emplace_back(dispatcher_options{.dataCentre = "tuzla", .seed = seed + at});
            m_entries.back().setEntryCount(entryCount);
            for (std::uint32_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
                m_entries.back().setEndpoint({.id = nameOf(endpoint),
                                              .dataCentre = "tuzla",
                                              .serves = {"model"},
                                              .maxConcurrency = places,
                                              .coldConcurrency = places,
                                              .hasChunkedPrefill = true,
                                              .assumedFirstToken = 100ms},
                                             m_clock.now());
            }
        }
        m_endpoints.resize(endpointCount);
        m_streams.emplace_back();
    }

    // Takes a quarter of the endpoints down for that time; their running streams are lost.
    auto crashQuarter(duration from, duration until) -> void
    {
        m_downFrom = from;
        m_downUntil = until;
    }

    auto run(duration length) -> void
    {
        const auto steps = length / clockStep;
        for (std::int64_t step = 0; step < steps; ++step) {
            m_clock.advance(clockStep);
            m_elapsed += clockStep;
            applyOutage();
            for (std::uint32_t kind = 0; kind < m_kinds.size(); ++kind)
                generateArrivals(kind);
            for (std::uint32_t at = 0; at < endpointCount; ++at)
                runSteps(at);
            if (step % (reportInterval / clockStep) == 0)
                exchangeReports();
            for (std::uint32_t at = 0; at < entryCount; ++at) {
                m_entries[at].tick(m_clock.now(), m_actions);
                execute(at);
            }
        }
    }

    // Returns the fraction of a kind's streams that were complete and in time. Streams of the last
    // seconds are not counted, because they may still run.
    [[nodiscard]] auto fractionInTime(std::uint32_t kind) const -> double
    {
        constexpr duration maxStreamTime = 8s;
        double all = 0;
        double inTimeCount = 0;
        for (const auto &each : m_streams) {
            if (each.kind != kind || each.arrivedAt == time_point{}
                || each.arrivedAt + maxStreamTime > m_clock.now())
                continue;
            ++all;
            inTimeCount += each.isComplete && !each.isLate ? 1 : 0;
        }
        return all == 0 ? 0 : inTimeCount / all;
    }

    [[nodiscard]] auto text() const -> std::string
    {
        std::string text;
        for (std::uint32_t kind = 0; kind < m_kinds.size(); ++kind)
            text += m_kinds[kind].name + " " + std::to_string(fractionInTime(kind)) + " ";
        return text;
    }

private:
    static auto nameOf(std::uint32_t at) -> std::string { return "endpoint-" + std::to_string(at); }

    auto applyOutage() -> void
    {
        const bool isDown = m_elapsed >= m_downFrom && m_elapsed < m_downUntil;
        for (std::uint32_t at = 0; at < endpointCount; at += 4) {
            auto &endpoint = m_endpoints[at];
            if (isDown && !endpoint.isDown) {
                for (const auto number : std::exchange(endpoint.streams, {}))
                    entryOf(number).finished(number, result_code::answer_cut, 0, m_clock.now());
                endpoint.cached.clear();
            }
            endpoint.isDown = isDown;
        }
    }

    auto generateArrivals(std::uint32_t number) -> void
    {
        const auto &kind = m_kinds[number];
        auto rate = kind.perSecond * toSeconds(clockStep);
        for (const auto &each : kind.bursts)
            rate *= m_elapsed >= each.from && m_elapsed < each.until ? each.factor : 1;
        for (auto left = rate; left > 0; left -= 1) {
            if (left < 1 && m_random.uniform() >= left)
                return;
            arrive(number);
        }
    }

    auto arrive(std::uint32_t number) -> void
    {
        const auto &kind = m_kinds[number];
        const stream added{.kind = number,
                           .entry = m_random.below(entryCount),
                           .prefix = m_random.below(prefixesPerKind),
                           .arrivedAt = m_clock.now()};
        m_streams.push_back(added);
        m_entries[added.entry].arrive({.request = m_streams.size() - 1,
                                       .clientAccount = "account",
                                       .requestClass = kind.name,
                                       .target = "model",
                                       .tier = kind.tier,
                                       .firstTokenTarget = kind.firstTokenTarget,
                                       .betweenTokensTarget = kind.tokenGapTarget,
                                       .deadline = 12s,
                                       .acceptsLateFirstToken = true,
                                       .promptTokens = kind.promptTokens,
                                       .prefixHash = mixBits(number * 1000 + added.prefix + 1),
                                       .sharedTokens = kind.sharedTokens},
                                      m_clock.now(), m_actions);
        execute(added.entry);
    }

    [[nodiscard]] auto entryOf(std::uint64_t number) -> dispatcher &
    {
        return m_entries[m_streams[number].entry];
    }

    auto execute(std::uint32_t entry) -> void
    {
        while (!m_actions.empty()) {
            for (const auto &action : std::exchange(m_actions, {})) {
                if (const auto *placed = std::get_if<place_action>(&action))
                    startStream(entry, *placed);
            }
        }
    }

    auto startStream(std::uint32_t entry, const place_action &placed) -> void
    {
        const auto at = static_cast<std::uint32_t>(
            std::stoul(placed.endpoint.substr(placed.endpoint.find('-') + 1)));
        auto &endpoint = m_endpoints[at];
        const auto number = placed.request;
        if (endpoint.isDown || endpoint.streams.size() >= places) {
            m_entries[entry].notRun(
                number, endpoint.isDown ? result_code::connection_failed : result_code::not_run,
                m_clock.now(), m_actions);
            return;
        }
        auto &row = m_streams[number];
        const auto &kind = m_kinds[row.kind];
        const bool isCached = !endpoint.cached.emplace(row.kind, row.prefix).second;
        row.pendingPrefill = kind.promptTokens - (isCached ? kind.sharedTokens : 0);
        if (endpoint.streams.empty())
            endpoint.stepEndsAt = m_clock.now();
        endpoint.streams.push_back(number);
    }

    // Runs all steps that begin up to now.
    auto runSteps(std::uint32_t at) -> void
    {
        auto &endpoint = m_endpoints[at];
        while (!endpoint.streams.empty() && endpoint.stepEndsAt <= m_clock.now()) {
            auto room = maxPrefilledPerStep;
            std::uint32_t decoding = 0;
            for (const auto number : endpoint.streams) {
                auto &row = m_streams[number];
                if (row.pendingPrefill == 0)
                    ++decoding;
                const auto part = std::min(room, row.pendingPrefill);
                row.pendingPrefill -= part;
                room -= part;
            }
            const auto prefillMs = (maxPrefilledPerStep - room) / prefilledPerMillisecond;
            endpoint.stepEndsAt = endpoint.stepEndsAt + baseStepTime
                                  + stepTimePerResponse * decoding + fromSeconds(prefillMs / 1000);
            generateTokens(endpoint);
        }
    }

    auto generateTokens(endpoint_model &endpoint) -> void
    {
        const auto when = endpoint.stepEndsAt;
        std::erase_if(endpoint.streams, [&](std::uint64_t number) {
            auto &row = m_streams[number];
            const auto &kind = m_kinds[row.kind];
            if (row.pendingPrefill > 0)
                return false;
            if (row.generatedTokens == 0)
                entryOf(number).firstToken(number, when);
            if (row.generatedTokens % tokensPerEvent == 0) {
                const auto since = row.generatedTokens == 0 ? row.arrivedAt : row.lastEventAt;
                const auto most
                    = row.generatedTokens == 0 ? kind.firstTokenTarget : kind.tokenGapTarget;
                row.isLate = row.isLate || when - since > most;
                row.lastEventAt = when;
                entryOf(number).progressed(number, 1);
            }
            row.isComplete = ++row.generatedTokens >= kind.responseTokens;
            if (row.isComplete)
                entryOf(number).finished(number, result_code::ok, 0, when);
            return row.isComplete;
        });
    }

    auto exchangeReports() -> void
    {
        std::map<std::string, lane_demand> all;
        for (std::uint32_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
            const auto name = nameOf(endpoint);
            std::uint32_t inFlight = 0;
            std::uint32_t pendingPrefill = 0;
            for (const auto &entry : m_entries) {
                inFlight += entry.inFlightAt(name);
                pendingPrefill += entry.pendingPromptTokensAt(name);
            }
            for (auto &entry : m_entries) {
                entry.reportLoad(
                    name,
                    {.running = inFlight,
                     .window = places,
                     .othersPromptTokens = pendingPrefill - entry.pendingPromptTokensAt(name)},
                    m_clock.now());
            }
        }
        for (std::uint32_t own = 0; own < entryCount; ++own) {
            std::map<std::string, lane_demand> others;
            for (std::uint32_t other = 0; other < entryCount; ++other) {
                if (other == own)
                    continue;
                for (const auto &[target, needs] : m_entries[other].laneDemand())
                    others[target] += needs;
            }
            m_entries[own].setOthersLaneDemand(others);
        }
    }

    std::vector<stream_kind> m_kinds;
    random_source m_random;
    manual_clock m_clock;
    duration m_elapsed{};
    duration m_downFrom{};
    duration m_downUntil{};
    std::vector<dispatcher> m_entries;
    std::vector<endpoint_model> m_endpoints;
    std::vector<dispatch_action> m_actions;
    // By request number, which starts at 1.
    std::vector<stream> m_streams;
};

// Minimum fraction of streams in time that users accept for any kind under this load.
constexpr double minFractionInTime = 0.35;

enum kind_number : std::uint32_t { note, tag, review };

auto kinds() -> std::vector<stream_kind>
{
    return {{.name = "note",
             .tier = 1,
             .promptTokens = 820,
             .sharedTokens = 200,
             .responseTokens = 290,
             .firstTokenTarget = 800ms,
             .tokenGapTarget = 300ms,
             .perSecond = 96,
             .bursts = {{.from = 11s, .until = 16s, .factor = 2.3}}},
            {.name = "tag",
             .tier = 2,
             .promptTokens = 2400,
             .sharedTokens = 600,
             .responseTokens = 20,
             .firstTokenTarget = 1500ms,
             .tokenGapTarget = 500ms,
             .perSecond = 120},
            {.name = "review",
             .tier = 3,
             .promptTokens = 12000,
             .sharedTokens = 5400,
             .responseTokens = 380,
             .firstTokenTarget = 2s,
             .tokenGapTarget = 1200ms,
             .perSecond = 84,
             .bursts = {{.from = 1s, .until = 10s, .factor = 2.4},
                        {.from = 17s, .until = 21s, .factor = 2.4}}}};
}

// Bursts of long prompts of the lowest tier, loss of a quarter of the endpoints, and a burst of
// short streams of the highest tier with a small token gap target. If endpoints are wrongly taken
// for full or slow, or if the dispatchers disagree on the border between the lanes, one of the
// kinds is hardly served at all.
TEST(PromptFleetTest, everyKindIsServedDuringBurstsOfLongPrompts)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        prompt_fleet fleet(kinds(), seed);
        fleet.crashQuarter(9500ms, 11500ms);
        fleet.run(30s);
        for (const auto kind : {note, tag, review})
            EXPECT_GE(fleet.fractionInTime(kind), minFractionInTime)
                << "seed " << seed << ": " << fleet.text();
    }
}

} // namespace
} // namespace mustardline
