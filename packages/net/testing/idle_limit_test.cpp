#include "net/idle_limit.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

using namespace std::chrono_literals;

const socket_address first{.host = "10.0.0.1", .port = 1};
const socket_address second{.host = "10.0.0.2", .port = 1};
constexpr time_point start{.nanoseconds = 1'000'000'000'000};

// Load pattern: peers drop connections that were idle for some hundred milliseconds.
TEST(IdleLimitTest, resetByALivingPeerShortensTheLimitForAWhile)
{
    idle_limit limit({.maxIdle = 30s, .resetDivisor = 8, .memory = 20s});
    EXPECT_EQ(limit.current(start), 30s);
    limit.recordReset(first, 800ms, start);
    EXPECT_EQ(limit.current(start), 30s) << "the peer may have crashed";
    limit.recordResponse(second, start + 1ms);
    EXPECT_EQ(limit.current(start + 1ms), 30s) << "another peer says nothing of the first";
    limit.recordResponse(first, start + 10ms);
    EXPECT_EQ(limit.current(start + 10ms), 100ms);
    limit.recordReset(second, 4s, start + 20ms);
    limit.recordResponse(second, start + 30ms);
    EXPECT_EQ(limit.current(start + 30ms), 100ms) << "the shortest one counts";
    EXPECT_EQ(limit.current(start + 30ms + 20s), 30s);
}

// Guards against connections that are given up everywhere because one peer crashed.
TEST(IdleLimitTest, crashOfAPeerTeachesNothing)
{
    idle_limit limit({.maxIdle = 30s, .confirmationTime = 2s});
    limit.recordReset(first, 1s, start);
    limit.recordResponse(first, start + 3s);
    EXPECT_EQ(limit.current(start + 3s), 30s);
    limit.recordReset(first, 1s, start + 4s);
    limit.discardOld(start + 7s);
    limit.recordResponse(first, start + 7s);
    EXPECT_EQ(limit.current(start + 7s), 30s);
}

} // namespace
} // namespace mustardline
