#include <random>

#include <gtest/gtest.h>

#include "coordination/lease_holder.h"
#include "coordination/testing/state_search.h"
#include "coordination/testing/usage_records.h"
#include "coordination/usage_reporter.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

// Deliberately wrong: reports what is counted so far, before the window is sealed.
class reporter_before_seal
{
public:
    explicit reporter_before_seal(usage_reporter_options options) : m_reporter(options) {}

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
    auto operator<=>(const reporter_before_seal &) const = default;

private:
    usage_reporter m_reporter;
};

using figure_pair = std::pair<usage_figures, usage_figures>;

// Two reporters that both believe all the time that they hold the lease, over one log. Usage of two
// windows arrives, some of it late; appends in flight take effect late, twice or never; answers of
// the usage interface are lost.
template<class Reporter>
struct usage_world
{
    struct flight
    {
        std::string record;
        int copies = 2;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const flight &) const = default;
    };
    struct member
    {
        usage_ledger ledger;
        Reporter reporter;
        std::vector<usage_report> unanswered;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const member &) const = default;
    };

    std::vector<std::string> log;
    std::vector<flight> inFlight;
    std::vector<member> members;
    std::size_t usageTaken = 0;
    time_point now;
    std::map<unix_milliseconds, figure_pair> reported;
    bool differed = false;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_world &) const = default;

    auto step(std::size_t index) -> void
    {
        auto &it = members[index];
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
            inFlight.push_back({.record = record.SerializeAsString()});
        for (const auto &report : actions.reports) {
            const figure_pair figures{report.figures, report.adjustment};
            const auto first = reported.try_emplace(report.windowStart, figures).first;
            differed = differed || first->second != figures;
            it.unanswered.push_back(report);
        }
    }

    auto answer(std::size_t index) -> void
    {
        auto &it = members[index];
        it.reporter.answered(it.unanswered.front(), true);
        it.unanswered.erase(it.unanswered.begin());
    }

    auto land(std::size_t index) -> void
    {
        log.push_back(inFlight[index].record);
        if (--inFlight[index].copies == 0)
            inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
    }
};

template<class Reporter>
auto usageWorld() -> usage_world<Reporter>
{
    usage_world<Reporter> world;
    for (int i = 0; i < 2; ++i)
        world.members.push_back({.ledger = usage_ledger(), .reporter = Reporter({})});
    return world;
}

// Usage in the order of its arrival: the second is of the first window, and may come late.
auto arrivingUsage() -> std::vector<v1::LogRecord>
{
    return {batchOf({{.sequence = 1, .finished = 0, .tokens = 1}}),
            batchOf({{.sequence = 2, .finished = 0, .tokens = 2}}),
            batchOf({{.sequence = 3, .finished = hourMs, .tokens = 4}})};
}

struct usage_search
{
    bool differed = false;
    bool unbalanced = false;
    bool adjusted = false;
    std::size_t windowsReported = 0;
    std::size_t states = 0;
};

template<class World>
auto check(const World &world, usage_search &outcome) -> void
{
    outcome.differed = outcome.differed || world.differed;
    outcome.windowsReported = std::max(outcome.windowsReported, world.reported.size());
    for (const auto &[start, figures] : world.reported)
        outcome.adjusted = outcome.adjusted || !figures.second.isZero();
    for (const auto &it : world.members) {
        const auto *account = it.ledger.account("feira");
        const auto counted = it.ledger.durableThrough("agent", 1);
        if (account == nullptr)
            continue;
        const auto tokens = (std::uint64_t{1} << counted) - 1;
        outcome.unbalanced = outcome.unbalanced || totalOf(*account) != figuresOf(counted, tokens);
    }
}

template<class World>
auto search(const World &start, int depth, std::size_t maxRecords) -> usage_search
{
    usage_search outcome;
    const auto usage = arrivingUsage();
    const auto expand = [&](const World &world, const auto &visit) {
        const auto then = [&](const auto &event) {
            auto after = world;
            event(after);
            visit(std::move(after));
        };
        then([](World &it) { it.now = it.now + usage_reporter_options().retryAfter; });
        const auto hasRoom = world.log.size() < maxRecords;
        if (world.usageTaken < usage.size() && hasRoom)
            then([&](World &it) { it.log.push_back(usage[it.usageTaken++].SerializeAsString()); });
        for (std::size_t i = 0; i < world.members.size(); ++i) {
            then([i](World &it) { it.step(i); });
            if (!world.members[i].unanswered.empty())
                then([i](World &it) { it.answer(i); });
        }
        for (std::size_t i = 0; i < world.inFlight.size() && hasRoom; ++i)
            then([i](World &it) { it.land(i); });
    };
    outcome.states = searchStates(start, depth, expand, [&](const World &world) {
        check(world, outcome);
        return !outcome.differed;
    });
    return outcome;
}

constexpr int searchDepth = 11;
constexpr std::size_t maxRecords = 8;

TEST(P7_UsageTest, noInterleavingReportsAWindowWithDifferentFigures)
{
    const auto outcome = search(usageWorld<usage_reporter>(), searchDepth, maxRecords);
    EXPECT_FALSE(outcome.differed);
    EXPECT_FALSE(outcome.unbalanced);
    EXPECT_TRUE(outcome.adjusted) << "the search must reach a late adjustment";
    EXPECT_GE(outcome.windowsReported, 2);
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P7_UsageTest, theSearchFindsTheFaultOfReportingBeforeTheSeal)
{
    EXPECT_TRUE(search(usageWorld<reporter_before_seal>(), searchDepth, maxRecords).differed);
}

// One process of the random run: a lease contender, a ledger and a reporter.
struct usage_process
{
    lease_table leases;
    lease_holder lease;
    usage_ledger ledger;
    usage_reporter reporter;
    int pausedFor = 0;
};

class random_usage_run
{
public:
    explicit random_usage_run(std::uint32_t seed) : m_random(seed)
    {
        for (int i = 0; i < 3; ++i)
            m_processes.push_back(start());
    }

    // Runs until no usage is left unreported, or the steps are used up.
    auto run(int steps) -> void
    {
        for (int i = 0; i < steps; ++i) {
            m_clock.advance(std::chrono::milliseconds(m_random() % 2'000));
            if (i < steps / 2)
                meter();
            push();
            // The second half is calm, so that everything can be reported.
            const auto calm = i >= steps / 2;
            auto &process = m_processes[m_random() % 3];
            if (!calm && m_random() % 200 == 0)
                process = start();
            if (!calm && m_random() % 50 == 0)
                process.pausedFor = static_cast<int>(m_random() % 40);
            if (process.pausedFor > 0)
                --process.pausedFor;
            else
                step(process);
        }
    }

    usage_figures metered;
    std::map<std::string, figure_pair> reports;
    int reportsSent = 0;
    bool differed = false;
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
    auto start() -> usage_process
    {
        ++m_starts;
        usage_process process{
            .lease
            = lease_holder({.duty = "usage/0", .holder = std::to_string(m_starts)}, m_clock.now()),
            .ledger = usage_ledger({.window = seconds(20)}),
            .reporter = usage_reporter({.closeDelay = seconds(5), .retryAfter = seconds(3)})};
        // A new process begins from another's snapshot, as the log may have lost the beginning.
        if (!m_processes.empty() && m_random() % 2 == 0)
            process.ledger.restore(m_processes.front().ledger.snapshot());
        return process;
    }

    auto meter() -> void
    {
        delta_fields delta{.sequence = m_agentLog.size() + 1,
                           .account = "a" + std::to_string(m_random() % 3),
                           .finished = m_clock.unixNow(),
                           .tokens = m_random() % 100};
        if (m_random() % 10 == 0)
            delta.finished = std::max<unix_milliseconds>(0, delta.finished - 60'000);
        metered += figuresOf(1, delta.tokens);
        m_agentLog.push_back(delta);
    }

    // The agent pushes what it was not told to be durable; sometimes the answer is lost.
    auto push() -> void
    {
        if (m_durable == m_agentLog.size() || m_random() % 2 == 0)
            return;
        const std::vector<delta_fields> open(
            m_agentLog.begin() + static_cast<std::ptrdiff_t>(m_durable), m_agentLog.end());
        m_usageLog.push_back(batchOf(open));
        if (m_random() % 3 != 0)
            m_durable = m_agentLog.size();
    }

    auto step(usage_process &process) -> void
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

    // An append takes effect now, twice, or never.
    auto append(std::vector<v1::LogRecord> &log, const v1::LogRecord &record) -> void
    {
        for (auto copies = m_random() % 3; copies > 0; --copies)
            log.push_back(record);
    }

    auto send(usage_process &process, const usage_report &report) -> void
    {
        ++reportsSent;
        const figure_pair figures{report.figures, report.adjustment};
        const auto [first, isNew] = reports.try_emplace(report.reportId, figures);
        differed = differed || first->second != figures;
        if (m_random() % 3 != 0)
            process.reporter.answered(report, true);
    }

    std::mt19937 m_random;
    manual_clock m_clock;
    int m_starts = 0;
    std::vector<usage_process> m_processes;
    std::vector<v1::LogRecord> m_leaseLog;
    std::vector<v1::LogRecord> m_usageLog;
    std::vector<delta_fields> m_agentLog;
    std::size_t m_durable = 0;
};

TEST(P7_UsageTest, longRandomRunsReportEveryTokenOnceWithOneSetOfFigures)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        random_usage_run run(seed);
        run.run(1200);
        EXPECT_FALSE(run.differed) << "seed " << seed;
        EXPECT_FALSE(run.twoHeld) << "seed " << seed;
        EXPECT_EQ(run.totalReported(), run.metered) << "seed " << seed;
        EXPECT_GT(run.reports.size(), 20U) << "seed " << seed;
    }
}

} // namespace
} // namespace mustardline
