#include "standin/testing/process.h"

#include <gtest/gtest.h>

#include "base/log.h"
#include "standin/testing/http_probe.h"

namespace mustardline::standin {
namespace {

auto startService() -> process_options
{
    return {.program = programPath("standin-service"), .arguments = {"--port", "0"}};
}

auto addressOf(process &started) -> socket_address
{
    const auto port = started.waitFor({.name = "listening"}).field("port");
    return parseAddress("127.0.0.1:" + port);
}

TEST(LogLineTest, parsesWhatTheLoggerWrites)
{
    std::string text;
    logger log({.process = "p", .sink = [&](std::string_view line) { text = line; }});
    const auto values = std::to_array<std::string>(
        {"plain", "", "two words", "a=b", R"(quote " and \ slash)", "line\nbreak", "\\"});
    constexpr log_event event{1, "tested", log_level::info, ""};
    for (const auto &value : values) {
        log.write(event, field("first", value), field("last", 7));
        const log_line line(text);
        EXPECT_EQ(line.field("name"), "tested");
        EXPECT_EQ(line.field("first"), value);
        EXPECT_EQ(line.field("last"), "7");
        EXPECT_EQ(line.field("absent"), "");
        EXPECT_TRUE((event_pattern{.name = "tested", .fields = {{"last", "7"}}}.matches(line)));
        EXPECT_FALSE((event_pattern{.name = "tested", .fields = {{"last", "8"}}}.matches(line)));
    }
}

TEST(ProcessTest, exitsCleanlyOnSigterm)
{
    process service(startService());
    addressOf(service);
    EXPECT_EQ(service.terminate(), 0);
    EXPECT_TRUE(service.hasEnded());
    EXPECT_EQ(service.count({.name = "stopped"}), 1U);
}

TEST(ProcessTest, killEndsTheProcess)
{
    process service(startService());
    addressOf(service);
    service.kill();
    EXPECT_EQ(service.wait(), 128 + SIGKILL);
    EXPECT_THROW(service.waitFor({.name = "stopped"}), harness_error);
}

TEST(ProcessTest, frozenProcessRespondsOnceThawed)
{
    process service(startService());
    const auto address = addressOf(service);
    http_probe probe;
    service.freeze();
    EXPECT_FALSE(
        probe.call(address, {.path = "/x", .idleTimeout = std::chrono::milliseconds(50)}).whole);
    service.thaw();
    EXPECT_EQ(probe.get(address, "/x").status, 200);
}

TEST(ProcessTest, collectsTheOutputOfACommand)
{
    process command({.program = programPath("standin-service"), .arguments = {"--version"}});
    EXPECT_EQ(command.wait(), 0);
    EXPECT_NE(command.output().find("0.1.0"), std::string::npos);
}

TEST(ProcessTest, missingProgramThrows)
{
    EXPECT_THROW(process({.program = programPath("standin-none")}), harness_error);
}

} // namespace
} // namespace mustardline::standin
