#include <random>

#include <gtest/gtest.h>

#include "coordination/testing/lease_world.h"
#include "coordination/testing/state_search.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

// Deliberately wrong: accepts every claim, whatever stands between.
class table_without_compare
{
public:
    explicit table_without_compare(std::uint64_t firstOffset) : m_table(firstOffset) {}

    auto apply(std::uint64_t offset, v1::LogRecord record) -> void
    {
        if (record.has_lease_claim())
            record.mutable_lease_claim()->set_previous_offset(offset - 1);
        m_table.apply(offset, record);
    }
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_table.offset(); }
    operator const lease_table &() const { return m_table; }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const table_without_compare &) const = default;

private:
    lease_table m_table;
};

// Deliberately wrong: counts its term from when it read its claim, as from the answer.
class holder_counting_from_the_answer
{
public:
    holder_counting_from_the_answer(const lease_holder_options &options, time_point now)
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
        m_mine = current->holder == m_name && !current->released;
        m_from = now;
    }
    auto tick(time_point now) -> std::optional<v1::LogRecord> { return m_holder.tick(now); }
    [[nodiscard]] auto holds(time_point now) const -> bool
    {
        return m_mine && now < m_from + m_term - m_margin;
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const holder_counting_from_the_answer &) const = default;

private:
    lease_holder m_holder;
    std::string m_name;
    duration m_term;
    duration m_margin;
    std::uint64_t m_offset = 0;
    bool m_mine = false;
    time_point m_from;
};

auto optionsOf(const std::string &holder) -> lease_holder_options
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
    bool someoneHeld = false;
    bool successorHeld = false;
    bool twoHeld = false;
};

// Visits every state within `depth` events of the start: each contender's step, each arrival of an
// append (at most `maxRecords` in the log), and each second of the clock.
template<class World>
auto search(const World &start, int depth, std::size_t maxRecords) -> search_outcome
{
    search_outcome outcome;
    const auto expand = [&](const World &world, const auto &visit) {
        for (std::size_t i = 0; i < world.contenders.size(); ++i) {
            auto after = world;
            after.step(i);
            visit(std::move(after));
        }
        for (std::size_t i = 0; i < world.inFlight.size() && world.log.size() < maxRecords; ++i) {
            auto after = world;
            after.deliver(i);
            visit(std::move(after));
        }
        auto later = world;
        later.now = later.now + seconds(1);
        visit(std::move(later));
    };
    const auto check = [&](const World &world) {
        const auto holders = world.holders();
        outcome.someoneHeld = outcome.someoneHeld || holders > 0;
        outcome.successorHeld
            = outcome.successorHeld
              || (holders > 0 && world.log.front().holder != world.log.back().holder);
        outcome.twoHeld = outcome.twoHeld || holders > 1;
        return !outcome.twoHeld;
    };
    outcome.states = searchStates(start, depth, expand, check);
    return outcome;
}

template<class Table, class Holder>
auto worldOf(int contenders) -> lease_world<Table, Holder>
{
    lease_world<Table, Holder> world;
    for (int i = 0; i < contenders; ++i)
        world.add(optionsOf(std::string(1, static_cast<char>('a' + i))));
    return world;
}

constexpr int depthOfTwo = 11;
constexpr int depthOfThree = 9;
constexpr std::size_t maxRecords = 4;

TEST(P6_LeaseTest, noInterleavingOfTwoContendersLetsBothHold)
{
    const auto outcome = search(worldOf<lease_table, lease_holder>(2), depthOfTwo, maxRecords);
    EXPECT_FALSE(outcome.twoHeld);
    EXPECT_TRUE(outcome.successorHeld) << "the search must reach a succession";
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P6_LeaseTest, noInterleavingOfThreeContendersLetsTwoHold)
{
    const auto outcome = search(worldOf<lease_table, lease_holder>(3), depthOfThree, maxRecords);
    EXPECT_FALSE(outcome.twoHeld);
    EXPECT_TRUE(outcome.someoneHeld);
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P6_LeaseTest, theSearchFindsTheFaultOfAFoldWithoutCompare)
{
    EXPECT_TRUE(
        search(worldOf<table_without_compare, lease_holder>(2), depthOfTwo, maxRecords).twoHeld);
}

TEST(P6_LeaseTest, theSearchFindsTheFaultOfATermCountedFromTheAnswer)
{
    EXPECT_TRUE(
        search(worldOf<lease_table, holder_counting_from_the_answer>(2), depthOfTwo, maxRecords)
            .twoHeld);
}

struct long_run
{
    bool twoHeld = false;
    int tenures = 0;
    std::uint64_t newestFencing = 0;
    bool fencingFell = false;
};

// A long random run: appends delayed, lost or doubled, contenders paused, restarted and joining
// late with only the newest records kept.
template<class Table, class Holder>
auto randomRun(std::uint32_t seed) -> long_run
{
    std::mt19937 random(seed);
    auto world = worldOf<Table, Holder>(3);
    long_run run;
    std::vector<int> pausedFor(3);
    int starts = 3;
    for (int i = 0; i < 4000; ++i) {
        world.now = world.now + std::chrono::milliseconds(random() % 400);
        const auto index = random() % 3;
        if (random() % 40 == 0)
            pausedFor[index] = static_cast<int>(random() % 60);
        if (pausedFor[index] > 0)
            --pausedFor[index];
        else
            world.step(index);
        if (random() % 300 == 0) {
            // Restarted: a new process, which finds only the records that the log still keeps.
            const auto first = world.log.size() > 6 ? world.log.size() - random() % 6 : 1;
            world.contenders[index]
                = {.table = Table(first),
                   .holder = Holder(optionsOf("s" + std::to_string(starts++)), world.now)};
            // The table takes the earlier offsets as folded.
            world.contenders[index].table.apply(first - 1, {});
        }
        while (!world.inFlight.empty() && random() % 3 != 0)
            world.deliver(random() % world.inFlight.size());
        if (world.inFlight.size() > 4)
            world.inFlight.erase(world.inFlight.begin());
        run.twoHeld = run.twoHeld || world.holders() > 1;
        for (const auto &it : world.contenders) {
            if constexpr (std::is_same_v<Holder, lease_holder>) {
                if (!it.holder.holds(world.now))
                    continue;
                const auto fencing = it.holder.fencing();
                run.fencingFell = run.fencingFell || fencing < run.newestFencing;
                run.tenures += fencing > run.newestFencing ? 1 : 0;
                run.newestFencing = std::max(run.newestFencing, fencing);
            }
        }
    }
    return run;
}

TEST(P6_LeaseTest, longRandomRunsNeverLetTwoHoldAndNumbersGrow)
{
    int tenures = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        const auto run = randomRun<lease_table, lease_holder>(seed);
        EXPECT_FALSE(run.twoHeld) << "seed " << seed;
        EXPECT_FALSE(run.fencingFell) << "seed " << seed;
        tenures += run.tenures;
    }
    EXPECT_GT(tenures, 1000) << "the runs must see many successions";
}

TEST(P6_LeaseTest, longRandomRunsFindTheNaiveFaults)
{
    auto withoutCompare = false;
    auto fromTheAnswer = false;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        withoutCompare
            = withoutCompare || randomRun<table_without_compare, lease_holder>(seed).twoHeld;
        fromTheAnswer = fromTheAnswer
                        || randomRun<lease_table, holder_counting_from_the_answer>(seed).twoHeld;
    }
    EXPECT_TRUE(withoutCompare);
    EXPECT_TRUE(fromTheAnswer);
}

} // namespace
} // namespace mustardline
