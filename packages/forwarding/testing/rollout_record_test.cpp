// Tests of the record of a roll-out: several writers, a lost one, and a store that is away.

#include "forwarding/rollout_record.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};
constexpr std::uint64_t order = 7;

auto wishFor(rollout_verdict verdict, duration delay = {}) -> rollout_wish
{
    return {.status = {.verdict = verdict, .version = "v2", .order = order}, .delay = delay};
}

// The topic with the record, under the condition of an append.
struct fake_topic
{
    std::optional<rollout_status> status;
    std::uint64_t end = 0;
    std::uint64_t era = 0;

    [[nodiscard]] auto position() const -> log_position { return {.era = era, .offset = end}; }

    auto append(const append_rollout &action) -> log_append_outcome
    {
        if (action.at.offset != end)
            return log_append_conflict{.end = position()};
        status = action.status;
        ++end;
        return log_appended{.first = action.at, .end = position()};
    }
};

// Executes the actions of a record until it has none.
auto settle(rollout_record &record, fake_topic &topic, const rollout_wish &wish, time_point now)
    -> void
{
    for (auto action = record.tick(now, wish); action; action = record.tick(now, wish)) {
        if (const auto *append = std::get_if<append_rollout>(&*action))
            record.onAppend(topic.append(*append), now);
        else
            record.onRead(topic.status, topic.position(), now);
    }
}

TEST(RolloutRecordTest, stateIsWrittenAndThenTheVerdict)
{
    fake_topic topic;
    rollout_record record(order);
    settle(record, topic, wishFor(rollout_verdict::in_progress), start);
    EXPECT_EQ(topic.status, wishFor(rollout_verdict::in_progress).status);
    settle(record, topic, wishFor(rollout_verdict::completed), start + seconds(9));
    EXPECT_EQ(topic.status->verdict, rollout_verdict::completed);
    EXPECT_EQ(topic.end, 2U);
}

// Two processes that judged differently must not overwrite each other.
TEST(RolloutRecordTest, firstFinalVerdictHolds)
{
    fake_topic topic;
    rollout_record first(order);
    rollout_record second(order);
    settle(first, topic, wishFor(rollout_verdict::in_progress), start);
    settle(second, topic, wishFor(rollout_verdict::in_progress), start);
    // Both have read the same state, and write.
    const auto one = first.tick(start, wishFor(rollout_verdict::rolled_back));
    const auto other = second.tick(start, wishFor(rollout_verdict::completed));
    ASSERT_TRUE(one && other);
    first.onAppend(topic.append(std::get<append_rollout>(*one)), start);
    second.onAppend(topic.append(std::get<append_rollout>(*other)), start);
    settle(second, topic, wishFor(rollout_verdict::completed), start);
    EXPECT_EQ(topic.status->verdict, rollout_verdict::rolled_back);
    ASSERT_TRUE(second.status());
    EXPECT_EQ(second.status()->verdict, rollout_verdict::rolled_back);
}

// A process that takes over, or has just started, goes on from the record.
TEST(RolloutRecordTest, nextWriterReadsBackWhatTheLostOneWrote)
{
    fake_topic topic;
    rollout_record lost(order);
    settle(lost, topic, wishFor(rollout_verdict::rolled_back), start);
    rollout_record next(order);
    EXPECT_FALSE(next.isKnown());
    settle(next, topic, wishFor(rollout_verdict::in_progress, seconds(1)), start);
    EXPECT_EQ(next.status()->verdict, rollout_verdict::rolled_back);
    settle(next, topic, wishFor(rollout_verdict::completed), start + seconds(5));
    EXPECT_EQ(topic.end, 1U);
}

TEST(RolloutRecordTest, processesOfHigherRankWriteOnlyIfTheFirstDoesNot)
{
    fake_topic topic;
    rollout_record record(order);
    const auto wish = wishFor(rollout_verdict::in_progress, milliseconds(800));
    settle(record, topic, wish, start);
    EXPECT_EQ(topic.end, 0U);
    settle(record, topic, wish, start + milliseconds(900));
    EXPECT_EQ(topic.end, 1U);
}

// An append without a response may have taken effect, so it is not simply repeated.
TEST(RolloutRecordTest, unansweredAppendIsReadBack)
{
    fake_topic topic;
    rollout_record record(order);
    const auto wish = wishFor(rollout_verdict::rolled_back);
    ASSERT_TRUE(record.tick(start, wish));
    record.onRead(topic.status, topic.position(), start);
    const auto action = record.tick(start, wish);
    ASSERT_TRUE(action);
    static_cast<void>(topic.append(std::get<append_rollout>(*action)));
    record.onAppend(log_unavailable{.mayHaveTakenEffect = true}, start);
    EXPECT_FALSE(record.tick(start + milliseconds(100), wish));
    settle(record, topic, wish, start + seconds(1));
    EXPECT_EQ(topic.end, 1U);
    EXPECT_EQ(record.status()->verdict, rollout_verdict::rolled_back);
}

TEST(RolloutRecordTest, storeThatIsAwayIsAskedAgainLater)
{
    fake_topic topic;
    rollout_record record(order);
    const auto wish = wishFor(rollout_verdict::in_progress);
    ASSERT_TRUE(record.tick(start, wish));
    record.onReadFailed(start);
    EXPECT_FALSE(record.tick(start + milliseconds(100), wish));
    EXPECT_FALSE(record.isKnown());
    settle(record, topic, wish, start + seconds(1));
    EXPECT_EQ(topic.end, 1U);
}

// The operator may order the next roll-out of a service whose last one has a verdict.
TEST(RolloutRecordTest, recordOfAnEarlierOrderIsReplaced)
{
    fake_topic topic;
    topic.status = rollout_status{.verdict = rollout_verdict::rolled_back, .order = order - 1};
    topic.end = 1;
    rollout_record record(order);
    settle(record, topic, wishFor(rollout_verdict::in_progress), start);
    EXPECT_EQ(topic.status->order, order);
}

// The same order after the log came back from an older copy.
constexpr log_position orderAgain{.era = 1, .offset = 3};

auto renewedWish(rollout_verdict verdict) -> rollout_wish
{
    auto wish = wishFor(verdict);
    wish.status.order = orderAgain.number();
    return wish;
}

// Guards against a final verdict that is lost with the copy, so that the operator never sees it.
TEST(RolloutRecordTest, verdictThatTheLogHasLostIsWrittenAgain)
{
    fake_topic topic;
    rollout_record record(order, "v2");
    settle(record, topic, wishFor(rollout_verdict::in_progress), start);
    const auto copy = topic;
    settle(record, topic, wishFor(rollout_verdict::completed), start + seconds(9));
    topic = copy;
    topic.era = 1;
    record.renew(orderAgain.number(), start + seconds(10));
    settle(record, topic, renewedWish(rollout_verdict::rolled_back), start + seconds(10));
    EXPECT_EQ(topic.status->verdict, rollout_verdict::completed);
    EXPECT_EQ(topic.status->order, orderAgain.number());
    // A copy that still holds it is left alone.
    const auto end = topic.end;
    record.renew(log_position{.era = 2, .offset = 3}.number(), start + seconds(20));
    topic.era = 2;
    settle(record, topic, renewedWish(rollout_verdict::completed), start + seconds(20));
    EXPECT_EQ(topic.end, end);
}

// Guards against a process that starts after a drill and orders an ended roll-out again, because
// the record names the order by its earlier position.
TEST(RolloutRecordTest, recordOfAnEarlierEraAnswersTheSameOrder)
{
    fake_topic topic{
        .status
        = rollout_status{.verdict = rollout_verdict::rolled_back, .version = "v2", .order = order},
        .end = 1,
        .era = 1};
    rollout_record same(orderAgain.number(), "v2");
    settle(same, topic, renewedWish(rollout_verdict::in_progress), start);
    ASSERT_TRUE(same.status());
    EXPECT_EQ(same.status()->verdict, rollout_verdict::rolled_back);
    EXPECT_EQ(topic.end, 1U);
    rollout_record another(orderAgain.number(), "v3");
    settle(another, topic, renewedWish(rollout_verdict::in_progress), start);
    EXPECT_EQ(topic.end, 2U);
}

} // namespace
} // namespace mustardline
