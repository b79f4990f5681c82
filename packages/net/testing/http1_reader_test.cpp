#include "net/http1_reader.h"

#include <random>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

// Feeds `input` to the reader and returns a textual description of each event.
auto describeEvents(http1_reader &reader, std::string_view input) -> std::vector<std::string>
{
    std::vector<std::string> events;
    for (;;) {
        const auto event = reader.next(input);
        if (std::holds_alternative<http1_need_more>(event)) {
            if (input.empty())
                return events;
        } else if (const auto *head = std::get_if<http1_head>(&event)) {
            events.push_back("head " + head->method + head->target
                             + (head->status == 0 ? "" : std::to_string(head->status)));
        } else if (const auto *body = std::get_if<http1_body>(&event)) {
            // Joins body parts, because their number depends on how the input is split.
            const auto continuesBody = !events.empty() && events.back().starts_with("body ");
            if (!continuesBody)
                events.emplace_back("body ");
            events.back() += body->data;
        } else if (std::holds_alternative<http1_end>(event)) {
            events.emplace_back("end");
        } else if (const auto *parseError = std::get_if<http1_error>(&event)) {
            events.push_back("fault " + std::to_string(parseError->status));
            return events;
        }
    }
}

struct request_case
{
    std::string name;
    std::string bytes;
    std::vector<std::string> expected;
};

auto requestCases() -> std::vector<request_case>
{
    const std::string host = "Host: a\r\n";
    return {
        {"plain", "GET /a?b HTTP/1.1\r\n" + host + "\r\n", {"head GET/a?b", "end"}},
        {"length",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc",
         {"head POST/", "body abc", "end"}},
        {"chunks",
         "POST / HTTP/1.1\r\n" + host
             + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
         {"head POST/", "body abc", "end"}},
        {"chunk extension and trailer",
         "POST / HTTP/1.1\r\n" + host
             + "Transfer-Encoding: chunked\r\n\r\n1;x=\"y\"\r\na\r\n0\r\nX-T: 1\r\n\r\n",
         {"head POST/", "body a", "end"}},
        {"three at once",
         "GET /1 HTTP/1.1\r\n" + host + "\r\nGET /2 HTTP/1.1\r\n" + host + "\r\nGET /3 HTTP/1.1\r\n"
             + host + "\r\n",
         {"head GET/1", "end", "head GET/2", "end", "head GET/3", "end"}},
        {"empty lines before", "\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", {"head GET/", "end"}},
        {"both lengths",
         "POST / HTTP/1.1\r\n" + host
             + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         {"fault 400"}},
        {"two lengths",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         {"fault 400"}},
        {"the same length twice",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
         {"fault 400"}},
        {"space before the colon of a length",
         "POST / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc",
         {"fault 400"}},
        {"space before the colon of a coding",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
         {"fault 400"}},
        {"length with a sign",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\nabc",
         {"fault 400"}},
        {"length is a list",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\nabc",
         {"fault 400"}},
        {"unknown coding",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n",
         {"fault 400 or 501"}},
        {"coding before chunked",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         {"fault 400 or 501"}},
        {"coding after chunked",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked, identity\r\n\r\n",
         {"fault 400 or 501"}},
        {"two codings",
         "POST / HTTP/1.1\r\n" + host
             + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         {"fault 400"}},
        {"two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n", {"fault 400"}},
        {"no host", "GET / HTTP/1.1\r\nX: 1\r\n\r\n", {"fault 400"}},
        {"a NUL in a value",
         "GET / HTTP/1.1\r\n" + host + "X: a" + std::string(1, '\0') + "b\r\n\r\n",
         {"fault 400"}},
        {"bare line feeds", "GET / HTTP/1.1\nHost: a\n\n", {"fault 400"}},
        {"one bare line feed", "GET / HTTP/1.1\r\n" + host + "X: 1\nY: 2\r\n\r\n", {"fault 400"}},
        {"folded header", "GET / HTTP/1.1\r\n" + host + "X: 1\r\n  2\r\n\r\n", {"fault 400"}},
        {"header without a colon", "GET / HTTP/1.1\r\n" + host + "X\r\n\r\n", {"fault 400"}},
        {"another protocol", "PRI * HTTP/2.0\r\n\r\n", {"fault 400 or 505"}},
        {"chunk size over 64 bits",
         "POST / HTTP/1.1\r\n" + host
             + "Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\na\r\n",
         {"head POST/", "fault 400"}},
        {"chunk size with a sign",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
         {"head POST/", "fault 400"}},
        {"chunk size with a prefix",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n",
         {"head POST/", "fault 400"}},
        {"chunk size ends in a bare line feed",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n",
         {"head POST/", "fault 400"}},
        {"chunk longer than its size",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
         {"head POST/", "body ab", "fault 400"}},
        {"body over the limit",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 101\r\n\r\n",
         {"fault 413"}},
        {"chunks over the limit",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n65\r\n",
         {"head POST/", "fault 413"}},
        {"headers over the limit",
         "GET / HTTP/1.1\r\n" + host + "X: " + std::string(500, 'x') + "\r\n\r\n",
         {"fault 431"}},
    };
}

auto matches(const std::vector<std::string> &events, const std::vector<std::string> &expected)
    -> bool
{
    if (events.size() != expected.size())
        return false;
    for (std::size_t i = 0; i < events.size(); ++i) {
        const bool matchesAlternative
            = expected[i].find(" or ") != std::string::npos && events[i].starts_with("fault ")
              && expected[i].find(events[i].substr(6)) != std::string::npos;
        if (events[i] != expected[i] && !matchesAlternative)
            return false;
    }
    return true;
}

auto joined(const std::vector<std::string> &lines) -> std::string
{
    std::string text;
    for (const auto &description : lines)
        text += description + "; ";
    return text;
}

constexpr http1_reader_options requestOptions{
    .kind = http1_kind::request, .maxHeadBytes = 400, .maxBodyBytes = 100};

TEST(Http1ReaderTest, acceptsAndRejectsRequests)
{
    for (const auto &testCase : requestCases()) {
        http1_reader reader(requestOptions);
        const auto events = describeEvents(reader, testCase.bytes);
        EXPECT_TRUE(matches(events, testCase.expected)) << testCase.name << ": " << joined(events);
    }
}

// The events must not depend on how the input is split into reads.
TEST(Http1ReaderTest, eventsDoNotDependOnInputSplits)
{
    std::mt19937 random(1);
    for (const auto &testCase : requestCases()) {
        for (auto round = 0; round < 40; ++round) {
            http1_reader reader(requestOptions);
            std::vector<std::string> events;
            std::string_view rest = testCase.bytes;
            while (!rest.empty() && (events.empty() || !events.back().starts_with("fault"))) {
                const auto length = std::min<std::size_t>(rest.size(), 1 + random() % 7);
                for (auto &description : describeEvents(reader, rest.substr(0, length))) {
                    const bool continuesBody = description.starts_with("body ") && !events.empty()
                                               && events.back().starts_with("body ");
                    if (continuesBody)
                        events.back() += description.substr(5);
                    else
                        events.push_back(std::move(description));
                }
                rest.remove_prefix(length);
            }
            ASSERT_TRUE(matches(events, testCase.expected))
                << testCase.name << ": " << joined(events);
        }
    }
}

TEST(Http1ReaderTest, readsResponses)
{
    struct response_case
    {
        std::string bytes;
        std::vector<std::string> expected;
        bool mayEnd;
    };
    const std::vector<response_case> cases{
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", {"head 200", "body ab", "end"}, true},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         {"head 200", "end"},
         true},
        {"HTTP/1.1 204 No Content\r\n\r\n", {"head 204", "end"}, true},
        {"HTTP/1.1 200 OK\r\n\r\nab", {"head 200", "body ab"}, true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", {"head 200", "body ab"}, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
         {"head 200", "body ab"},
         false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nab",
         {"fault 400"},
         false},
        {"garbage\r\n\r\n", {"fault 400"}, false},
    };
    for (const auto &testCase : cases) {
        http1_reader reader({.kind = http1_kind::response});
        const auto events = describeEvents(reader, testCase.bytes);
        EXPECT_TRUE(matches(events, testCase.expected)) << testCase.bytes << ": " << joined(events);
        if (!events.back().starts_with("fault")) {
            EXPECT_EQ(reader.mayEndNow(), testCase.mayEnd) << testCase.bytes;
        }
    }
}

// Guards against a garbled status line that is taken for a response, and reaches a caller as one.
TEST(Http1ReaderTest, rejectsStatusesThatHttpDoesNotDefine)
{
    for (const std::string_view status :
         {"000", "000 OK", "0 OK", "20 OK", "2 00 OK", "099 Low", "0200 OK", "2000 OK", "600 High",
          "999 High", "200OK", " 200 OK", "+20 OK", "-20 OK", "2x0 OK", "OK", ""}) {
        http1_reader reader({.kind = http1_kind::response});
        const auto head = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
        const auto events = describeEvents(reader, head);
        EXPECT_TRUE(matches(events, {"fault 400"})) << status << ": " << joined(events);
    }
    // The reason may be empty or missing.
    for (const std::string_view status : {"200", "200 ", "404 Not Found", "599 x"}) {
        http1_reader reader({.kind = http1_kind::response});
        const auto head = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
        const auto events = describeEvents(reader, head);
        EXPECT_TRUE(events.front().starts_with("head ")) << status << ": " << joined(events);
    }
}

} // namespace
} // namespace mustardline
