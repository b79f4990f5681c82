#include "base/log_output.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

class LogOutputTest : public testing::Test
{
protected:
    LogOutputTest() { EXPECT_EQ(pipe2(m_pipe.data(), 0), 0); }
    ~LogOutputTest() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }
    LogOutputTest(const LogOutputTest &) = delete;
    auto operator=(const LogOutputTest &) -> LogOutputTest & = delete;

    // Everything that is in the pipe at present.
    auto readAll() -> std::string
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t count = 0; (count = read(m_pipe[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

    std::array<int, 2> m_pipe{};
};

TEST_F(LogOutputTest, writesLinesOnFlush)
{
    log_output output({.descriptor = m_pipe[1]});
    output.add("one");
    output.add("two");
    EXPECT_EQ(readAll(), "");
    output.flush();
    EXPECT_EQ(readAll(), "one\ntwo\n");
}

// The descriptor is in blocking mode: a write that blocked would hang the test.
TEST_F(LogOutputTest, dropsLinesInsteadOfBlockingOnASlowReader)
{
    log_output output({.descriptor = m_pipe[1], .maxBufferBytes = 64U << 10U});
    const std::string line(100, 'x');
    constexpr auto lines = 100'000;
    for (auto i = 0; i < lines; ++i)
        output.add(line);
    output.flush();
    EXPECT_GT(output.droppedLines(), 0U);
    std::string text;
    for (auto round = 0; round < 20; ++round) {
        text += readAll();
        output.flush();
    }
    const auto written = static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
    // Every line is either written or counted as dropped; one more line reports the number dropped.
    EXPECT_EQ(written + output.droppedLines(), lines + 1U);
    EXPECT_NE(text.find("log_lines_dropped lines="), std::string::npos);
}

} // namespace
} // namespace mustardline
