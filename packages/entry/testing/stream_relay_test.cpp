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

TEST(StreamRelayTest, passesWholeEventsInEverySplit)
{
    const auto whole = answer("1");
    for (std::size_t split = 0; split <= whole.size(); ++split) {
        stream_relay relay;
        auto first = relay.take(std::string_view(whole).substr(0, split));
        const auto second = relay.take(std::string_view(whole).substr(split));
        EXPECT_EQ(first.pass + second.pass, whole) << split;
        EXPECT_EQ(first.events + second.events, 4U);
        EXPECT_TRUE(first.pass.empty() || first.pass.ends_with("\n\n"));
    }
}

TEST(StreamRelayTest, p10GoesOnFromAnotherAttemptWhereverTheFirstWasCut)
{
    const auto whole = answer("1");
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        stream_relay relay;
        auto seen = relay.take(std::string_view(whole).substr(0, cut)).pass;
        ASSERT_TRUE(relay.restart());
        const auto part = relay.take(answer("2"));
        EXPECT_FALSE(part.differs);
        seen += part.pass;
        // The caller has each choice once and in order; only ids tell the attempts apart.
        for (auto at = seen.find(R"("id":"2")"); at != std::string::npos;
             at = seen.find(R"("id":"2")"))
            seen[at + 6] = '1';
        EXPECT_EQ(seen, whole) << cut;
    }
}

TEST(StreamRelayTest, p10AnotherAnswerIsNotContinued)
{
    stream_relay relay;
    (void)relay.take(chunk("1", "a") + chunk("1", "b"));
    ASSERT_TRUE(relay.restart());
    EXPECT_FALSE(relay.take(chunk("2", "a")).differs);
    const auto part = relay.take(chunk("2", "x"));
    EXPECT_TRUE(part.differs);
    EXPECT_EQ(part.pass, "");
}

TEST(StreamRelayTest, anAnswerThatIsNotKeptIsNotContinued)
{
    stream_relay relay({.maxKeptBytes = 10});
    EXPECT_EQ(relay.take(answer("1")).pass, answer("1"));
    EXPECT_FALSE(relay.restart());
}

TEST(StreamRelayTest, anAgentsStopIsNotPassedOnNorThePartBeforeIt)
{
    for (const std::string partial : {"", "data: {\"choi"}) {
        stream_relay relay;
        const auto part = relay.take(chunk("1", "a") + partial + "\n: mustardline-result 306\n\n");
        EXPECT_EQ(part.pass, chunk("1", "a"));
        ASSERT_TRUE(part.stopped);
        EXPECT_EQ(*part.stopped, result_code::preempted);
    }
}

} // namespace
} // namespace mustardline
