#include "entry/stream_relay.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

auto chunk(const std::string &id, const std::string &text) -> std::string
{
    return R"(data: {"id":")" + id + R"(","choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
}

auto answer(const std::string &id) -> std::string
{
    return chunk(id, "a") + chunk(id, "b") + chunk(id, "c") + "data: [DONE]\n\n";
}

TEST(StreamRelayTest, relaysCompleteEventsHoweverTheInputIsSplit)
{
    const auto complete = answer("1");
    for (std::size_t split = 0; split <= complete.size(); ++split) {
        stream_relay relay;
        auto first = relay.process(std::string_view(complete).substr(0, split));
        const auto second = relay.process(std::string_view(complete).substr(split));
        EXPECT_EQ(first.output + second.output, complete) << split;
        EXPECT_EQ(first.events + second.events, 4U);
        EXPECT_TRUE(first.output.empty() || first.output.ends_with("\n\n"));
    }
}

TEST(StreamRelayTest, p10NextAttemptContinuesTheStreamWhereverTheFirstWasCut)
{
    const auto complete = answer("1");
    for (std::size_t cut = 0; cut <= complete.size(); ++cut) {
        stream_relay relay;
        auto seen = relay.process(std::string_view(complete).substr(0, cut)).output;
        ASSERT_TRUE(relay.restart());
        const auto part = relay.process(answer("2"));
        EXPECT_FALSE(part.diverges);
        seen += part.output;
        // The caller gets each choice once and in order; only the ids differ between the attempts.
        for (auto at = seen.find(R"("id":"2")"); at != std::string::npos;
             at = seen.find(R"("id":"2")"))
            seen[at + 6] = '1';
        EXPECT_EQ(seen, complete) << cut;
    }
}

TEST(StreamRelayTest, p10DifferentAnswerIsNotContinued)
{
    stream_relay relay;
    (void)relay.process(chunk("1", "a") + chunk("1", "b"));
    ASSERT_TRUE(relay.restart());
    EXPECT_FALSE(relay.process(chunk("2", "a")).diverges);
    const auto part = relay.process(chunk("2", "x"));
    EXPECT_TRUE(part.diverges);
    EXPECT_EQ(part.output, "");
}

TEST(StreamRelayTest, answerOverTheRetainedLimitIsNotContinued)
{
    stream_relay relay({.maxRetainedBytes = 10});
    EXPECT_EQ(relay.process(answer("1")).output, answer("1"));
    EXPECT_FALSE(relay.restart());
}

TEST(StreamRelayTest, stopCommentAndIncompleteEventBeforeItAreNotRelayed)
{
    for (const std::string partial : {"", "data: {\"choi"}) {
        stream_relay relay;
        const auto part
            = relay.process(chunk("1", "a") + partial + "\n: mustardline-result 306\n\n");
        EXPECT_EQ(part.output, chunk("1", "a"));
        ASSERT_TRUE(part.stopCode);
        EXPECT_EQ(*part.stopCode, result_code::preempted);
    }
}

} // namespace
} // namespace mustardline
