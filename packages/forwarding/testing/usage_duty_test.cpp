// The duty of reporting usage: what one contender does, and what any interleaving of several with
// lost and late appends can lead to.

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

// Contenders, the log with one record, and what the platform has received.
struct duty_world
{
    std::vector<usage_duty> contenders;
    std::int64_t nowMs = 100'000;
    std::uint64_t endOffset = 0;
    std::optional<duty_record> record;
    // An append that may still be made, under its condition.
    std::optional<std::pair<std::uint64_t, duty_record>> late;
    // Received reports: the highest number, and the figures of each window.
    std::uint64_t highestFencing = 0;
    std::string lastHolder;
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> reported;
    std::uint64_t receivedCount = 0;
    std::string fault;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const duty_world &) const = default;

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
            fault = "a report under an older number";
        if (report.fencing == highestFencing && lastHolder != report.holder)
            fault = "two holders under one number";
        highestFencing = std::max(highestFencing, report.fencing);
        lastHolder = report.holder;
        const auto [known, isNew] = reported.emplace(report.window, report.counts);
        if (!isNew && known->second != report.counts)
            fault = "a window with other figures";
    }
};

auto worldOf(int count, const usage_duty_options &options) -> duty_world
{
    duty_world world;
    for (auto at = 0; at < count; ++at) {
        auto own = options;
        own.holder = "edge-" + std::to_string(at);
        world.contenders.emplace_back(own);
    }
    return world;
}

// Each contender has counted other figures: what is reported must not depend on who asks again.
auto tickOf(duty_world &world, std::size_t who) -> std::optional<duty_action>
{
    static const std::vector<usage_windows> usages{usageWith(10, 200), usageWith(20, 200),
                                                   usageWith(30, 200)};
    return world.contenders[who].tick(world.now(), world.nowMs, usages[who]);
}

// Passes on every world that may follow when contender `who` takes its next step.
template<class Visit>
auto expandStep(const duty_world &before, std::size_t who, const Visit &visit) -> void
{
    auto world = before;
    const auto action = tickOf(world, who);
    if (!action)
        return;
    const auto now = world.now();
    if (std::holds_alternative<read_duty>(*action)) {
        auto failed = world;
        failed.contenders[who].readFailed(now);
        visit(std::move(failed));
        world.contenders[who].readCame(world.record, world.endOffset, now);
        visit(std::move(world));
        return;
    }
    if (const auto *append = std::get_if<append_duty>(&*action)) {
        auto refused = world;
        refused.contenders[who].appendCame(log_unavailable{}, now);
        visit(std::move(refused));
        if (!world.late) {
            auto delayed = world;
            delayed.late = std::pair(append->at, append->record);
            delayed.contenders[who].appendCame(log_unavailable{.mayHaveTakenEffect = true}, now);
            visit(std::move(delayed));
        }
        const bool made = world.append(append->at, append->record);
        auto unanswered = world;
        unanswered.contenders[who].appendCame(log_unavailable{.mayHaveTakenEffect = true}, now);
        visit(std::move(unanswered));
        if (made)
            world.contenders[who].appendCame(
                log_appended{.offset = world.endOffset - 1, .endOffset = world.endOffset}, now);
        else
            world.contenders[who].appendCame(log_append_conflict{.endOffset = world.endOffset},
                                             now);
        visit(std::move(world));
        return;
    }
    const auto &report = std::get<usage_report>(*action);
    auto lost = world;
    lost.contenders[who].reportCame(report.window, false, now);
    visit(std::move(lost));
    world.receive(report);
    auto unanswered = world;
    unanswered.contenders[who].reportCame(report.window, false, now);
    visit(std::move(unanswered));
    world.contenders[who].reportCame(report.window, true, now);
    visit(std::move(world));
}

template<class Visit>
auto expandWorld(const duty_world &world, const Visit &visit) -> void
{
    for (std::size_t who = 0; who < world.contenders.size(); ++who)
        expandStep(world, who, visit);
    if (world.late) {
        auto made = world;
        made.append(made.late->first, made.late->second);
        made.late.reset();
        visit(std::move(made));
    }
    auto later = world;
    later.nowMs += 1800;
    visit(std::move(later));
}

// Times of the search: two steps of the clock make a term.
constexpr auto searchTerm = milliseconds(3600);

auto searchOptions() -> usage_duty_options
{
    return {.sealAfter = milliseconds(0),
            .takeOverAfter = milliseconds(0),
            .term = searchTerm,
            .margin = milliseconds(700),
            .retryAfter = milliseconds(0),
            .freshness = milliseconds(1000)};
}

auto search(int contenders, int depth, const usage_duty_options &options) -> std::string
{
    std::string fault;
    std::uint64_t received = 0;
    searchStates(
        worldOf(contenders, options), depth,
        [](const duty_world &world, const auto &visit) { expandWorld(world, visit); },
        [&](const duty_world &world) {
            received = std::max(received, world.receivedCount);
            if (!world.fault.empty())
                fault = world.fault;
            return fault.empty();
        });
    EXPECT_GT(received, 0U) << "the search must be deep enough for a report";
    return fault;
}

TEST(UsageDutySearchTest, twoContendersNeverReportAgainstEachOther)
{
    EXPECT_EQ(search(2, 10, searchOptions()), "");
}

TEST(UsageDutySearchTest, threeContendersNeverReportAgainstEachOther)
{
    EXPECT_EQ(search(3, 7, searchOptions()), "");
}

// Goes on by what it once read, without regard to its term.
TEST(UsageDutySearchTest, aContenderWithoutATermIsFound)
{
    auto naive = searchOptions();
    naive.margin = -hours(1);
    EXPECT_NE(search(2, 10, naive), "");
}

// Takes over as soon as it knows of a record.
TEST(UsageDutySearchTest, aContenderThatDoesNotWaitIsFound)
{
    auto naive = searchOptions();
    naive.term = milliseconds(0);
    naive.margin = -milliseconds(5000);
    EXPECT_NE(search(2, 10, naive), "");
}

TEST(UsageDutySearchTest, longRandomRunsStaySound)
{
    std::mt19937 random(1);
    for (auto run = 0; run < 60; ++run) {
        auto world = worldOf(3, searchOptions());
        for (auto step = 0; step < 300; ++step) {
            std::vector<duty_world> next;
            expandWorld(world, [&](duty_world follower) { next.push_back(std::move(follower)); });
            world = next[random() % next.size()];
            ASSERT_EQ(world.fault, "") << "run " << run << " step " << step;
        }
    }
}

TEST(UsageDutyTest, aWindowIsSealedOnceAndReportedWithTheSameFiguresAgain)
{
    usage_duty duty({.holder = "edge"});
    const auto usage = usageWith(10, 100);
    const time_point now{.nanoseconds = 1'000'000'000};
    // 3 s after the end of window 9.
    const unix_milliseconds trueNow = 53'000;
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, trueNow, usage)));
    EXPECT_FALSE(duty.tick(now, trueNow, usage)) << "one call at a time";
    duty.readCame(std::nullopt, 7, now);
    const auto append = std::get<append_duty>(*duty.tick(now, trueNow, usage));
    EXPECT_EQ(append.at, 7U);
    EXPECT_EQ(append.record.sealed.rbegin()->first, 9);
    duty.appendCame(log_appended{.offset = 7, .endOffset = 8}, now);
    const auto report = std::get<usage_report>(*duty.tick(now, trueNow, usage));
    EXPECT_EQ(report.window, 9);
    EXPECT_EQ(report.counts.at("account"), 10U);
    duty.reportCame(9, false, now);
    EXPECT_FALSE(duty.tick(now, trueNow, usage)) << "a pause after a failure";
    const auto more = usageWith(11, 100);
    const auto again
        = std::get<usage_report>(*duty.tick(now + milliseconds(600), trueNow + 600, more));
    EXPECT_EQ(again.counts.at("account"), 10U);
    EXPECT_EQ(again.fencing, report.fencing);
    duty.reportCame(9, true, now + milliseconds(700));
    EXPECT_FALSE(duty.tick(now + milliseconds(800), trueNow + 800, usage));
}

TEST(UsageDutyTest, aHolderWhoseTermIsOverRenewsItBeforeItReports)
{
    usage_duty duty({.holder = "edge"});
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 1'000'000'000};
    ASSERT_TRUE(duty.tick(now, 53'000, usage));
    duty.readCame(std::nullopt, 0, now);
    const auto first = std::get<append_duty>(*duty.tick(now, 53'000, usage));
    duty.appendCame(log_appended{.offset = 0, .endOffset = 1}, now);
    now = now + seconds(4);
    EXPECT_FALSE(duty.holds(now));
    const auto renewal = std::get<append_duty>(*duty.tick(now, 54'000, usage));
    EXPECT_EQ(renewal.record.fencing, first.record.fencing + 1);
    EXPECT_EQ(renewal.record.sealed, first.record.sealed);
}

TEST(UsageDutyTest, aSuccessorReportsWhatItsPredecessorSealed)
{
    duty_record left{.holder = "other", .fencing = 5, .nonce = "other#1", .reportedTo = 8};
    left.sealed[9]["account"] = 42;
    usage_duty duty({.holder = "edge"});
    const auto usage = usageWith(10, 100);
    time_point now{.nanoseconds = 1'000'000'000};
    ASSERT_TRUE(duty.tick(now, 61'000, usage));
    duty.readCame(left, 3, now);
    EXPECT_FALSE(duty.tick(now, 61'000, usage)) << "a term must pass first";
    now = now + seconds(4);
    ASSERT_TRUE(std::holds_alternative<read_duty>(*duty.tick(now, 65'000, usage)));
    duty.readCame(left, 3, now);
    const auto append = std::get<append_duty>(*duty.tick(now, 65'000, usage));
    EXPECT_EQ(append.at, 3U);
    EXPECT_EQ(append.record.fencing, 6U);
    duty.appendCame(log_appended{.offset = 3, .endOffset = 4}, now);
    const auto report = std::get<usage_report>(*duty.tick(now, 65'000, usage));
    EXPECT_EQ(report.window, 9);
    EXPECT_EQ(report.counts.at("account"), 42U);
}

TEST(UsageDutyTest, recordsAreReadBackAsWritten)
{
    duty_record record{.holder = "edge", .fencing = 3, .nonce = "edge#1", .reportedTo = 4};
    record.sealed[5] = {};
    record.sealed[6]["account"] = 7;
    EXPECT_EQ(decodeDutyRecord(encodeDutyRecord(record)), record);
    for (const auto *bytes : {"", "{", "[]", "{\"holder\":1}", "\xff\xfe"})
        EXPECT_EQ(decodeDutyRecord(bytes), std::nullopt) << bytes;
}

} // namespace
} // namespace mustardline
