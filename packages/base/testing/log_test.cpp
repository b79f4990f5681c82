#include "base/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace mustardline {
namespace {

constexpr log_event sampleEvent{1, "sample", log_level::info, "A sample."};
constexpr log_event debugEvent{2, "quiet", log_level::debug, "A debug sample."};

class LogTest : public testing::Test
{
protected:
    auto options(log_format format) -> log_options
    {
        return {.format = format,
                .process = "p",
                .sink = [this](std::string_view line) { m_lines.emplace_back(line); },
                .unixNow = [] { return 5; }};
    }

    std::vector<std::string> m_lines;
};

TEST_F(LogTest, writesKeyValueLines)
{
    logger log(options(log_format::key_value));
    log.write(sampleEvent, field("plain", 7), field("text", "two words"), field("empty", ""));
    ASSERT_EQ(m_lines.size(), 1U);
    EXPECT_EQ(m_lines[0],
              "time=5 level=info event=1 name=sample process=p plain=7 text=\"two words\" "
              "empty=\"\"");
}

TEST_F(LogTest, escapesNewlinesInValues)
{
    logger log(options(log_format::key_value));
    log.write(sampleEvent, field("text", "a\nevent=2 name=forged"));
    EXPECT_EQ(m_lines[0].find('\n'), std::string::npos);
}

TEST_F(LogTest, writesValidJson)
{
    logger log(options(log_format::json));
    log.write(sampleEvent, field("text", "quote \" and \xff byte"));
    const auto line = nlohmann::json::parse(m_lines[0]);
    EXPECT_EQ(line["event"], 1);
    EXPECT_EQ(line["process"], "p");
}

TEST_F(LogTest, dropsEventsBelowTheMinimumLevel)
{
    logger log(options(log_format::key_value));
    log.write(debugEvent);
    EXPECT_TRUE(m_lines.empty());
}

} // namespace
} // namespace mustardline
