#include "net/request_path.h"

#include <gtest/gtest.h>

#include "net/http_message.h"

namespace mustardline {
namespace {

// Guards against a text that chooses what else is asked for, or sent on a connection.
TEST(RequestPathTest, encodesWhateverHasAMeaning)
{
    struct path_case
    {
        std::string value;
        std::string expected;
    };
    const std::vector<path_case> cases{{"", "/v1/read?key="},
                                       {"a-b.c_d~9", "/v1/read?key=a-b.c_d~9"},
                                       {"a02%20", "/v1/read?key=a02%2520"},
                                       {"a05+", "/v1/read?key=a05%2B"},
                                       {"a&b=c#d", "/v1/read?key=a%26b%3Dc%23d"},
                                       {"a b\r\nc", "/v1/read?key=a%20b%0D%0Ac"},
                                       {"evacuate/x", "/v1/read?key=evacuate%2Fx"},
                                       {std::string("\0\x97", 2), "/v1/read?key=%00%97"}};
    for (const auto &each : cases) {
        const auto text = request_path("/v1/read").query("key", each.value).text();
        EXPECT_EQ(text, each.expected);
        EXPECT_EQ(percentDecoded(text.substr(text.find('=') + 1)), each.value);
    }
}

TEST(RequestPathTest, joinsSegmentsAndParameters)
{
    EXPECT_EQ(request_path("/v1").segment("a/b").query("x", 7).query("y", "z").text(),
              "/v1/a%2Fb?x=7&y=z");
}

} // namespace
} // namespace mustardline
