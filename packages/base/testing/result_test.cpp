#include "base/result.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "base/testing/docs_table.h"

namespace mustardline {
namespace {

TEST(ResultTest, numbersAreUniqueAndAscending)
{
    const auto codes = resultCodes();
    EXPECT_TRUE(std::ranges::is_sorted(codes, std::ranges::less_equal{}, &result_code_info::code));
    for (std::size_t i = 1; i < codes.size(); ++i)
        EXPECT_NE(codes[i - 1].code, codes[i].code);
}

TEST(ResultTest, describeFindsEveryCode)
{
    for (const auto &row : resultCodes())
        EXPECT_EQ(describe(row.code).name, row.name);
    EXPECT_EQ(describe(static_cast<result_code>(9999)).code, result_code::internal);
}

TEST(ResultTest, documentationMatchesTheCodeTable)
{
    const auto rows = readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/RESULT_CODES.md", "");
    const auto codes = resultCodes();
    ASSERT_EQ(rows.size(), codes.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        ASSERT_EQ(rows[i].size(), 4U);
        EXPECT_EQ(rows[i][0], std::to_string(number(codes[i].code)));
        EXPECT_EQ(rows[i][1], codes[i].name);
        EXPECT_EQ(rows[i][2], std::to_string(codes[i].httpStatus));
        EXPECT_EQ(rows[i][3], codes[i].meaning);
    }
}

} // namespace
} // namespace mustardline
