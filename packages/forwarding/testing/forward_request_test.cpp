// Tests of what is read from callers' requests and relayed of endpoints' responses.

#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "base/testing/thread_cost.h"
#include "forwarding/forward_request.h"
#include "net/testing/raw_peer.h"

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

// Reads a request that names these parts of its prompt.
auto readParts(const std::string &parts) -> forward_request
{
    event_loop loop;
    http_server server(loop, {});
    std::shared_ptr<http_exchange> received;
    server.onRequest([&](const std::shared_ptr<http_exchange> &exchange) { received = exchange; });
    const auto port = std::get<std::uint16_t>(server.listen());
    http_client client(loop, {});
    client.start({.host = "127.0.0.1", .port = port},
                 {.headers = {{.name = "host", .value = "a.example"},
                              {.name = "Prompt-Parts", .value = parts}}},
                 {});
    EXPECT_TRUE(runUntil(loop, [&] { return received != nullptr; }));
    fleet_configuration configuration{.version = 1};
    configuration.routes.push_back(
        {.name = "r", .host = "a.example", .pathPrefix = "/", .timeout = std::chrono::seconds(1)});
    route_table routes;
    EXPECT_TRUE(routes.replace(std::make_shared<const fleet_configuration>(configuration)));
    const header_names names{.promptParts = "Prompt-Parts"};
    auto read = readForwardRequest(received, routes, names, {}, 0);
    return std::move(std::get<forward_request>(read));
}

// Guards against headers inside the limits whose parts take many times their size in memory.
TEST(ForwardRequestTest, partsOfAPromptAreBounded)
{
    constexpr std::size_t maxParts = 256;
    EXPECT_LE(readParts(std::string(16000, ',')).sharedParts.size(), maxParts);
    std::string many;
    for (int index = 0; index < 4000; ++index)
        many += fmt::format("{:x}:2,", index);
    const auto read = readParts(many + "own:1");
    EXPECT_EQ(read.sharedParts.size(), maxParts);
    EXPECT_EQ(read.sharedTokens, 8000U) << "the tokens of all parts count";
    EXPECT_EQ(readParts("a:1,b:2,own:3").sharedParts.size(), 2U);
}

} // namespace
} // namespace mustardline
