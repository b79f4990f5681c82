#include <random>

#include <gtest/gtest.h>

#include "coordination/lease_holder.h"
#include "coordination/testing/state_search.h"
#include "coordination/testing/usage_records.h"
#include "coordination/usage_reporter.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

// Deliberately wrong: reports the usage counted so far, before the window is sealed.
class reporter_without_seal
{
public:
    explicit reporter_without_seal(usage_reporter_options options) : m_reporter(options) {}

    auto tick(const usage_ledger &ledger, const usage_tick &tick) -> usage_actions
    {
        auto actions = m_reporter.tick(ledger, tick);
        actions.reports.clear();
        for (const auto &record : actions.records) {
            if (!record.has_usage_sealed())
                continue;
            const auto &sealed = record.usage_sealed();
            actions.reports.push_back({.clientAccount = sealed.client_account(),
                                       .windowStart = sealed.window_start_unix_ms(),
                                       .figures = fromMessage(sealed.figures()),
                                       .adjustment = fromMessage(sealed.adjustment())});
        }
        return actions;
    }
    auto answered(const usage_report &report, bool accepted) -> void
    {
        m_reporter.answered(report, accepted);
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const reporter_without_seal &) const = default;

private:
    usage_reporter m_reporter;
};

using figure_pair = std::pair<usage_figures, usage_figures>;

// Two reporters that both act as lease holders all the time, over one log. Usage of two windows
// arrives, some of it late. A pending append may take effect late, twice or never, and an answer of
// the usage interface may be lost.
template<class Reporter>
struct usage_simulation
{
    struct pending_append
    {
        std::string record;
        int copies = 2;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const pending_append &) const = default;
    };
    struct reporter_process
    {
        usage_ledger ledger;
        Reporter reporter;
        std::vector<usage_report> unanswered;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const reporter_process &) const = default;
    };

    std::vector<std::string> log;
    std::vector<pending_append> pendingAppends;
    std::vector<reporter_process> processes;
    std::size_t usageAppended = 0;
    time_point now;
    std::map<unix_milliseconds, figure_pair> reported;
    bool figuresDiffered = false;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_simulation &) const = default;

    auto step(std::size_t index) -> void
    {
        auto &it = processes[index];
        for (auto offset = it.ledger.offset(); offset < log.size(); ++offset) {
            v1::LogRecord record;
            record.ParseFromString(log[offset]);
            it.ledger.apply(offset + 1, record);
        }
        const auto actions = it.reporter.tick(it.ledger, {.now = now,
                                                          .unixNow = 3 * hourMs,
                                                          .caughtUpUnix = 3 * hourMs,
                                                          .holdsLease = true,
                                                          .fencing = 1});
        for (const auto &record : actions.records)
            pendingAppends.push_back({.record = record.SerializeAsString()});
        for (const auto &report : actions.reports) {
            const figure_pair figures{report.figures, report.adjustment};
            const auto first = reported.try_emplace(report.windowStart, figures).first;
            figuresDiffered = figuresDiffered || first->second != figures;
            it.unanswered.push_back(report);
        }
    }

    auto deliverAnswer(std::size_t index) -> void
    {
        auto &it = processes[index];
        it.reporter.answered(it.unanswered.front(), true);
        it.unanswered.erase(it.unanswered.begin());
    }

    auto deliverAppend(std::size_t index) -> void
    {
        log.push_back(pendingAppends[index].record);
        if (--pendingAppends[index].copies == 0)
            pendingAppends.erase(pendingAppends.begin() + static_cast<std::ptrdiff_t>(index));
    }
};

template<class Reporter>
auto makeSimulation() -> usage_simulation<Reporter>
{
    usage_simulation<Reporter> simulation;
    for (int i = 0; i < 2; ++i)
        simulation.processes.push_back({.ledger = usage_ledger(), .reporter = Reporter({})});
    return simulation;
}

// Usage records in the order of their arrival. The second belongs to the first window and is late
// if that window is sealed before.
auto makeUsageRecords() -> std::vector<v1::LogRecord>
{
    return {makeBatch({{.sequence = 1, .finished = 0, .tokens = 1}}),
            makeBatch({{.sequence = 2, .finished = 0, .tokens = 2}}),
            makeBatch({{.sequence = 3, .finished = hourMs, .tokens = 4}})};
}

struct usage_search_outcome
{
    bool figuresDiffered = false;
    bool unbalanced = false;
    bool adjusted = false;
    std::size_t windowsReported = 0;
    std::size_t states = 0;
};

template<class Simulation>
auto check(const Simulation &simulation, usage_search_outcome &outcome) -> void
{
    outcome.figuresDiffered = outcome.figuresDiffered || simulation.figuresDiffered;
    outcome.windowsReported = std::max(outcome.windowsReported, simulation.reported.size());
    for (const auto &[start, figures] : simulation.reported)
        outcome.adjusted = outcome.adjusted || !figures.second.isZero();
    for (const auto &it : simulation.processes) {
        const auto *account = it.ledger.account("feira");
        const auto counted = it.ledger.durableThrough("agent", 1);
        if (account == nullptr)
            continue;
        const auto tokens = (std::uint64_t{1} << counted) - 1;
        outcome.unbalanced
            = outcome.unbalanced || accountTotal(*account) != makeFigures(counted, tokens);
    }
}

template<class Simulation>
auto search(const Simulation &start, int depth, std::size_t maxRecords) -> usage_search_outcome
{
    usage_search_outcome outcome;
    const auto usage = makeUsageRecords();
    const auto expand = [&](const Simulation &simulation, const auto &visit) {
        const auto branch = [&](const auto &event) {
            auto after = simulation;
            event(after);
            visit(std::move(after));
        };
        branch([](Simulation &it) { it.now = it.now + usage_reporter_options().retryAfter; });
        const auto hasRoom = simulation.log.size() < maxRecords;
        if (simulation.usageAppended < usage.size() && hasRoom)
            branch([&](Simulation &it) {
                it.log.push_back(usage[it.usageAppended++].SerializeAsString());
            });
        for (std::size_t i = 0; i < simulation.processes.size(); ++i) {
            branch([i](Simulation &it) { it.step(i); });
            if (!simulation.processes[i].unanswered.empty())
                branch([i](Simulation &it) { it.deliverAnswer(i); });
        }
        for (std::size_t i = 0; i < simulation.pendingAppends.size() && hasRoom; ++i)
            branch([i](Simulation &it) { it.deliverAppend(i); });
    };
    outcome.states = searchStates(start, depth, expand, [&](const Simulation &simulation) {
        check(simulation, outcome);
        return !outcome.figuresDiffered;
    });
    return outcome;
}

constexpr int searchDepth = 11;
constexpr std::size_t maxRecords = 8;

TEST(P7_UsageTest, noInterleavingReportsAWindowTwiceWithDifferentFigures)
{
    const auto outcome = search(makeSimulation<usage_reporter>(), searchDepth, maxRecords);
    EXPECT_FALSE(outcome.figuresDiffered);
    EXPECT_FALSE(outcome.unbalanced);
    EXPECT_TRUE(outcome.adjusted) << "the search must reach an adjustment by late usage";
    EXPECT_GE(outcome.windowsReported, 2);
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P7_UsageTest, searchDetectsReportingBeforeTheSeal)
{
    EXPECT_TRUE(
        search(makeSimulation<reporter_without_seal>(), searchDepth, maxRecords).figuresDiffered);
}

// A process of the random simulation.
struct simulated_process
{
    lease_table leases;
    lease_holder lease;
    usage_ledger ledger;
    usage_reporter reporter;
    int stepsPaused = 0;
};

class random_usage_simulation
{
public:
    explicit random_usage_simulation(std::uint32_t seed) : m_random(seed)
    {
        for (int i = 0; i < 3; ++i)
            m_processes.push_back(start());
    }

    // Runs the simulation for a number of steps. New usage and process failures occur only in the
    // first half, so that all usage can be reported in the second.
    auto run(int steps) -> void
    {
        for (int i = 0; i < steps; ++i) {
            m_clock.advance(std::chrono::milliseconds(m_random() % 2'000));
            if (i < steps / 2)
                recordUsage();
            push();
            const auto isQuiet = i >= steps / 2;
            auto &process = m_processes[m_random() % 3];
            if (!isQuiet && m_random() % 200 == 0)
                process = start();
            if (!isQuiet && m_random() % 50 == 0)
                process.stepsPaused = static_cast<int>(m_random() % 40);
            if (process.stepsPaused > 0)
                --process.stepsPaused;
            else
                step(process);
        }
    }

    usage_figures recordedUsage;
    std::map<std::string, figure_pair> reports;
    int reportsSent = 0;
    bool figuresDiffered = false;
    bool twoHeld = false;

    [[nodiscard]] auto totalReported() const -> usage_figures
    {
        usage_figures total;
        for (const auto &[id, figures] : reports) {
            total += figures.first;
            total += figures.second;
        }
        return total;
    }

private:
    auto start() -> simulated_process
    {
        ++m_starts;
        simulated_process process{
            .lease
            = lease_holder({.duty = "usage/0", .holder = std::to_string(m_starts)}, m_clock.now()),
            .ledger = usage_ledger({.window = seconds(20)}),
            .reporter = usage_reporter({.closeDelay = seconds(5), .retryAfter = seconds(3)})};
        // May start from a snapshot, as when the log no longer keeps its oldest records.
        if (!m_processes.empty() && m_random() % 2 == 0)
            process.ledger.restore(m_processes.front().ledger.snapshot());
        return process;
    }

    auto recordUsage() -> void
    {
        delta_fields delta{.sequence = m_agentLog.size() + 1,
                           .account = "a" + std::to_string(m_random() % 3),
                           .finished = m_clock.unixNow(),
                           .tokens = m_random() % 100};
        if (m_random() % 10 == 0)
            delta.finished = std::max<unix_milliseconds>(0, delta.finished - 60'000);
        recordedUsage += makeFigures(1, delta.tokens);
        m_agentLog.push_back(delta);
    }

    // The agent pushes all deltas that it does not know to be durable; some answers are lost.
    auto push() -> void
    {
        if (m_durable == m_agentLog.size() || m_random() % 2 == 0)
            return;
        const std::vector<delta_fields> open(
            m_agentLog.begin() + static_cast<std::ptrdiff_t>(m_durable), m_agentLog.end());
        m_usageLog.push_back(makeBatch(open));
        if (m_random() % 3 != 0)
            m_durable = m_agentLog.size();
    }

    auto step(simulated_process &process) -> void
    {
        for (auto offset = process.leases.offset(); offset < m_leaseLog.size(); ++offset)
            process.leases.apply(offset + 1, m_leaseLog[offset]);
        for (auto offset = process.ledger.offset(); offset < m_usageLog.size(); ++offset)
            process.ledger.apply(offset + 1, m_usageLog[offset]);
        process.lease.observe(process.leases, m_clock.now());
        if (const auto claim = process.lease.tick(m_clock.now()))
            append(m_leaseLog, *claim);
        const auto holds = process.lease.holds(m_clock.now());
        const auto actions
            = process.reporter.tick(process.ledger, {.now = m_clock.now(),
                                                     .unixNow = m_clock.unixNow(),
                                                     .caughtUpUnix = m_clock.unixNow(),
                                                     .holdsLease = holds,
                                                     .fencing = process.lease.fencing()});
        for (const auto &record : actions.records)
            append(m_usageLog, record);
        for (const auto &report : actions.reports)
            send(process, report);
        int holders = 0;
        for (const auto &it : m_processes)
            holders += it.lease.holds(m_clock.now()) ? 1 : 0;
        twoHeld = twoHeld || holders > 1;
    }

    // An append takes effect never, once or twice, at once.
    auto append(std::vector<v1::LogRecord> &log, const v1::LogRecord &record) -> void
    {
        for (auto copies = m_random() % 3; copies > 0; --copies)
            log.push_back(record);
    }

    auto send(simulated_process &process, const usage_report &report) -> void
    {
        ++reportsSent;
        const figure_pair figures{report.figures, report.adjustment};
        const auto [first, isNew] = reports.try_emplace(report.reportId, figures);
        figuresDiffered = figuresDiffered || first->second != figures;
        if (m_random() % 3 != 0)
            process.reporter.answered(report, true);
    }

    std::mt19937 m_random;
    manual_clock m_clock;
    int m_starts = 0;
    std::vector<simulated_process> m_processes;
    std::vector<v1::LogRecord> m_leaseLog;
    std::vector<v1::LogRecord> m_usageLog;
    std::vector<delta_fields> m_agentLog;
    std::size_t m_durable = 0;
};

TEST(P7_UsageTest, randomRunsReportEveryTokenOnce)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        random_usage_simulation run(seed);
        run.run(1200);
        EXPECT_FALSE(run.figuresDiffered) << "seed " << seed;
        EXPECT_FALSE(run.twoHeld) << "seed " << seed;
        EXPECT_EQ(run.totalReported(), run.recordedUsage) << "seed " << seed;
        EXPECT_GT(run.reports.size(), 20U) << "seed " << seed;
    }
}

} // namespace
} // namespace mustardline
