#include "base/hashing.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

TEST(HashingTest, keyedHashMatchesRfc4231TestCase)
{
    // RFC 4231, test case 2.
    EXPECT_EQ(keyedHash("Jefe", "what do ya want for nothing?"),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(HashingTest, equalConstantTimeComparesLengthAndContent)
{
    EXPECT_TRUE(equalConstantTime("abc", "abc"));
    EXPECT_FALSE(equalConstantTime("abc", "abd"));
    EXPECT_FALSE(equalConstantTime("abc", "ab"));
    EXPECT_TRUE(equalConstantTime("", ""));
}

TEST(HashingTest, fastHashDependsOnTextAndSeed)
{
    EXPECT_EQ(fastHash("a"), fastHash("a"));
    EXPECT_NE(fastHash("a"), fastHash("b"));
    EXPECT_NE(fastHash("a", 1), fastHash("a", 2));
}

TEST(HashingTest, randomIdsDiffer)
{
    EXPECT_EQ(randomId().size(), 32U);
    EXPECT_NE(randomId(), randomId());
}

} // namespace
} // namespace mustardline
