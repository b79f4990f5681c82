#include "standin/load_run.h"

#include <gtest/gtest.h>

#include "standin/process_time.h"
#include "standin/testing/http_probe.h"
#include "standin/testing/process.h"

namespace mustardline::standin {
namespace {

TEST(LoadToolTest, computesQuantiles)
{
    std::vector<duration> samples;
    EXPECT_EQ(quantile(samples, 0.5), duration(0));
    for (int i = 0; i < 100; ++i)
        samples.emplace_back(i);
    EXPECT_EQ(quantile(samples, 0.5), duration(50));
    EXPECT_EQ(quantile(samples, 0.99), duration(99));
    EXPECT_EQ(quantile(samples, 1), duration(99));
}

TEST(LoadToolTest, readsTheCpuTimeOfAProcess)
{
    const auto before = processTime(getpid());
    // Consumes CPU time until the kernel has counted one tick.
    std::uint64_t sum = 0;
    while (processTime(getpid()) == before)
        ++sum;
    EXPECT_GT(processTime(getpid()), before);
    EXPECT_LT(processTime(getpid()) - before, std::chrono::seconds(1));
    EXPECT_EQ(processTime(0), duration(0));
}

TEST(LoadToolTest, sendsTheRequestsAndChecksEveryResponse)
{
    process engine({.program = programPath("standin-engine"),
                    .arguments = {"--first-token-ms", "1", "--token-ms", "1"}});
    const auto target = "127.0.0.1:" + engine.waitFor({.name = "listening"}).field("port");
    const auto run = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), {"--requests", "40", "--pids",
                                           std::to_string(engine.id()), "--target", target});
        process load({.program = programPath("standin-load"), .arguments = std::move(arguments)});
        const auto status = load.wait();
        return std::pair(status, load.output());
    };
    const auto closed = run({"--concurrency", "8"});
    EXPECT_EQ(closed.first, 0);
    EXPECT_TRUE(closed.second.starts_with("whole 40\nrefused 0\nfailed 0\nwrong 0\n"));
    EXPECT_NE(closed.second.find("cpu_ms pid " + std::to_string(engine.id())), std::string::npos);
    const auto open = run({"--rate", "1000"});
    EXPECT_EQ(open.first, 0);
    const auto refused = run({"--model", "none"});
    EXPECT_NE(refused.first, 0);
    EXPECT_TRUE(refused.second.starts_with("whole 0\nrefused 40\n"));
    // No run may send more than `--requests`, even if many responses end at the same time.
    http_probe probe;
    const auto received = probe.get(parseAddress(target), "/control/received").json();
    constexpr std::size_t sent = 120;
    EXPECT_EQ(received["count"], sent);
}

TEST(LoadToolTest, refusesTargetsOutsideLoopback)
{
    for (const auto *target : {"", "10.0.0.1:80", "127.0.0.1", "1270.0.0.1:80"}) {
        process load({.program = programPath("standin-load"), .arguments = {"--target", target}});
        EXPECT_EQ(load.wait(), 1) << target;
    }
}

} // namespace
} // namespace mustardline::standin
