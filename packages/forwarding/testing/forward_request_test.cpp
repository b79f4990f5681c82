// Tests of what is read from callers' requests and relayed of endpoints' responses.

#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "base/testing/thread_cost.h"
#include "forwarding/forward_request.h"

namespace mustardline {
namespace {

auto namesOf(std::span<const http_header> headers) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &item : headers)
        names.push_back(item.name);
    return names;
}

TEST(AnswerHeadersTest, hopByHopHeadersAreLeftOutWhateverTheirCase)
{
    const std::vector<http_header> headers{
        {.name = "Connection", .value = " close,X-Hop , ,x-other"},
        {.name = "x-hop", .value = "1"},
        {.name = "X-Other", .value = "1"},
        {.name = "X-Kept", .value = "1"},
        {.name = "X", .value = "1"},
        {.name = "Transfer-Encoding", .value = "chunked"},
    };
    EXPECT_EQ(namesOf(answerHeaders(headers)), (std::vector<std::string>{"X-Kept", "X"}));
}

// Cost of a response with that many headers, and twice as many names in its `Connection` header.
auto costOfHeaders(std::size_t count) -> double
{
    std::string connection;
    for (std::size_t index = 0; index < 2 * count; ++index)
        connection += fmt::format("n{},", index);
    std::vector<http_header> headers{{.name = "Connection", .value = connection}};
    for (std::size_t index = 0; index < count; ++index)
        headers.push_back({.name = fmt::format("x{}", index), .value = "1"});
    return leastCost([&] { EXPECT_EQ(answerHeaders(headers).size(), count); });
}

// Guards against messages inside the limits that stop the process: the cost of a head grew with the
// product of its headers and of the names in its `Connection` header.
TEST(AnswerHeadersTest, costOfAHeadGrowsWithItsSizeAlone)
{
    constexpr std::size_t few = 400;
    constexpr std::size_t factor = 8;
    // In proportion, with room for logarithms and noise; the product grows by 64.
    EXPECT_LT(costOfHeaders(few * factor), costOfHeaders(few) * factor * 3);
}

} // namespace
} // namespace mustardline
