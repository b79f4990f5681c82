// Tests of opening ports that another socket may hold, with ports that fail as often as told.

#include "forwarding/port_opening.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using std::chrono::milliseconds;

class PortOpeningTest : public testing::Test
{
protected:
    // A port that cannot be opened `failures` times.
    auto portOf(const std::string &name, int failures) -> opened_port
    {
        return {.name = name,
                .address = {.host = "127.0.0.1", .port = 7000},
                .listen = [this, name, left = failures]() mutable -> result<std::uint16_t> {
                    m_tries.push_back(name);
                    if (left-- > 0)
                        return error{.code = result_code::listen_failed, .message = "held"};
                    return std::uint16_t(7000);
                }};
    }

    auto open(port_opening_options options, std::vector<opened_port> ports) -> void
    {
        options.retryInterval = milliseconds(1);
        options.lineInterval = milliseconds(4);
        port_opening opening(m_loop, m_log, options);
        opening.onOpen = [this] { end("open"); };
        opening.onGivenUp = [this](const error &failure) { end("given up: " + failure.message); };
        opening.open(std::move(ports));
        if (m_end.empty())
            m_loop.run();
    }

    auto end(const std::string &how) -> void
    {
        m_end += how;
        m_loop.stop();
    }

    // The number of lines that hold `text`.
    [[nodiscard]] auto lineCount(const std::string &text) const -> std::int64_t
    {
        return std::ranges::count_if(
            m_lines, [&text](const auto &line) { return line.find(text) != std::string::npos; });
    }

    event_loop m_loop;
    std::vector<std::string> m_lines;
    logger m_log{{.sink = [this](std::string_view line) { m_lines.emplace_back(line); }}};
    std::vector<std::string> m_tries;
    std::string m_end;
};

TEST_F(PortOpeningTest, freePortsAreOpenAtOnceAndWithoutALine)
{
    open({.waitLimit = milliseconds(10)}, {portOf("a", 0), portOf("b", 0)});
    EXPECT_EQ(m_end, "open");
    EXPECT_EQ(m_tries, (std::vector<std::string>{"a", "b"}));
    EXPECT_TRUE(m_lines.empty());
}

// Guards against a port that callers reach before what it depends on is there.
TEST_F(PortOpeningTest, aPortIsTriedOnceThoseBeforeItAreOpen)
{
    open({.waitLimit = milliseconds(10)}, {portOf("a", 2), portOf("b", 1)});
    EXPECT_EQ(m_end, "open");
    EXPECT_EQ(m_tries, (std::vector<std::string>{"a", "a", "a", "b", "b"}));
}

// Guards against a wait without an end, and against one that begins anew with each port.
TEST_F(PortOpeningTest, aWaitIsBoundedForAllPortsTogether)
{
    open({.waitLimit = milliseconds(10)}, {portOf("a", 6), portOf("b", 100)});
    EXPECT_EQ(m_end, "given up: held");
    EXPECT_EQ(std::ranges::count(m_tries, "a"), 7);
    EXPECT_EQ(std::ranges::count(m_tries, "b"), 5);
}

TEST_F(PortOpeningTest, eachLineNamesPortAddressAndTheTimeThatIsLeft)
{
    open({.waitLimit = milliseconds(10)}, {portOf("a", 100)});
    EXPECT_EQ(lineCount("name=port_held"), 3);
    EXPECT_EQ(lineCount("port=a address=127.0.0.1:7000 reason=held"), 3);
    for (const std::string left : {"10", "6", "2"})
        EXPECT_EQ(lineCount("gives_up_after_ms=" + left), 1) << left;
}

TEST_F(PortOpeningTest, withoutALimitAPortIsNeverGivenUp)
{
    constexpr int failures = 100;
    open({}, {portOf("a", failures)});
    EXPECT_EQ(m_end, "open");
    EXPECT_EQ(m_tries.size(), failures + 1U);
    EXPECT_EQ(lineCount("gives_up_after_ms=never"), failures / 4);
}

} // namespace
} // namespace mustardline
