// Tests in which phases a request may be placed.

#include <gtest/gtest.h>

#include "entry/live_request.h"

namespace mustardline {
namespace {

// Guards against a request that runs at two agents because the dispatcher places it while an
// attempt is in progress.
TEST(LiveRequestTest, onlyQueuedRequestsThatHaveNotRunMayBePlaced)
{
    struct phase_case
    {
        live_phase phase;
        bool mayHaveRun;
        bool expectedResult;
    };
    const phase_case cases[]{
        {live_phase::claiming, false, false}, {live_phase::claiming, true, false},
        {live_phase::queued, false, true},    {live_phase::queued, true, false},
        {live_phase::placed, false, false},   {live_phase::placed, true, false},
        {live_phase::fetching, false, false}, {live_phase::fetching, true, false},
    };
    for (const auto &each : cases) {
        live_request live;
        live.phase = each.phase;
        live.mayHaveRun = each.mayHaveRun;
        EXPECT_EQ(awaitsPlacement(live), each.expectedResult)
            << static_cast<int>(each.phase) << " " << each.mayHaveRun;
        live.hasRun = true;
        EXPECT_FALSE(awaitsPlacement(live)) << "an agent reported that it ran";
    }
}

} // namespace
} // namespace mustardline
