#include "net/process_limits.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <malloc.h>
#include <sys/resource.h>

namespace mustardline {
namespace {

namespace fs = std::filesystem;

constexpr auto noLimit = UINT64_MAX;

// Guards against bodies that leave the memory of their smaller beginnings to the process, as gaps
// in its heap that the grown bodies do not fit in.
TEST(ProcessLimitsTest, blocksOfTheSizeOfAReadLeaveNoGapsOnceFreed)
{
    constexpr std::size_t readSize = 32'000;
    constexpr std::size_t bodies = 200;
    returnLargeBlocks();
    const auto freeBefore = mallinfo2().fordblks;
    std::vector<std::string> begun;
    // What a connection keeps beside its body separates the gaps.
    std::vector<std::string> kept;
    constexpr std::size_t keptSize = 1000;
    for (std::size_t index = 0; index < bodies; ++index) {
        begun.emplace_back(readSize, 'x');
        kept.emplace_back(keptSize, 'x');
    }
    std::vector<std::string> grown;
    for (auto &body : begun) {
        grown.emplace_back(body + body);
        std::string().swap(body);
    }
    EXPECT_LT(mallinfo2().fordblks, freeBefore + bodies * readSize / 4);
}

// Guards against an edge that sizes its budgets by the memory of the whole box.
TEST(ProcessLimitsTest, memoryOfTheSettingsGoesBeforeThatOfTheVm)
{
    constexpr std::uint64_t stated = 1U << 20U;
    EXPECT_EQ(memoryLimit(stated),
              (process_limit{.value = stated, .source = limit_source::settings}));
    const auto unstated = memoryLimit(0);
    EXPECT_GT(unstated.value, 0U);
    EXPECT_LE(unstated.value, vmMemoryBytes());
    EXPECT_NE(unstated.source, limit_source::settings);
    EXPECT_EQ(memoryLimit(noLimit), unstated);
}

// Guards against an edge that opens more descriptors than its VM may have.
TEST(ProcessLimitsTest, kernelEnforcesTheDescriptorsOfTheSettings)
{
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    constexpr std::uint64_t stated = 64;
    const auto lowered = applyDescriptorLimit(stated);
    rlimit enforced{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &enforced), 0);
    const auto again = applyDescriptorLimit(before.rlim_max);
    const auto tooMany = applyDescriptorLimit(noLimit - 1);
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_EQ(lowered, (process_limit{.value = stated, .source = limit_source::settings}));
    EXPECT_EQ(enforced.rlim_cur, stated);
    EXPECT_EQ(again.value, before.rlim_max);
    EXPECT_EQ(tooMany,
              (process_limit{.value = before.rlim_max, .source = limit_source::resource_limit}));
    EXPECT_EQ(applyDescriptorLimit(0).value, before.rlim_cur);
}

class ControlGroupTest : public testing::Test
{
protected:
    ControlGroupTest()
        : m_root(testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name())
    {
        fs::remove_all(m_root);
        fs::create_directories(m_root);
    }
    ~ControlGroupTest() override { fs::remove_all(m_root); }

    auto write(const std::string &file, const std::string &text) const -> void
    {
        const auto path = m_root / file;
        fs::create_directories(path.parent_path());
        std::ofstream(path) << text << '\n';
    }

    [[nodiscard]] auto limit() const -> std::uint64_t
    {
        return controlGroupMemoryBytes(
            {.membership = m_root / "membership", .root = m_root / "groups"});
    }

    fs::path m_root;
};

TEST_F(ControlGroupTest, limitsOfBothVersionsAreRead)
{
    struct example
    {
        std::string name;
        std::string membership;
        std::map<std::string, std::string> files;
        std::uint64_t expected;
    };
    const std::vector<example> examples{
        {"no file", "", {}, noLimit},
        {"version 2", "0::/edge", {{"edge/memory.max", "272629760"}}, 272629760},
        {"no limit", "0::/edge", {{"edge/memory.max", "max"}}, noLimit},
        {"a group above",
         "0::/slice/edge",
         {{"slice/memory.max", "1000"}, {"slice/edge/memory.max", "max"}},
         1000},
        {"in a container", "0::/slice/edge", {{"memory.max", "2000"}}, 2000},
        {"version 1",
         "5:cpu:/edge\n4:memory:/edge",
         {{"memory/edge/memory.limit_in_bytes", "3000"}},
         3000},
        {"both versions",
         "4:memory:/edge\n0::/",
         {{"memory/edge/memory.limit_in_bytes", "3000"}, {"memory.max", "2000"}},
         2000},
        {"other controllers", "1:cpu:/edge", {{"cpu/edge/memory.limit_in_bytes", "1"}}, noLimit},
        {"not a number", "0::/edge", {{"edge/memory.max", "many"}}, noLimit},
        {"not a membership", "edge", {{"memory.max", "5"}}, noLimit}};
    for (const auto &[name, membership, files, expected] : examples) {
        fs::remove_all(m_root / "groups");
        write("membership", membership);
        for (const auto &[file, text] : files)
            write("groups/" + file, text);
        EXPECT_EQ(limit(), expected) << name;
    }
}

} // namespace
} // namespace mustardline
