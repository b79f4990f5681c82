#include "standin/events.h"

#include <gtest/gtest.h>

#include "base/testing/docs_table.h"

namespace mustardline::standin {
namespace {

TEST(StandinEventsTest, documentationListsExactlyTheEvents)
{
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/EVENTS.md", "## standin"),
              eventRows(events));
}

} // namespace
} // namespace mustardline::standin
