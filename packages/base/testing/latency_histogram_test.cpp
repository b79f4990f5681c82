#include "base/latency_histogram.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

TEST(LatencyHistogramTest, bucketsAreCumulative)
{
    counters metrics;
    latency_histogram latency(metrics, {.name = "took", .help = "Time.", .labels = "kind=\"a\""});
    for (const auto milliseconds : {1, 5, 6, 30'000})
        latency.observe(std::chrono::milliseconds(milliseconds));
    const auto text = metrics.text();
    EXPECT_NE(text.find("took_bucket{kind=\"a\",le=\"0.005\"} 2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("took_bucket{kind=\"a\",le=\"0.01\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("took_bucket{kind=\"a\",le=\"20.48\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("took_bucket{kind=\"a\",le=\"+Inf\"} 4\n"), std::string::npos) << text;
    EXPECT_NE(text.find("took_milliseconds_sum{kind=\"a\"} 30012\n"), std::string::npos) << text;
}

} // namespace
} // namespace mustardline
