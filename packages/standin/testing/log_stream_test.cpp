#include "standin/log_stream.h"

#include <gtest/gtest.h>

namespace mustardline::standin {
namespace {

using entries = std::vector<log_stream::entry>;

TEST(LogStreamTest, offsetsStartAtOne)
{
    log_stream stream;
    EXPECT_EQ(stream.nextOffset(), 1U);
    EXPECT_EQ(stream.oldestOffset(), 1U);
    EXPECT_EQ(stream.append(std::to_array<std::string>({"a", "b"})), 1U);
    EXPECT_EQ(stream.append(std::to_array<std::string>({"c"})), 3U);
    EXPECT_EQ(stream.read(2, 10), (entries{{2, "b"}, {3, "c"}}));
    EXPECT_EQ(stream.read(1, 2), (entries{{1, "a"}, {2, "b"}}));
    EXPECT_EQ(stream.read(4, 10), entries{});
}

TEST(LogStreamTest, retentionKeepsTheNewestRecordsAndTheirOffsets)
{
    for (std::size_t keep = 0; keep <= 4; ++keep) {
        log_stream stream;
        stream.append(std::to_array<std::string>({"a", "b", "c"}));
        stream.setRetention(keep);
        const auto kept = std::min<std::size_t>(keep, 3);
        EXPECT_EQ(stream.oldestOffset(), 4 - kept);
        EXPECT_EQ(stream.nextOffset(), 4U);
        EXPECT_EQ(stream.read(1, 10).size(), kept);
        EXPECT_EQ(stream.append(std::to_array<std::string>({"d"})), 4U);
        EXPECT_EQ(stream.nextOffset() - stream.oldestOffset(), std::min<std::size_t>(keep, 4));
    }
}

} // namespace
} // namespace mustardline::standin
