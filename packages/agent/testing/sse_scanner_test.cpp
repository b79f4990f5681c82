#include "agent/sse_scanner.h"

#include <random>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace mustardline {
namespace {

constexpr std::string_view stream
    = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\"a \\\"usage\\\": {\"}}]}\r\n\r\n"
      ": a comment\r"
      "data:{\"choices\":[{\"delta\":{\"content\" : \"b\"}}]}\n\n"
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n"
      "data: [DONE]\n\n";

auto expectComplete(const sse_scanner &scanner) -> void
{
    EXPECT_TRUE(scanner.isEnded());
    EXPECT_EQ(scanner.contentEvents(), 2U);
    ASSERT_TRUE(scanner.usage());
    EXPECT_EQ(*scanner.usage(), (token_usage{.promptTokens = 5, .completionTokens = 2}));
}

TEST(SseScannerTest, readsAStreamSplitIntoAnyThreeChunks)
{
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            sse_scanner scanner;
            scanner.feed(stream.substr(0, first));
            scanner.feed(stream.substr(first, second - first));
            scanner.feed(stream.substr(second));
            expectComplete(scanner);
            ASSERT_FALSE(HasFailure()) << first << " " << second;
        }
    }
}

TEST(SseScannerTest, aTruncatedStreamHasNotEnded)
{
    const auto end = stream.find("[DONE]") + 7;
    for (std::size_t length = 0; length < end; ++length) {
        sse_scanner scanner;
        scanner.feed(stream.substr(0, length));
        EXPECT_FALSE(scanner.isEnded()) << length;
    }
    sse_scanner scanner;
    scanner.feed(stream.substr(0, end));
    EXPECT_TRUE(scanner.isEnded());
}

TEST(SseScannerTest, metersATruncatedStreamByItsEvents)
{
    sse_scanner scanner;
    scanner.feed(stream.substr(0, stream.find("data: {\"choices\":[],")));
    EXPECT_EQ(scanner.metered(), (token_usage{.completionTokens = 2}));
}

TEST(SseScannerTest, textOfTheAnswerIsNeitherEndNorUsage)
{
    sse_scanner scanner;
    scanner.feed("data: {\"content\":\"data: [DONE]\"}\n\n");
    scanner.feed("data: {\"content\":\"\\\"usage\\\":{\\\"completion_tokens\\\":9}\"}\n\n");
    scanner.feed(" data: [DONE]\n\nid: [DONE]\n\ndata: [DONE]x\n\n");
    EXPECT_FALSE(scanner.isEnded());
    EXPECT_FALSE(scanner.usage());
    EXPECT_EQ(scanner.contentEvents(), 2U);
}

TEST(SseScannerTest, recoversAfterAnOverlongLine)
{
    sse_scanner scanner;
    for (int i = 0; i < 40; ++i)
        scanner.feed(std::string(100'000, 'x'));
    scanner.feed("\ndata: [DONE]\n");
    EXPECT_TRUE(scanner.isEnded());
}

TEST(SseScannerTest, chunkingDoesNotMatterForRandomBytes)
{
    constexpr std::string_view letters = "data:[DONE] {}\"usage\"\r\n\x00\xff,";
    for (unsigned seed = 0; seed < 300; ++seed) {
        std::mt19937 random(seed);
        std::string text;
        for (int i = 0; i < 400; ++i)
            text.push_back(letters[random() % letters.size()]);
        sse_scanner whole;
        whole.feed(text);
        sse_scanner parts;
        for (std::size_t at = 0; at < text.size();) {
            const auto length = 1 + random() % 7;
            parts.feed(std::string_view(text).substr(at, length));
            at += length;
        }
        EXPECT_EQ(whole.isEnded(), parts.isEnded()) << seed;
        EXPECT_EQ(whole.metered(), parts.metered()) << seed;
    }
}

TEST(AnswerScannerTest, readsTheUsageOfShortAndLongAnswers)
{
    for (const std::size_t length : {0U, 1000U, 5'000'000U}) {
        const auto text = fmt::format(
            R"({{"choices":[{{"message":{{"content":"{}\"usage\":{{"}}}}],"usage":{{"prompt_tokens":4,"completion_tokens":7,"details":{{"cached":1}}}}}})",
            std::string(length, 'x'));
        document_scanner scanner;
        for (std::size_t at = 0; at < text.size(); at += 4096)
            scanner.feed(std::string_view(text).substr(at, 4096));
        EXPECT_EQ(scanner.usage(), (token_usage{.promptTokens = 4, .completionTokens = 7}))
            << length;
    }
}

TEST(AnswerScannerTest, reportsNoUsageWhereThereIsNone)
{
    for (const auto *text : {"", "{", "[]", R"({"usage":null})", R"({"usage":3})", R"({"a":1})"}) {
        document_scanner scanner;
        scanner.feed(text);
        EXPECT_FALSE(scanner.usage()) << text;
    }
}

} // namespace
} // namespace mustardline
