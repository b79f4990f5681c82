#include "forwarding/event_cutter.h"

#include <random>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

TEST(EventCutterTest, passesWholeEventsAndKeepsTheOpenOne)
{
    event_cutter cutter;
    EXPECT_EQ(cutter.take("id: 1\nda"), "");
    EXPECT_EQ(cutter.lastId(), "");
    EXPECT_EQ(cutter.take("ta: a\n\nid: 2\n"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.lastId(), "1");
    EXPECT_EQ(cutter.take("data: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(cutter.lastId(), "2");
    EXPECT_EQ(cutter.take("id: 3"), "");
    EXPECT_EQ(cutter.lastId(), "2");
    EXPECT_EQ(cutter.rest(), "id: 3");
    EXPECT_TRUE(cutter.canContinue());
}

TEST(EventCutterTest, takesIdsOfLinesOnly)
{
    event_cutter cutter;
    static_cast<void>(cutter.take("id:7\r\ndata: x id: 8\r\n\r\n"));
    EXPECT_EQ(cutter.lastId(), "7");
    static_cast<void>(cutter.take("data: no id of its own\n\n"));
    EXPECT_EQ(cutter.lastId(), "7");
}

TEST(EventCutterTest, bytesPassUnchangedHoweverTheyArrive)
{
    std::string stream;
    for (auto number = 0; number < 50; ++number)
        stream
            += "id: " + std::to_string(number) + "\ndata: " + std::string(number % 9, 'x') + "\n\n";
    stream += "id: 50\ndata: open";
    std::mt19937 random(1);
    for (auto round = 0; round < 200; ++round) {
        event_cutter cutter;
        std::string passed;
        std::string_view left = stream;
        while (!left.empty()) {
            const auto length = std::min<std::size_t>(left.size(), 1 + random() % 40);
            passed += cutter.take(left.substr(0, length));
            left.remove_prefix(length);
            EXPECT_TRUE(passed.empty() || passed.ends_with("\n\n"));
        }
        EXPECT_EQ(cutter.lastId(), "49");
        EXPECT_EQ(passed + cutter.rest(), stream);
    }
}

TEST(EventCutterTest, anotherFormatPassesAsItComesAndCannotBeContinued)
{
    event_cutter cutter;
    const std::string much(300U << 10U, 'x');
    EXPECT_EQ(cutter.take(much), much);
    EXPECT_EQ(cutter.take("more"), "more");
    EXPECT_FALSE(cutter.canContinue());
}

} // namespace
} // namespace mustardline
