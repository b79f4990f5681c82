#include "entry/events.h"

#include <gtest/gtest.h>

#include "base/testing/docs_table.h"

namespace mustardline {
namespace {

TEST(EntryEventsTest, documentationListsExactlyTheEvents)
{
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/EVENTS.md", "## entry"),
              eventRows(entryEvents));
}

} // namespace
} // namespace mustardline
