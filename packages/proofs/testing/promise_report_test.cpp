// Runs after the other tests of the promise label: prints the sum of their counts.

#include <gtest/gtest.h>

#include "proofs/testing/promise_tally.h"

namespace mustardline::proofs {

namespace {

TEST(PromiseReport, nothingWasLostDoubledCutOrWronglyRefused)
{
    promise_counts sum;
    auto programs = 0;
    for (const auto &file : std::filesystem::directory_iterator(tallyDirectory)) {
        std::ifstream stream(file.path());
        const auto counts = nlohmann::json::parse(stream).get<promise_counts>();
        ++programs;
        sum.faults += counts.faults;
        sum.sent += counts.sent;
        sum.lost += counts.lost;
        sum.doubled += counts.doubled;
        sum.cut += counts.cut;
        sum.wronglyRefused += counts.wronglyRefused;
    }
    std::cout << "programs " << programs << ", faults injected " << sum.faults << ", requests sent "
              << sum.sent << ", lost " << sum.lost << ", doubled " << sum.doubled << ", cut "
              << sum.cut << ", wrongly refused " << sum.wronglyRefused << std::endl;
    EXPECT_GT(programs, 0);
    EXPECT_EQ(sum.lost, 0U);
    EXPECT_EQ(sum.doubled, 0U);
    EXPECT_EQ(sum.cut, 0U);
    EXPECT_EQ(sum.wronglyRefused, 0U);
}

} // namespace

} // namespace mustardline::proofs
