#include "policy/testing/prompt_fleet.h"

#include <algorithm>
#include <map>
#include <ostream>

#include "policy/durations.h"

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

auto nameOf(std::uint32_t at) -> std::string
{
    return "endpoint-" + std::to_string(at);
}

} // namespace

auto operator<<(std::ostream &out, const passed_over_kind &kind) -> std::ostream &
{
    return out << kind.withoutToken << " of " << kind.arrived << " of " << kind.name << " from "
               << toSeconds(kind.from) << " s";
}

prompt_fleet::prompt_fleet(std::vector<stream_kind> kinds, std::uint64_t seed)
    : m_kinds(std::move(kinds)), m_random(seed), m_startedAt(m_clock.now())
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

auto prompt_fleet::crashQuarter(duration from, duration until) -> void
{
    m_downFrom = from;
    m_downUntil = until;
}

auto prompt_fleet::run(duration length) -> void
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
        endOverdue();
        if (step % (reportInterval / clockStep) == 0)
            exchangeReports();
        for (std::uint32_t at = 0; at < entryCount; ++at) {
            m_entries[at].tick(m_clock.now(), m_actions);
            execute(at);
        }
    }
}

auto prompt_fleet::takeWork() -> std::vector<duration>
{
    std::vector<duration> work;
    for (auto &endpoint : m_endpoints)
        work.push_back(std::exchange(endpoint.work, {}));
    return work;
}

auto prompt_fleet::fractionInTime(std::uint32_t kind) const -> double
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

auto prompt_fleet::comesBefore(const stream_kind &kind, const stream_kind &other) const -> bool
{
    return std::pair(kind.tier, kind.priority) < std::pair(other.tier, other.priority);
}

// True if a stream of later order and with a prompt of over twice the size began in that time.
auto prompt_fleet::hasLaterStart(const stream_kind &kind, time_point from, time_point to) const
    -> bool
{
    return std::ranges::any_of(m_streams, [&](const stream &each) {
        const auto &other = m_kinds[each.kind];
        return each.generatedTokens > 0 && each.firstTokenAt >= from && each.firstTokenAt < to
               && comesBefore(kind, other) && other.promptTokens > 2 * kind.promptTokens;
    });
}

auto prompt_fleet::passedOver() const -> std::vector<passed_over_kind>
{
    constexpr duration period = 5s;
    constexpr duration stride = 1s;
    // Fewer requests, or a smaller part of them, may go unserved by chance.
    constexpr std::uint32_t minWithoutToken = 10;
    constexpr std::uint32_t maxServedPart = 12;
    std::vector<passed_over_kind> found;
    for (const auto &kind : m_kinds) {
        const auto last = m_elapsed - kind.deadline - period;
        for (duration from{}; from <= last; from += stride) {
            passed_over_kind counted{.name = kind.name, .from = from};
            const auto begin = m_startedAt + from;
            for (const auto &each : m_streams) {
                if (&m_kinds[each.kind] != &kind || each.arrivedAt < begin
                    || each.arrivedAt >= begin + period || each.arrivedAt == time_point{})
                    continue;
                ++counted.arrived;
                counted.withoutToken += each.generatedTokens == 0 ? 1 : 0;
            }
            if (counted.withoutToken >= minWithoutToken
                && counted.withoutToken * maxServedPart > counted.arrived
                && hasLaterStart(kind, begin, begin + period))
                found.push_back(counted);
        }
    }
    return found;
}

auto prompt_fleet::text() const -> std::string
{
    std::string text;
    for (std::uint32_t kind = 0; kind < m_kinds.size(); ++kind)
        text += m_kinds[kind].name + " " + std::to_string(fractionInTime(kind)) + " ";
    return text;
}

auto prompt_fleet::applyOutage() -> void
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

auto prompt_fleet::generateArrivals(std::uint32_t number) -> void
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

auto prompt_fleet::arrive(std::uint32_t number) -> void
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
                                   .priority = kind.priority,
                                   .firstTokenTarget = kind.firstTokenTarget,
                                   .betweenTokensTarget = kind.tokenGapTarget,
                                   .deadline = kind.deadline,
                                   .acceptsLateFirstToken = true,
                                   .promptTokens = kind.promptTokens,
                                   .prefixHash = mixBits(number * 1000 + added.prefix + 1),
                                   .sharedTokens = kind.sharedTokens},
                                  m_clock.now(), m_actions);
    execute(added.entry);
}

auto prompt_fleet::endOverdue() -> void
{
    for (auto number = m_firstCurrent; number < m_streams.size(); ++number) {
        auto &row = m_streams[number];
        const bool isOverdue = row.arrivedAt + m_kinds[row.kind].deadline <= m_clock.now();
        const bool isOpen = !row.isComplete && !row.isAbandoned;
        if (number == m_firstCurrent && (isOverdue || !isOpen))
            ++m_firstCurrent;
        if (!isOverdue || !isOpen)
            continue;
        row.isAbandoned = true;
        entryOf(number).callerGone(number);
        for (auto &endpoint : m_endpoints)
            std::erase(endpoint.streams, number);
    }
}

auto prompt_fleet::execute(std::uint32_t entry) -> void
{
    while (!m_actions.empty()) {
        for (const auto &action : std::exchange(m_actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action))
                startStream(entry, *placed);
            else if (const auto *refused = std::get_if<refuse_action>(&action))
                m_streams[refused->request].isAbandoned = true;
        }
    }
}

auto prompt_fleet::startStream(std::uint32_t entry, const place_action &placed) -> void
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

auto prompt_fleet::runSteps(std::uint32_t at) -> void
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
        const auto step
            = scaled(baseStepTime + stepTimePerResponse * decoding + fromSeconds(prefillMs / 1000),
                     endpoint.slowness);
        endpoint.stepEndsAt = endpoint.stepEndsAt + step;
        endpoint.work += step;
        generateTokens(endpoint);
    }
}

auto prompt_fleet::generateTokens(endpoint_model &endpoint) -> void
{
    const auto when = endpoint.stepEndsAt;
    std::erase_if(endpoint.streams, [&](std::uint64_t number) {
        auto &row = m_streams[number];
        const auto &kind = m_kinds[row.kind];
        if (row.pendingPrefill > 0)
            return false;
        if (row.generatedTokens == 0) {
            row.firstTokenAt = when;
            entryOf(number).firstToken(number, when);
        }
        if (row.generatedTokens % tokensPerEvent == 0) {
            const auto since = row.generatedTokens == 0 ? row.arrivedAt : row.lastEventAt;
            const auto most
                = row.generatedTokens == 0 ? kind.firstTokenTarget : kind.tokenGapTarget;
            row.isLate = row.isLate || when - since > most;
            row.lastEventAt = when;
            entryOf(number).progressed(number, 1, when);
        }
        row.isComplete = ++row.generatedTokens >= kind.responseTokens;
        if (row.isComplete)
            entryOf(number).finished(number, result_code::ok, 0, when);
        return row.isComplete;
    });
}

auto prompt_fleet::exchangePaces() -> void
{
    constexpr std::size_t reportedPaces = 6;
    if (!m_exchangesPaces)
        return;
    for (auto &from : m_entries) {
        const auto reports = from.nextPaceReports(reportedPaces);
        for (auto &to : m_entries) {
            if (&to != &from)
                to.reportPaces(reports, m_clock.now());
        }
    }
}

auto prompt_fleet::exchangeReports() -> void
{
    exchangePaces();
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

} // namespace mustardline
