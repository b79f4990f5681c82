#include <random>

#include <gtest/gtest.h>

#include "coordination/testing/lease_simulation.h"
#include "coordination/testing/state_search.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

// Deliberately wrong: accepts every claim, even if another was accepted that its writer had not
// read.
class table_without_precondition
{
public:
    explicit table_without_precondition(std::uint64_t firstOffset) : m_table(firstOffset) {}

    auto apply(std::uint64_t offset, v1::LogRecord record) -> void
    {
        if (record.has_lease_claim())
            record.mutable_lease_claim()->set_previous_offset(offset - 1);
        m_table.apply(offset, record);
    }
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_table.offset(); }
    operator const lease_table &() const { return m_table; }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const table_without_precondition &) const = default;

private:
    lease_table m_table;
};

// Deliberately wrong: counts the term from reading the claim back, not from sending it.
class holder_timing_from_read_back
{
public:
    holder_timing_from_read_back(const lease_holder_options &options, time_point now)
        : m_holder(options, now),
          m_name(options.holder),
          m_term(options.term),
          m_margin(options.margin)
    {}

    auto observe(const lease_table &leases, time_point now) -> void
    {
        m_holder.observe(leases, now);
        const auto *current = leases.find("d");
        if (current == nullptr || current->offset == m_offset)
            return;
        m_offset = current->offset;
        m_isHolder = current->holder == m_name && !current->released;
        m_termStart = now;
    }
    auto tick(time_point now) -> std::optional<v1::LogRecord> { return m_holder.tick(now); }
    [[nodiscard]] auto holds(time_point now) const -> bool
    {
        return m_isHolder && now < m_termStart + m_term - m_margin;
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const holder_timing_from_read_back &) const = default;

private:
    lease_holder m_holder;
    std::string m_name;
    duration m_term;
    duration m_margin;
    std::uint64_t m_offset = 0;
    bool m_isHolder = false;
    time_point m_termStart;
};

auto makeOptions(const std::string &holder) -> lease_holder_options
{
    return {.duty = "d",
            .holder = holder,
            .term = seconds(3),
            .margin = seconds(1),
            .renewAfter = seconds(1),
            .retryAfter = seconds(1)};
}

struct search_outcome
{
    std::size_t states = 0;
    bool anyHeld = false;
    bool successorHeld = false;
    bool twoHeld = false;
};

// Visits every state within `depth` events of the start. An event is a step of a candidate, the
// delivery of an append (up to `maxRecords` records in the log) or one second of the clock.
template<class Simulation>
auto search(const Simulation &start, int depth, std::size_t maxRecords) -> search_outcome
{
    search_outcome outcome;
    const auto expand = [&](const Simulation &simulation, const auto &visit) {
        for (std::size_t i = 0; i < simulation.candidates.size(); ++i) {
            auto after = simulation;
            after.stepCandidate(i);
            visit(std::move(after));
        }
        for (std::size_t i = 0;
             i < simulation.pendingAppends.size() && simulation.log.size() < maxRecords; ++i) {
            auto after = simulation;
            after.deliverAppend(i);
            visit(std::move(after));
        }
        auto later = simulation;
        later.now = later.now + seconds(1);
        visit(std::move(later));
    };
    const auto check = [&](const Simulation &simulation) {
        const auto holderCount = simulation.holderCount();
        outcome.anyHeld = outcome.anyHeld || holderCount > 0;
        outcome.successorHeld
            = outcome.successorHeld
              || (holderCount > 0 && simulation.log.front().holder != simulation.log.back().holder);
        outcome.twoHeld = outcome.twoHeld || holderCount > 1;
        return !outcome.twoHeld;
    };
    outcome.states = searchStates(start, depth, expand, check);
    return outcome;
}

template<class Table, class Holder>
auto makeSimulation(int candidates) -> lease_simulation<Table, Holder>
{
    lease_simulation<Table, Holder> simulation;
    for (int i = 0; i < candidates; ++i)
        simulation.addCandidate(makeOptions(std::string(1, static_cast<char>('a' + i))));
    return simulation;
}

constexpr int depthForTwo = 11;
constexpr int depthForThree = 9;
constexpr std::size_t maxRecords = 4;

TEST(P6_LeaseTest, atMostOneOfTwoCandidatesHolds)
{
    const auto outcome
        = search(makeSimulation<lease_table, lease_holder>(2), depthForTwo, maxRecords);
    EXPECT_FALSE(outcome.twoHeld);
    EXPECT_TRUE(outcome.successorHeld) << "the search must reach a change of holder";
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P6_LeaseTest, atMostOneOfThreeCandidatesHolds)
{
    const auto outcome
        = search(makeSimulation<lease_table, lease_holder>(3), depthForThree, maxRecords);
    EXPECT_FALSE(outcome.twoHeld);
    EXPECT_TRUE(outcome.anyHeld);
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P6_LeaseTest, searchDetectsATableWithoutPrecondition)
{
    EXPECT_TRUE(
        search(makeSimulation<table_without_precondition, lease_holder>(2), depthForTwo, maxRecords)
            .twoHeld);
}

TEST(P6_LeaseTest, searchDetectsATermCountedFromReadBack)
{
    EXPECT_TRUE(search(makeSimulation<lease_table, holder_timing_from_read_back>(2), depthForTwo,
                       maxRecords)
                    .twoHeld);
}

struct random_run_result
{
    bool twoHeld = false;
    int tenures = 0;
    std::uint64_t newestFencing = 0;
    bool fencingDecreased = false;
};

// Runs a long random simulation: appends are delayed, lost or duplicated; candidates are paused or
// restarted, and a restarted one finds only the newest records in the log.
template<class Table, class Holder>
auto randomRun(std::uint32_t seed) -> random_run_result
{
    std::mt19937 random(seed);
    auto simulation = makeSimulation<Table, Holder>(3);
    random_run_result run;
    std::vector<int> stepsPaused(3);
    int starts = 3;
    for (int i = 0; i < 4000; ++i) {
        simulation.now = simulation.now + std::chrono::milliseconds(random() % 400);
        const auto index = random() % 3;
        if (random() % 40 == 0)
            stepsPaused[index] = static_cast<int>(random() % 60);
        if (stepsPaused[index] > 0)
            --stepsPaused[index];
        else
            simulation.stepCandidate(index);
        if (random() % 300 == 0) {
            // Restarts the candidate as a new process that finds only the newest records.
            const auto first = simulation.log.size() > 6 ? simulation.log.size() - random() % 6 : 1;
            simulation.candidates[index]
                = {.table = Table(first),
                   .holder = Holder(makeOptions("s" + std::to_string(starts++)), simulation.now)};
            // Makes the table skip the earlier offsets.
            simulation.candidates[index].table.apply(first - 1, {});
        }
        while (!simulation.pendingAppends.empty() && random() % 3 != 0)
            simulation.deliverAppend(random() % simulation.pendingAppends.size());
        if (simulation.pendingAppends.size() > 4)
            simulation.pendingAppends.erase(simulation.pendingAppends.begin());
        run.twoHeld = run.twoHeld || simulation.holderCount() > 1;
        for (const auto &it : simulation.candidates) {
            if constexpr (std::is_same_v<Holder, lease_holder>) {
                if (!it.holder.holds(simulation.now))
                    continue;
                const auto fencing = it.holder.fencing();
                run.fencingDecreased = run.fencingDecreased || fencing < run.newestFencing;
                run.tenures += fencing > run.newestFencing ? 1 : 0;
                run.newestFencing = std::max(run.newestFencing, fencing);
            }
        }
    }
    return run;
}

TEST(P6_LeaseTest, randomRunsHaveOneHolderAndGrowingFencingTokens)
{
    int tenures = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        const auto run = randomRun<lease_table, lease_holder>(seed);
        EXPECT_FALSE(run.twoHeld) << "seed " << seed;
        EXPECT_FALSE(run.fencingDecreased) << "seed " << seed;
        tenures += run.tenures;
    }
    EXPECT_GT(tenures, 1000) << "the runs must reach many changes of holder";
}

TEST(P6_LeaseTest, randomRunsDetectTheWrongImplementations)
{
    auto withoutPrecondition = false;
    auto timingFromReadBack = false;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        withoutPrecondition = withoutPrecondition
                              || randomRun<table_without_precondition, lease_holder>(seed).twoHeld;
        timingFromReadBack = timingFromReadBack
                             || randomRun<lease_table, holder_timing_from_read_back>(seed).twoHeld;
    }
    EXPECT_TRUE(withoutPrecondition);
    EXPECT_TRUE(timingFromReadBack);
}

} // namespace
} // namespace mustardline
