#include "entry/key_text.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

constexpr std::string_view sampleKey = "mk_0123456789ab_0123456789abcdef0123456789abcdef";

TEST(KeyTextTest, generatedKeysAreWellFormedAndDistinct)
{
    const auto key = makeKeyText();
    EXPECT_TRUE(keyIdOf(key));
    EXPECT_NE(key, makeKeyText());
}

TEST(KeyTextTest, onlyWellFormedKeysHaveAnId)
{
    EXPECT_EQ(keyIdOf(sampleKey), "0123456789ab");
    for (std::size_t length = 0; length < sampleKey.size(); ++length)
        EXPECT_FALSE(keyIdOf(sampleKey.substr(0, length))) << length;
    EXPECT_FALSE(keyIdOf(std::string(sampleKey) + "0"));
    EXPECT_FALSE(keyIdOf("mk_0123456789ab-0123456789abcdef0123456789abcdef"));
    EXPECT_FALSE(keyIdOf("mk_0123456789xx_0123456789abcdef0123456789abcdef"));
}

TEST(KeyTextTest, redactsEveryKeyAndNothingElse)
{
    auto text = "a mk_ b " + std::string(sampleKey) + "," + std::string(sampleKey) + " mk_01";
    EXPECT_EQ(redactKeys(text), 2);
    EXPECT_EQ(text, "a mk_ b mk_0123456789ab_********************************,"
                    "mk_0123456789ab_******************************** mk_01");
    EXPECT_EQ(redactKeys(text), 0);
}

TEST(KeyTextTest, detectsAPercentEncodedKey)
{
    EXPECT_FALSE(holdsKey("mk_ nothing"));
    EXPECT_TRUE(holdsKey("x=" + std::string(sampleKey)));
    EXPECT_TRUE(holdsKey("x=%6dk_0123456789ab%5f0123456789abcdef0123456789abcdef"));
}

} // namespace
} // namespace mustardline
