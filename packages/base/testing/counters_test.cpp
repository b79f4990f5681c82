#include "base/counters.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

TEST(CountersTest, printsOneHelpLinePerName)
{
    counters metrics;
    metrics.add({.name = "a_total", .help = "A.", .labels = "tier=\"1\""}).increment();
    metrics.add({.name = "b", .help = "B.", .kind = counter_kind::gauge}).set(-3);
    metrics.add({.name = "a_total", .help = "A.", .labels = "tier=\"2\""}).increment(4);
    EXPECT_EQ(metrics.text(), "# HELP a_total A.\n# TYPE a_total counter\n"
                              "a_total{tier=\"1\"} 1\na_total{tier=\"2\"} 4\n"
                              "# HELP b B.\n# TYPE b gauge\nb -3\n");
}

TEST(CountersTest, addReturnsExistingCounterForSameNameAndLabels)
{
    counters metrics;
    auto &first = metrics.add({.name = "a", .help = ""});
    for (int i = 0; i < 100; ++i)
        metrics.add({.name = "other" + std::to_string(i), .help = ""});
    EXPECT_EQ(&first, &metrics.add({.name = "a", .help = ""}));
}

} // namespace
} // namespace mustardline
