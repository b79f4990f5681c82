#include "policy/account_places.h"

#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

auto takeAll(account_places &places, const std::string &account) -> std::size_t
{
    std::size_t count = 0;
    while (places.take(account))
        ++count;
    return count;
}

// Guards against one account whose requests take every place of a process.
TEST(AccountPlacesTest, oneAccountLeavesPlacesToOthers)
{
    account_places places(80);
    EXPECT_EQ(takeAll(places, "large"), 70U);
    EXPECT_EQ(takeAll(places, "small"), 10U);
    EXPECT_EQ(places.taken(), 80U);
    EXPECT_FALSE(places.take("third"));
    for (int count = 0; count < 10; ++count)
        places.release("large");
    EXPECT_FALSE(places.take("large")) << "the kept places are for those below their share";
    EXPECT_TRUE(places.take("third"));
}

TEST(AccountPlacesTest, smallAccountsGetPlacesBeforeALargeOne)
{
    account_places places(80);
    takeAll(places, "large");
    for (int account = 0; account < 10; ++account)
        EXPECT_TRUE(places.take(std::to_string(account)));
}

TEST(AccountPlacesTest, releaseOfAnUnknownAccountChangesNothing)
{
    account_places places(8);
    places.release("unknown");
    EXPECT_EQ(places.taken(), 0U);
}

// In random runs no more places are taken than there are, and all are free in the end.
TEST(AccountPlacesTest, countsMatchInRandomRuns)
{
    std::mt19937 random(1);
    account_places places(30);
    std::vector<std::string> taken;
    for (int step = 0; step < 20'000; ++step) {
        if (random() % 3 != 0) {
            const auto account = std::to_string(random() % 5);
            if (places.take(account))
                taken.push_back(account);
        } else if (!taken.empty()) {
            const auto index = random() % taken.size();
            places.release(taken[index]);
            taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(index));
        }
        ASSERT_EQ(places.taken(), taken.size());
        ASSERT_LE(taken.size(), 30U);
    }
    for (const auto &account : taken)
        places.release(account);
    EXPECT_EQ(places.taken(), 0U);
    EXPECT_EQ(takeAll(places, "any"), 27U);
}

} // namespace
} // namespace mustardline
