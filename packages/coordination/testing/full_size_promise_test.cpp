#include <malloc.h>

#include <ctime>

#include <gtest/gtest.h>

#include "coordination/testing/configuration_records.h"

namespace mustardline {
namespace {

// Bound on the heap memory of one configuration of the designed size.
constexpr std::size_t maxHeapBytes = 128U << 20U;

auto heapBytes() -> std::size_t
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// The designed size: 12,000 client accounts with four keys each, 10,000 endpoints, 9 data centres.
TEST(P15_FullSizeTest, theDesignedSizeStaysWithinItsMemoryBound)
{
    const auto records = configurationRecords({});
    const auto before = heapBytes();
    configuration config;
    std::uint64_t offset = 0;
    for (const auto &record : records)
        config.apply(++offset, record);
    EXPECT_LT(heapBytes() - before, maxHeapBytes);
    EXPECT_EQ(config.entities(v1::ENTITY_KIND_KEY).size(), 48'000);
    EXPECT_EQ(config.entities(v1::ENTITY_KIND_ENDPOINT).size(), 10'000);

    const auto bytes = config.snapshot().SerializeAsString();
    const auto beforeRestore = heapBytes();
    configuration restored;
    v1::ConfigurationSnapshot snapshot;
    ASSERT_TRUE(snapshot.ParseFromString(bytes));
    restored.restore(std::move(snapshot));
    EXPECT_LT(heapBytes() - beforeRestore, maxHeapBytes);
    EXPECT_EQ(restored.snapshot().SerializeAsString(), bytes);
}

// Restoring a snapshot takes less processor time than applying the records of the same
// configuration, compared within one run; absolute figures are in docs/CAPACITY.md.
TEST(P15_FullSizeTest, aRestoreTakesLessTimeThanApplyingAllRecords)
{
    const auto records = configurationRecords({});
    configuration config;
    const auto applyBegin = std::clock();
    std::uint64_t offset = 0;
    for (const auto &record : records)
        config.apply(++offset, record);
    const auto applyTime = std::clock() - applyBegin;
    const auto bytes = config.snapshot().SerializeAsString();
    const auto restoreBegin = std::clock();
    configuration restored;
    v1::ConfigurationSnapshot snapshot;
    ASSERT_TRUE(snapshot.ParseFromString(bytes));
    restored.restore(std::move(snapshot));
    EXPECT_LT(std::clock() - restoreBegin, applyTime);
}

} // namespace
} // namespace mustardline
