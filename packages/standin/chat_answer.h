#pragma once

// The stand-in engine's response to an OpenAI chat-completions request. Its text is a function of
// the request alone, so that a test can compute the expected text and check that a caller received
// the complete response to its own request:
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
    // Response length in tokens when the request has no `max_tokens`.
    std::uint32_t tokens = 16;
};

struct chat_request
{
    std::string model;
    // The first token: the request's `user`, else the content of its last message.
    std::string echo;
    // The first 1024 bytes of the messages as compact JSON: the key of the engine's prefix cache.
    std::string prefix;
    std::uint32_t tokens = 0;
    std::uint32_t promptTokens = 0;
    bool stream = false;
    // Smaller values are served first.
    std::int64_t priority = 0;
};

// Empty if the body is not a chat-completions request.
[[nodiscard]] auto parseChatRequest(std::string_view body, const chat_defaults &defaults)
    -> std::optional<chat_request>;

// The text of token `index` (from 0), including its trailing space.
[[nodiscard]] auto tokenText(const chat_request &request, std::uint32_t index) -> std::string;

// The concatenated text of all tokens.
[[nodiscard]] auto answerText(const chat_request &request) -> std::string;

// The `id` and `created` fields of a response.
struct answer_identity
{
    std::string id;
    std::int64_t createdUnixSeconds = 0;
};

// The server-sent event that carries one token.
[[nodiscard]] auto tokenEvent(const chat_request &request, const answer_identity &identity,
                              std::uint32_t index) -> std::string;

// The final events of a stream: a chunk with the finish reason and the usage, then [DONE].
[[nodiscard]] auto endEvents(const chat_request &request, const answer_identity &identity)
    -> std::string;

// The body of a non-streamed response.
[[nodiscard]] auto completionBody(const chat_request &request, const answer_identity &identity)
    -> std::string;

// Extracts the text from a response body; empty if the body is truncated or malformed.
[[nodiscard]] auto receivedText(std::string_view body, bool streamed) -> std::optional<std::string>;

} // namespace mustardline::standin
