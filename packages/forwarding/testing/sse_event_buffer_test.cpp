#include "forwarding/sse_event_buffer.h"

#include <random>

#include <gtest/gtest.h>

#include "base/testing/thread_cost.h"

namespace mustardline {
namespace {

TEST(SseEventBufferTest, returnsCompleteEventsAndKeepsTheIncompleteOne)
{
    sse_event_buffer buffer;
    EXPECT_EQ(buffer.feed("id: 1\nda"), "");
    EXPECT_EQ(buffer.lastId(), "");
    EXPECT_EQ(buffer.feed("ta: a\n\nid: 2\n"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(buffer.lastId(), "1");
    EXPECT_EQ(buffer.feed("data: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(buffer.lastId(), "2");
    EXPECT_EQ(buffer.feed("id: 3"), "");
    EXPECT_EQ(buffer.lastId(), "2");
    EXPECT_EQ(buffer.takeRemainder(), "id: 3");
    EXPECT_TRUE(buffer.canResume());
}

TEST(SseEventBufferTest, readsIdsOnlyAtTheStartOfALine)
{
    sse_event_buffer buffer;
    static_cast<void>(buffer.feed("id:7\r\ndata: x id: 8\r\n\r\n"));
    EXPECT_EQ(buffer.lastId(), "7");
    static_cast<void>(buffer.feed("data: no id of its own\n\n"));
    EXPECT_EQ(buffer.lastId(), "7");
}

TEST(SseEventBufferTest, bytesAreUnchangedForAnyChunking)
{
    std::string stream;
    for (auto number = 0; number < 50; ++number)
        stream
            += "id: " + std::to_string(number) + "\ndata: " + std::string(number % 9, 'x') + "\n\n";
    stream += "id: 50\ndata: open";
    std::mt19937 random(1);
    for (auto round = 0; round < 200; ++round) {
        sse_event_buffer buffer;
        std::string passed;
        std::string_view left = stream;
        while (!left.empty()) {
            const auto length = std::min<std::size_t>(left.size(), 1 + random() % 40);
            passed += buffer.feed(left.substr(0, length));
            left.remove_prefix(length);
            EXPECT_TRUE(passed.empty() || passed.ends_with("\n\n"));
        }
        EXPECT_EQ(buffer.lastId(), "49");
        EXPECT_EQ(passed + buffer.takeRemainder(), stream);
    }
}

// Cost of an event without an end that arrives in pieces of four bytes.
auto costOfEndlessEvent(std::size_t bytes) -> double
{
    return leastCost([bytes] {
        sse_event_buffer buffer;
        for (std::size_t fed = 0; fed < bytes; fed += 4)
            EXPECT_TRUE(buffer.feed("abc ").empty());
    });
}

// Guards against a stream without the end of an event that stops the process: each piece of it was
// searched for that end together with everything before it.
TEST(SseEventBufferTest, costOfAnEventGrowsWithItsSizeAlone)
{
    constexpr std::size_t bytes = 25U << 10U;
    constexpr std::size_t factor = 8;
    EXPECT_LT(costOfEndlessEvent(bytes * factor), costOfEndlessEvent(bytes) * factor * 3);
}

TEST(SseEventBufferTest, findsAnEndThatArrivesInPieces)
{
    for (const std::string end : {"\n\n", "\r\n\r\n"}) {
        sse_event_buffer buffer;
        EXPECT_EQ(buffer.feed("id: 1"), "");
        for (std::size_t index = 0; index + 1 < end.size(); ++index)
            EXPECT_EQ(buffer.feed(end.substr(index, 1)), "");
        EXPECT_EQ(buffer.feed(end.substr(end.size() - 1)), "id: 1" + end);
    }
}

TEST(SseEventBufferTest, otherFormatsPassThroughAndCannotBeResumed)
{
    sse_event_buffer buffer;
    const std::string much(300U << 10U, 'x');
    EXPECT_EQ(buffer.feed(much), much);
    EXPECT_EQ(buffer.feed("more"), "more");
    EXPECT_FALSE(buffer.canResume());
}

} // namespace
} // namespace mustardline
