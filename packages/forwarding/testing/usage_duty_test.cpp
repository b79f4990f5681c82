// Tests of the usage duty: the steps of one candidate, and a search over the interleavings of
// several candidates with lost and delayed appends.

#include "forwarding/usage_duty.h"

#include <random>

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
    std::uint64_t endOffset = 0;
    std::optional<duty_record> record;
    // An append without a response that may still take effect, under its condition.
    std::optional<std::pair<std::uint64_t, duty_record>> pendingAppend;
    // Received reports: the highest fencing token, and the figures of each window.
    std::uint64_t highestFencing = 0;
    std::string lastHolder;
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> reported;
    std::uint64_t receivedCount = 0;
    std::string violation;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const duty_simulation &) const = default;

    [[nodiscard]] auto now() const -> time_point { return {.nanoseconds = nowMs * 1'000'000}; }

    auto append(std::uint64_t at, const duty_record &value) -> bool
    {
        if (at != endOffset)
            return false;
        record = value;
        ++endOffset;
        return true;
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

auto makeSimulation(int count, const usage_duty_options &options) -> duty_simulation
{
    duty_simulation simulation;
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
        simulation.candidates[candidate].onRead(simulation.record, {.offset = simulation.endOffset},
                                                now);
        visit(std::move(simulation));
        return;
    }
    if (const auto *append = std::get_if<append_duty>(&*action)) {
        auto refused = simulation;
        refused.candidates[candidate].onAppend(log_unavailable{}, now);
        visit(std::move(refused));
        if (!simulation.pendingAppend) {
            auto delayed = simulation;
            delayed.pendingAppend = std::pair(append->at.offset, append->record);
            delayed.candidates[candidate].onAppend(log_unavailable{.mayHaveTakenEffect = true},
                                                   now);
            visit(std::move(delayed));
        }
        const bool appended = simulation.append(append->at.offset, append->record);
        auto unanswered = simulation;
        unanswered.candidates[candidate].onAppend(log_unavailable{.mayHaveTakenEffect = true}, now);
        visit(std::move(unanswered));
        if (appended)
            simulation.candidates[candidate].onAppend(
                log_appended{.first = append->at, .end = {.offset = simulation.endOffset}}, now);
        else
            simulation.candidates[candidate].onAppend(
                log_append_conflict{.end = {.offset = simulation.endOffset}}, now);
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

auto search(int candidates, int depth, const usage_duty_options &options) -> std::string
{
    std::string violation;
    std::uint64_t received = 0;
    searchStates(
        makeSimulation(candidates, options), depth,
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

TEST(UsageDutySearchTest, randomRunsHaveNoViolation)
{
    std::mt19937 random(1);
    for (auto run = 0; run < 60; ++run) {
        auto simulation = makeSimulation(3, searchOptions());
        for (auto step = 0; step < 300; ++step) {
            std::vector<duty_simulation> next;
            expandSimulation(
                simulation, [&](duty_simulation follower) { next.push_back(std::move(follower)); });
            simulation = next[random() % next.size()];
            ASSERT_EQ(simulation.violation, "") << "run " << run << " step " << step;
        }
    }
}

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

TEST(UsageDutyTest, recordsRoundTrip)
{
    duty_record record{.holder = "edge",
                       .address = "10.0.0.1:7340",
                       .fencing = 3,
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
