#include "policy/testing/simulation.h"

#include <algorithm>
#include <cmath>

#include "policy/durations.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

constexpr duration tickInterval = 5ms;
// The run may last this long after the end of arrivals, so that running responses can end.
constexpr duration maxTail = 150s;

} // namespace

simulation::simulation(workload load, std::uint64_t seed) : m_load(std::move(load))
{
    for (const auto &info : m_load.engines)
        m_engines.push_back({.info = info, .engine = fake_engine(info.options)});
    m_records.emplace_back();
    for (const auto &request : arrivalsOf(m_load, seed)) {
        m_records.push_back({.request = request});
        at(request.at, [this, number = request.number] { m_hooks.arrived(number); });
    }
    m_open = m_records.size() - 1;
    scheduleFaults();
}

auto simulation::at(time_point when, std::function<auto()->void> run) -> void
{
    m_events.push({.when = std::max(when, m_now), .order = ++m_order, .run = std::move(run)});
}

auto simulation::scheduleFaults() -> void
{
    for (std::uint32_t index = 0; index < m_engines.size(); ++index) {
        const auto &info = m_engines[index].info;
        if (info.startsAt.count() == 0)
            continue;
        m_engines[index].available = false;
        at(time_point{} + info.startsAt, [this, index] {
            m_engines[index].available = true;
            m_engines[index].engine.setCold(true, m_now);
            m_hooks.availabilityChanged(index);
        });
        at(time_point{} + info.startsAt + info.coldFor, [this, index] {
            m_engines[index].engine.setCold(false, m_now);
            schedule(index);
        });
    }
    for (const auto &fault : m_load.faults) {
        at(time_point{} + fault.at, [this, fault] { applyFault(fault, true); });
        at(time_point{} + fault.until, [this, fault] { applyFault(fault, false); });
    }
}

auto simulation::applyFault(const workload_fault &fault, bool begins) -> void
{
    for (std::uint32_t index = 0; index < m_engines.size(); ++index) {
        auto &state = m_engines[index];
        if (fault.kind == fault_kind::zone_out) {
            if (state.info.dataCentre != fault.dataCentre)
                continue;
            state.available = !begins;
            m_hooks.availabilityChanged(index);
        } else if (index != fault.engine) {
            continue;
        } else if (fault.kind == fault_kind::cold) {
            state.engine.setCold(begins, m_now);
        } else if (begins) {
            state.crashed = true;
            const auto jobs = state.engine.crash(m_now);
            for (const auto &job : jobs)
                accountStopped(job.request, job.done);
            m_hooks.crashed(index, jobs);
        } else {
            state.crashed = false;
        }
        schedule(index);
    }
}

auto simulation::start(std::uint32_t engine, std::uint64_t number) -> void
{
    auto &row = m_records[number];
    row.isPlaced = true;
    row.engine = engine;
    if (!row.wasEverPlaced)
        row.firstPlacedAt = m_now;
    row.wasEverPlaced = true;
    if (row.sentTokens == 0)
        row.firstTokenAt = {};
    m_engines[engine].engine.start(number, row.request.promptUnits,
                                   row.request.tokens - row.sentTokens, m_now);
    schedule(engine);
}

auto simulation::cancel(std::uint32_t engine, std::uint64_t number) -> void
{
    accountStopped(number, m_engines[engine].engine.cancel(number, m_now));
    m_records[number].isPlaced = false;
    schedule(engine);
}

// Accounts for the work of a stopped response: the tokens sent are kept if responses can be
// resumed, the rest is lost.
auto simulation::accountStopped(std::uint64_t number, double doneUnits) -> void
{
    auto &row = m_records[number];
    const auto sent
        = m_load.resumes ? std::max(0.0, std::floor(doneUnits - row.request.promptUnits)) : 0;
    row.sentTokens += sent;
    m_doneUnits += sent;
    m_lostUnits += doneUnits - sent;
}

auto simulation::schedule(std::uint32_t engine) -> void
{
    auto &state = m_engines[engine];
    const auto version = ++state.version;
    if (state.engine.running() == 0)
        return;
    at(state.engine.nextEvent(), [this, engine, version] {
        if (m_engines[engine].version == version)
            processEngineEvents(engine);
    });
}

auto simulation::processEngineEvents(std::uint32_t engine) -> void
{
    const auto events = m_engines[engine].engine.advance(m_now);
    schedule(engine);
    for (const auto &item : events) {
        if (item.kind == engine_event_kind::first_token) {
            auto &row = m_records[item.request];
            if (row.firstTokenAt == time_point{})
                row.firstTokenAt = m_now;
            m_hooks.firstToken(engine, item.request);
        } else {
            m_records[item.request].isPlaced = false;
            m_doneUnits += item.units;
            m_hooks.ended(engine, item.request);
        }
    }
}

auto simulation::refuse(std::uint64_t number) -> void
{
    auto &row = m_records[number];
    row.end = outcome::refused;
    row.endedAt = m_now;
    --m_open;
}

auto simulation::fail(std::uint64_t number) -> void
{
    auto &row = m_records[number];
    row.end = outcome::failed;
    row.endedAt = m_now;
    --m_open;
}

auto simulation::answered(std::uint64_t number) -> void
{
    auto &row = m_records[number];
    row.end = outcome::answered;
    row.endedAt = m_now;
    --m_open;
}

auto simulation::tickPeriodically() -> void
{
    m_hooks.tick();
    if (m_now <= time_point{} + m_load.length) {
        for (const auto &state : m_engines)
            m_busyPlaceSeconds += state.engine.running() * toSeconds(tickInterval);
    }
    if (m_open > 0 && m_now < time_point{} + m_load.length + maxTail)
        after(tickInterval, [this] { tickPeriodically(); });
}

auto simulation::run(hooks router) -> void
{
    m_hooks = std::move(router);
    after(tickInterval, [this] { tickPeriodically(); });
    while (!m_events.empty() && m_open > 0) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.when;
        if (m_now > time_point{} + m_load.length + maxTail)
            return;
        next.run();
    }
}

auto simulation::isCounted(const request_record &row) const -> bool
{
    return row.request.number != 0 && row.request.at >= time_point{} + m_load.countedFrom;
}

auto simulation::isInTime(const request_record &row) const -> bool
{
    const auto &kind = m_load.classes[row.request.requestClass];
    return row.end == outcome::answered && row.endedAt - row.request.at <= kind.deadline;
}

auto simulation::attained(const request_record &row) const -> bool
{
    const auto &kind = m_load.classes[row.request.requestClass];
    return isInTime(row) && row.firstTokenAt - row.request.at <= kind.firstTokenTarget;
}

auto simulation::longestGap(std::uint32_t requestClass) const -> duration
{
    std::vector<const request_record *> placed;
    for (const auto &row : m_records) {
        if (isCounted(row) && row.request.requestClass == requestClass && row.wasEverPlaced)
            placed.push_back(&row);
    }
    std::ranges::sort(placed, {}, &request_record::firstPlacedAt);
    duration longest{};
    for (std::size_t at = 1; at < placed.size(); ++at) {
        const auto since = std::max(placed[at - 1]->firstPlacedAt, placed[at]->request.at);
        longest = std::max(longest, placed[at]->firstPlacedAt - since);
    }
    return longest;
}

auto simulation::classReport(std::uint32_t requestClass) const -> class_report
{
    const auto &kind = m_load.classes[requestClass];
    class_report result{.name = kind.name, .tier = kind.tier};
    std::vector<double> demands(kind.accountWeights.size(), 0);
    std::vector<double> served(kind.accountWeights.size(), 0);
    double total = 0;
    for (const auto &row : m_records) {
        if (!isCounted(row) || row.request.requestClass != requestClass)
            continue;
        const auto units = row.request.tokens + row.request.promptUnits;
        ++result.offered;
        result.attained += attained(row) ? 1 : 0;
        result.answered += row.end == outcome::answered ? 1 : 0;
        result.refused += row.end == outcome::refused ? 1 : 0;
        const auto waitEndedAt = row.wasEverPlaced          ? row.firstPlacedAt
                                 : row.end == outcome::open ? m_now
                                                            : row.endedAt;
        result.longestWait = std::max(result.longestWait, waitEndedAt - row.request.at);
        if (row.request.at < time_point{} + m_load.contendedFrom
            || row.request.at >= time_point{} + m_load.contendedUntil)
            continue;
        demands[row.request.account] += units;
        if (row.end != outcome::answered)
            continue;
        served[row.request.account] += units;
        total += units;
    }
    result.longestGap = longestGap(requestClass);
    const auto shares = fairShares(demands, total);
    for (std::size_t account = 0; account < shares.size(); ++account) {
        if (shares[account] > 0)
            result.worstShare = std::min(result.worstShare, served[account] / shares[account]);
    }
    return result;
}

auto simulation::report(std::string router) -> run_report
{
    run_report result{.workload = m_load.name, .router = std::move(router)};
    double good = 0;
    double late = 0;
    for (const auto &row : m_records) {
        if (!isCounted(row))
            continue;
        const auto units = row.request.tokens + row.request.promptUnits;
        if (attained(row) && row.endedAt <= time_point{} + m_load.length)
            good += units;
        if (row.end == outcome::answered && !isInTime(row))
            late += units;
    }
    for (std::uint32_t number = 0; number < m_load.classes.size(); ++number)
        result.classes.push_back(classReport(number));
    result.goodput = good / toSeconds(m_load.length - m_load.countedFrom);
    const auto all = m_doneUnits + m_lostUnits;
    result.wasted = all == 0 ? 0 : (m_lostUnits + late) / all;
    result.preemptions = m_preemptions;
    result.inversions = m_inversions;
    double places = 0;
    for (const auto &state : m_engines)
        places += state.info.options.concurrency * toSeconds(m_load.length);
    result.usedPlaces = m_busyPlaceSeconds / places;
    for (const auto &state : m_engines) {
        if (state.info.coldFor.count() > 0)
            result.coldLoad
                = std::max(result.coldLoad, static_cast<double>(state.engine.highestColdStart())
                                                / state.info.options.coldLimit);
    }
    return result;
}

} // namespace mustardline
