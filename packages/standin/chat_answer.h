#pragma once

// What the stand-in engine answers to an OpenAI chat-completions request, as text that depends on
// nothing but the request. A test works out the same text to check that a caller got the whole
// answer to its own request:
//
//     const auto request = parseChatRequest(body, {.tokens = 16});
//     EXPECT_EQ(receivedText(body, request->stream), answerText(*request));   // "ECHO t1 t2 ... "

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardline::standin {

struct chat_defaults
{
    // Tokens of an answer whose request names no `max_tokens`.
    std::uint32_t tokens = 16;
};

struct chat_request
{
    std::string model;
    // The first token: the request's `user`, else the content of its last message.
    std::string echo;
    // The first 1024 bytes of the messages as compact JSON, which engines cache as a prefix.
    std::string prefix;
    std::uint32_t tokens = 0;
    std::uint32_t promptTokens = 0;
    bool stream = false;
    // Smaller goes first.
    std::int64_t priority = 0;
};

// Nothing if the body is not a chat-completions request.
[[nodiscard]] auto parseChatRequest(std::string_view body, const chat_defaults &defaults)
    -> std::optional<chat_request>;

// The text of token `index`, counted from 0, with the space that follows it.
[[nodiscard]] auto tokenText(const chat_request &request, std::uint32_t index) -> std::string;

// The text of all tokens.
[[nodiscard]] auto answerText(const chat_request &request) -> std::string;

// Names an answer in its JSON form.
struct answer_identity
{
    std::string id;
    std::int64_t createdUnixSeconds = 0;
};

// The server-sent event of one token.
[[nodiscard]] auto tokenEvent(const chat_request &request, const answer_identity &identity,
                              std::uint32_t index) -> std::string;

// The last events of a stream: the finish reason with the usage, then [DONE].
[[nodiscard]] auto endEvents(const chat_request &request, const answer_identity &identity)
    -> std::string;

// The body of an answer that is not streamed.
[[nodiscard]] auto wholeAnswer(const chat_request &request, const answer_identity &identity)
    -> std::string;

// The text of an answer as a caller received it; nothing if it lacks its proper end.
[[nodiscard]] auto receivedText(std::string_view body, bool streamed) -> std::optional<std::string>;

} // namespace mustardline::standin
