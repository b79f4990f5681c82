// Tests of the usage duty: the steps of one candidate, and a search over the interleavings of
// several candidates with lost and delayed appends.

#include "forwarding/usage_duty.h"

#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "coordination/testing/state_search.h"

namespace mustardline {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto windowLength = seconds(5);

auto usageWith(std::uint64_t count, std::int64_t windows) -> usage_windows
{
    usage_windows usage({.window = windowLength, .keptWindows = 1000});
    for (std::int64_t window = 0; window < windows; ++window)
        usage.merge("edge", window, "account", count);
    return usage;
}

// The candidates, the log with one record, and the reports that the platform has received.
struct duty_simulation
{
    std::vector<usage_duty> candidates;
    std::int64_t nowMs = 100'000;
    std::uint64_t era = 0;
    std::vector<duty_record> records;
    // An append without a response that may still take effect, under its condition.
    std::optional<std::pair<log_position, duty_record>> pendingAppend;
    // Times that the log may still come back from an older copy.
    int drillsLeft = 0;
    // Received reports: the highest fencing token, and the figures of each window.
    std::uint64_t highestFencing = 0;
    std::string lastHolder;
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> reported;
    std::uint64_t receivedCount = 0;
    std::string violation;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const duty_simulation &) const = default;

    [[nodiscard]] auto now() const -> time_point { return {.nanoseconds = nowMs * 1'000'000}; }

    [[nodiscard]] auto end() const -> log_position
    {
        return {.era = era, .offset = records.size()};
    }
    [[nodiscard]] auto newest() const -> std::optional<duty_record>
    {
        return records.empty() ? std::nullopt : std::optional(records.back());
    }

    // The log looks at the offset alone.
    auto append(const log_position &at, const duty_record &value) -> bool
    {
        if (at.offset != records.size())
            return false;
        records.push_back(value);
        return true;
    }

    // The log comes back from a copy without its newest `lost` records.
    auto drill(std::size_t lost) -> void
    {
        records.resize(records.size() - lost);
        ++era;
    }

    auto receive(const usage_report &report) -> void
    {
        ++receivedCount;
        if (report.fencing < highestFencing)
            violation = "a report with an older fencing token";
        if (report.fencing == highestFencing && lastHolder != report.holder)
            violation = "two holders with the same fencing token";
        highestFencing = std::max(highestFencing, report.fencing);
        lastHolder = report.holder;
        const auto [known, isNew] = reported.emplace(report.window, report.counts);
        if (!isNew && known->second != report.counts)
            violation = "a window reported with different figures";
    }
};

auto makeSimulation(int count, const usage_duty_options &options, int drills = 0) -> duty_simulation
{
    duty_simulation simulation{.drillsLeft = drills};
    for (auto at = 0; at < count; ++at) {
        auto own = options;
        own.holder = "edge-" + std::to_string(at);
        simulation.candidates.emplace_back(own);
    }
    return simulation;
}

// Each candidate has different counts: reported figures must not depend on who retries a report.
auto tickCandidate(duty_simulation &simulation, std::size_t candidate) -> std::optional<duty_action>
{
    static const std::vector<usage_windows> usages{usageWith(10, 200), usageWith(20, 200),
                                                   usageWith(30, 200)};
    return simulation.candidates[candidate].tick(simulation.now(), simulation.nowMs,
                                                 usages[candidate]);
}

// Visits all states that may follow the next action of `candidate`.
template<class Visit>
auto expandCandidateStep(const duty_simulation &before, std::size_t candidate, const Visit &visit)
    -> void
{
    auto simulation = before;
    const auto action = tickCandidate(simulation, candidate);
    if (!action)
        return;
    const auto now = simulation.now();
    if (std::holds_alternative<read_duty>(*action)) {
        auto failed = simulation;
        failed.candidates[candidate].onReadFailed(now);
        visit(std::move(failed));
        simulation.candidates[candidate].onRead(simulation.newest(), simulation.end(), now);
        visit(std::move(simulation));
        return;
    }
    if (const auto *append = std::get_if<append_duty>(&*action)) {
        auto refused = simulation;
        refused.candidates[candidate].onAppend(log_unavailable{}, now);
        visit(std::move(refused));
        if (!simulation.pendingAppend) {
            auto delayed = simulation;
            delayed.pendingAppend = std::pair(append->at, append->record);
            delayed.candidates[candidate].onAppend(log_unavailable{.mayHaveTakenEffect = true},
                                                   now);
            visit(std::move(delayed));
        }
        const bool appended = simulation.append(append->at, append->record);
        auto unanswered = simulation;
        unanswered.candidates[candidate].onAppend(log_unavailable{.mayHaveTakenEffect = true}, now);
        visit(std::move(unanswered));
        if (appended && append->at.era != simulation.era)
            simulation.candidates[candidate].onAppend(log_unavailable{.mayHaveTakenEffect = true},
                                                      now);
        else if (appended)
            simulation.candidates[candidate].onAppend(
                log_appended{.first = append->at, .end = simulation.end()}, now);
        else
            simulation.candidates[candidate].onAppend(log_append_conflict{.end = simulation.end()},
                                                      now);
        visit(std::move(simulation));
        return;
    }
    const auto &report = std::get<usage_report>(*action);
    auto lost = simulation;
    lost.candidates[candidate].onReport(report.window, false, now);
    visit(std::move(lost));
    simulation.receive(report);
    auto unanswered = simulation;
    unanswered.candidates[candidate].onReport(report.window, false, now);
    visit(std::move(unanswered));
    simulation.candidates[candidate].onReport(report.window, true, now);
    visit(std::move(simulation));
}

template<class Visit>
auto expandSimulation(const duty_simulation &simulation, const Visit &visit) -> void
{
    for (std::size_t candidate = 0; candidate < simulation.candidates.size(); ++candidate)
        expandCandidateStep(simulation, candidate, visit);
    if (simulation.pendingAppend) {
        auto appended = simulation;
        appended.append(appended.pendingAppend->first, appended.pendingAppend->second);
        appended.pendingAppend.reset();
        visit(std::move(appended));
    }
    for (std::size_t lost = 0; simulation.drillsLeft > 0 && lost <= simulation.records.size();
         ++lost) {
        auto drilled = simulation;
        drilled.drill(lost);
        --drilled.drillsLeft;
        visit(std::move(drilled));
    }
    auto later = simulation;
    later.nowMs += 1800;
    visit(std::move(later));
}

// Two clock steps of the search make a term.
constexpr auto searchTerm = milliseconds(3600);

auto searchOptions() -> usage_duty_options
{
    return {.sealAfter = milliseconds(0),
            .takeOverAfter = milliseconds(0),
            .term = searchTerm,
            .margin = milliseconds(700),
            .retryAfter = milliseconds(0),
            .maxReadAge = milliseconds(1000)};
}

auto search(int candidates, int depth, const usage_duty_options &options, int drills = 0)
    -> std::string
{
    std::string violation;
    std::uint64_t received = 0;
    searchStates(
        makeSimulation(candidates, options, drills), depth,
        [](const duty_simulation &simulation, const auto &visit) {
            expandSimulation(simulation, visit);
        },
        [&](const duty_simulation &simulation) {
            received = std::max(received, simulation.receivedCount);
            if (!simulation.violation.empty())
                violation = simulation.violation;
            return violation.empty();
        });
    EXPECT_GT(received, 0U) << "the search must be deep enough to reach a report";
    return violation;
}

TEST(UsageDutySearchTest, twoCandidatesNeverReportConcurrently)
{
    EXPECT_EQ(search(2, 10, searchOptions()), "");
}

TEST(UsageDutySearchTest, threeCandidatesNeverReportConcurrently)
{
    EXPECT_EQ(search(3, 7, searchOptions()), "");
}

// A negative margin makes the holder ignore its term.
TEST(UsageDutySearchTest, searchDetectsAHolderThatIgnoresItsTerm)
{
    auto faulty = searchOptions();
    faulty.margin = -hours(1);
    EXPECT_NE(search(2, 10, faulty), "");
}

// A zero term makes a candidate take over as soon as it has read the record.
TEST(UsageDutySearchTest, searchDetectsATakeoverWithoutWaiting)
{
    auto faulty = searchOptions();
    faulty.term = milliseconds(0);
    faulty.margin = -milliseconds(5000);
    EXPECT_NE(search(2, 10, faulty), "");
}

// Guards against numbers that fall or repeat, and windows that are reported with other figures,
// after the log came back from an older copy; an append of the old era may still take effect.
TEST(UsageDutySearchTest, twoCandidatesKeepTheirPromisesOverADrill)
{
    EXPECT_EQ(search(2, 10, searchOptions(), 1), "");
}

// Runs of 600 random steps, with drills that are spread over them. Each seed is a test of its own,
// so that none takes long under sanitizers.
class UsageDutyRandomTest : public testing::TestWithParam<unsigned>
{};

auto randomRunViolation(unsigned seed, int drills) -> std::string
{
    constexpr int steps = 600;
    constexpr int runs = 25;
    std::mt19937 random(seed);
    std::uint64_t received = 0;
    for (auto run = 0; run < runs; ++run) {
        auto simulation = makeSimulation(3, searchOptions());
        for (auto step = 0; step < steps; ++step) {
            if (random() % steps < static_cast<unsigned>(drills))
                simulation.drill(random() % (simulation.records.size() + 1));
            std::vector<duty_simulation> next;
            expandSimulation(
                simulation, [&](duty_simulation follower) { next.push_back(std::move(follower)); });
            // The last one lets time pass, which the others need to get anywhere.
            const auto chosen = random() % 4 == 0 ? next.size() - 1 : random() % next.size();
            simulation = next[chosen];
            if (!simulation.violation.empty())
                return fmt::format("run {} step {}: {}", run, step, simulation.violation);
        }
        received += simulation.receivedCount;
    }
    EXPECT_GT(received, 0U);
    return "";
}

TEST_P(UsageDutyRandomTest, randomRunsHaveNoViolation)
{
    EXPECT_EQ(randomRunViolation(GetParam(), 0), "");
}

TEST_P(UsageDutyRandomTest, randomRunsWithDrillsHaveNoViolation)
{
    EXPECT_EQ(randomRunViolation(GetParam(), 5), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, UsageDutyRandomTest, testing::Range(1U, 5U));

TEST(UsageDutyTest, retriedReportHasTheSealedFigures)
{
    usage_duty duty({.holder = "edge"});
    const auto usage = usageWith(10, 100);
    const time_point now{.nanoseconds = 1'000'000'000};
    // 3 s after the end of window 9.
    const unix_milliseconds unixNow = 53'000;
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, unixNow, usage)));
    EXPECT_FALSE(duty.tick(now, unixNow, usage)) << "only one action at a time";
    duty.onRead(std::nullopt, {.offset = 7}, now);
    const auto append = std::get<append_duty>(*duty.tick(now, unixNow, usage));
    EXPECT_EQ(append.at.offset, 7U);
    EXPECT_EQ(append.record.sealed.rbegin()->first, 9);
    duty.onAppend(log_appended{.first = {.offset = 7}, .end = {.offset = 8}}, now);
    const auto report = std::get<usage_report>(*duty.tick(now, unixNow, usage));
    EXPECT_EQ(report.window, 9);
    EXPECT_EQ(report.counts.at("account"), 10U);
    duty.onReport(9, false, now);
    EXPECT_FALSE(duty.tick(now, unixNow, usage)) << "the retry delay is not over";
    const auto more = usageWith(11, 100);
    const auto again
        = std::get<usage_report>(*duty.tick(now + milliseconds(600), unixNow + 600, more));
    EXPECT_EQ(again.counts.at("account"), 10U);
    EXPECT_EQ(again.fencing, report.fencing);
    duty.onReport(9, true, now + milliseconds(700));
    EXPECT_FALSE(duty.tick(now + milliseconds(800), unixNow + 800, usage));
}

TEST(UsageDutyTest, holderRenewsExpiredTermBeforeReporting)
{
    usage_duty duty({.holder = "edge"});
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 1'000'000'000};
    ASSERT_TRUE(duty.tick(now, 53'000, usage));
    duty.onRead(std::nullopt, {}, now);
    const auto first = std::get<append_duty>(*duty.tick(now, 53'000, usage));
    duty.onAppend(log_appended{.first = {.offset = 0}, .end = {.offset = 1}}, now);
    now = now + seconds(4);
    EXPECT_FALSE(duty.holds(now));
    const auto renewal = std::get<append_duty>(*duty.tick(now, 54'000, usage));
    EXPECT_EQ(renewal.record.fencing, first.record.fencing + 1);
    EXPECT_EQ(renewal.record.sealed, first.record.sealed);
}

TEST(UsageDutyTest, successorReportsWindowsSealedByItsPredecessor)
{
    duty_record predecessorRecord{
        .holder = "other", .fencing = 5, .nonce = "other#1", .reportedTo = 8};
    predecessorRecord.sealed[9]["account"] = 42;
    usage_duty duty({.holder = "edge"});
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 1'000'000'000};
    ASSERT_TRUE(duty.tick(now, 61'000, usage));
    duty.onRead(predecessorRecord, {.offset = 3}, now);
    EXPECT_FALSE(duty.tick(now, 61'000, usage)) << "a full term must pass first";
    now = now + seconds(4);
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, 65'000, usage)));
    duty.onRead(predecessorRecord, {.offset = 3}, now);
    const auto append = std::get<append_duty>(*duty.tick(now, 65'000, usage));
    EXPECT_EQ(append.at.offset, 3U);
    EXPECT_EQ(append.record.fencing, 6U);
    duty.onAppend(log_appended{.first = {.offset = 3}, .end = {.offset = 4}}, now);
    const auto report = std::get<usage_report>(*duty.tick(now, 65'000, usage));
    EXPECT_EQ(report.window, 9);
    EXPECT_EQ(report.counts.at("account"), 42U);
}

// A duty that holds window 9 of `usage` and has reported it, in era 1.
auto holderInEraOne(const usage_windows &usage, time_point now) -> usage_duty
{
    usage_duty duty({.holder = "edge"});
    // Windows that were due before the first read may have been sealed by others.
    static_cast<void>(duty.tick(now - seconds(4), 49'000, usage));
    duty.onRead(std::nullopt, {.era = 1, .offset = 4}, now - seconds(4));
    static_cast<void>(duty.tick(now - seconds(4), 49'000, usage));
    static_cast<void>(duty.tick(now, 53'000, usage));
    duty.onRead(std::nullopt, {.era = 1, .offset = 4}, now);
    const auto append = std::get<append_duty>(*duty.tick(now, 53'000, usage));
    EXPECT_EQ(append.record.fencing, (log_position{.era = 1, .offset = 5}.number()));
    duty.onAppend(log_appended{.first = append.at, .end = {.era = 1, .offset = 5}}, now);
    const auto report = std::get<usage_report>(*duty.tick(now, 53'000, usage));
    duty.onReport(report.window, true, now);
    return duty;
}

// Guards against a holder that goes on with numbers of the copy, or reports again what it has lost.
TEST(UsageDutyTest, holderGoesOnAboveAllNumbersWhenTheLogComesBackFromACopy)
{
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 10'000'000'000};
    auto duty = holderInEraOne(usage, now);
    now = now + seconds(1);
    duty.onEra(2, now);
    EXPECT_FALSE(duty.holds(now)) << "nothing is reported before the record is written again";
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, 54'000, usage)));
    duty.onRead(std::nullopt, {.era = 2, .offset = 1}, now);
    EXPECT_FALSE(duty.tick(now, 54'000, usage)) << "no window is due";
    // 3 s after the end of window 10; a full term after the era was seen.
    now = now + seconds(4);
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, 58'000, usage)));
    duty.onRead(std::nullopt, {.era = 2, .offset = 1}, now);
    const auto append = std::get<append_duty>(*duty.tick(now, 58'000, usage));
    EXPECT_EQ(append.at, (log_position{.era = 2, .offset = 1}));
    EXPECT_EQ(append.record.fencing, (log_position{.era = 2, .offset = 2}.number()));
    duty.onAppend(log_appended{.first = append.at, .end = {.era = 2, .offset = 2}}, now);
    const auto report = std::get<usage_report>(*duty.tick(now, 58'000, usage));
    EXPECT_EQ(report.window, 10);
    duty.onReport(10, true, now);
    EXPECT_FALSE(duty.tick(now, 58'000, usage)) << "window 9 was reported before";
}

// Guards against a successor that seals windows again which the lost holder may have reported.
TEST(UsageDutyTest, successorLeavesOutWindowsThatItDoesNotKnowAfterADrill)
{
    const auto usage = usageWith(10, 100);
    duty_record copy{.holder = "lost", .fencing = 3, .era = 1, .nonce = "lost#1", .reportedTo = 8};
    copy.sealed[9]["account"] = 42;
    usage_duty duty({.holder = "edge"});
    time_point now{.nanoseconds = 1'000'000'000};
    // 4 s after the end of window 11, which the lost holder may have sealed.
    ASSERT_TRUE(duty.tick(now, 64'000, usage));
    duty.onRead(copy, {.era = 2, .offset = 1}, now);
    EXPECT_FALSE(duty.tick(now, 64'000, usage));
    now = now + seconds(7);
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, 71'000, usage)));
    duty.onRead(copy, {.era = 2, .offset = 1}, now);
    const auto append = std::get<append_duty>(*duty.tick(now, 71'000, usage));
    ASSERT_EQ(append.record.sealed.size(), 1U);
    EXPECT_EQ(append.record.sealed.begin()->first, 12);
}

// Guards against a holder that was frozen over a drill and seals windows again which another one,
// whose record is lost, may have sealed in its place.
TEST(UsageDutyTest, holderThatMayHaveBeenReplacedLeavesOutWhatTheOtherMayHaveSealed)
{
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 10'000'000'000};
    auto duty = holderInEraOne(usage, now);
    now = now + seconds(22);
    duty.onEra(2, now);
    ASSERT_TRUE(duty.tick(now, 75'000, usage));
    duty.onRead(std::nullopt, {.era = 2}, now);
    EXPECT_FALSE(duty.tick(now, 75'000, usage));
    now = now + seconds(4);
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, 79'000, usage)));
    duty.onRead(std::nullopt, {.era = 2}, now);
    const auto append = std::get<append_duty>(*duty.tick(now, 79'000, usage));
    ASSERT_EQ(append.record.sealed.size(), 2U) << "the one it knows, and the one due since";
    EXPECT_EQ(append.record.sealed.rbegin()->first, 14);
}

// Guards against an append of the old era that is executed in the new one and taken for the duty.
TEST(UsageDutyTest, appendThatIsExecutedInALaterEraGivesNoTerm)
{
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 10'000'000'000};
    auto duty = holderInEraOne(usage, now);
    now = now + seconds(5);
    const auto append = std::get<append_duty>(*duty.tick(now, 58'000, usage));
    duty.onAppend(log_unavailable{.mayHaveTakenEffect = true}, now);
    duty.onEra(2, now);
    now = now + seconds(1);
    ASSERT_TRUE(duty.tick(now, 59'000, usage));
    duty.onRead(append.record, {.era = 2, .offset = 6}, now);
    EXPECT_FALSE(duty.holds(now));
    EXPECT_FALSE(duty.tick(now, 59'000, usage)) << "the term is over, so a full term must pass";
}

TEST(UsageDutyTest, recordsRoundTrip)
{
    duty_record record{.holder = "edge",
                       .address = "10.0.0.1:7340",
                       .fencing = 3,
                       .era = 2,
                       .nonce = "edge#1",
                       .reportedTo = 4};
    record.sealed[5] = {};
    record.sealed[6]["account"] = 7;
    EXPECT_EQ(decodeDutyRecord(encodeDutyRecord(record)), record);
    for (const auto *bytes : {"", "{", "[]", "{\"holder\":1}", "\xff\xfe"})
        EXPECT_EQ(decodeDutyRecord(bytes), std::nullopt) << bytes;
}

} // namespace
} // namespace mustardline
