#include "standin/chat_answer.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardline::standin {

namespace {

using nlohmann::json;

constexpr std::int64_t maxTokens = 1'000'000;
constexpr std::size_t prefixBytes = 1024;

// The text of a message, whose `content` is a string or a list of parts.
auto messageText(const json &message) -> std::string
{
    const auto found = message.find("content");
    if (found == message.end())
        return "";
    if (found->is_string())
        return found->get<std::string>();
    std::string text;
    for (const auto &part : *found) {
        if (part.is_object() && part.contains("text") && part["text"].is_string())
            text += part["text"].get<std::string>();
    }
    return text;
}

auto wordCount(std::string_view text) -> std::uint32_t
{
    std::uint32_t words = 0;
    auto inWord = false;
    for (const auto character : text) {
        const auto isSpace = character == ' ' || character == '\n' || character == '\t';
        if (!isSpace && !inWord)
            ++words;
        inWord = !isSpace;
    }
    return words;
}

auto integerField(const json &body, const char *name, std::int64_t defaultValue) -> std::int64_t
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                             : defaultValue;
}

auto textField(const json &body, const char *name) -> std::string
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

auto serialize(const json &value) -> std::string
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto streamedText(std::string_view events) -> std::optional<std::string>
{
    constexpr std::string_view fieldName = "data: ";
    constexpr std::string_view separator = "\n\n";
    std::string text;
    while (events.starts_with(fieldName)) {
        const auto end = std::min(events.find(separator), events.size());
        const auto data = events.substr(fieldName.size(), end - fieldName.size());
        events.remove_prefix(std::min(end + separator.size(), events.size()));
        if (data == "[DONE]")
            return events.empty() ? std::optional(text) : std::nullopt;
        const auto chunk = json::parse(data, nullptr, false);
        if (!chunk.is_object() || !chunk.contains("choices"))
            return {};
        text += textField(chunk["choices"][0]["delta"], "content");
    }
    return {};
}

auto usageJson(const chat_request &request) -> json
{
    return {{"prompt_tokens", request.promptTokens},
            {"completion_tokens", request.tokens},
            {"total_tokens", request.promptTokens + request.tokens}};
}

auto chunkJson(const chat_request &request, const answer_identity &identity, json delta,
               json finishReason) -> json
{
    return {{"id", identity.id},
            {"object", "chat.completion.chunk"},
            {"created", identity.createdUnixSeconds},
            {"model", request.model},
            {"choices", json::array({{{"index", 0},
                                      {"delta", std::move(delta)},
                                      {"finish_reason", std::move(finishReason)}}})}};
}

} // namespace

auto parseChatRequest(std::string_view body, const chat_defaults &defaults)
    -> std::optional<chat_request>
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return {};
    const auto messages = parsed.find("messages");
    if (messages == parsed.end() || !messages->is_array() || messages->empty())
        return {};
    chat_request request{.model = textField(parsed, "model"), .echo = textField(parsed, "user")};
    for (const auto &message : *messages) {
        if (!message.is_object())
            return {};
        request.promptTokens += wordCount(messageText(message));
    }
    request.prefix = serialize(*messages).substr(0, prefixBytes);
    if (request.echo.empty())
        request.echo = messageText(messages->back());
    const auto limit = integerField(parsed, "max_completion_tokens", defaults.tokens);
    const auto tokens = integerField(parsed, "max_tokens", limit);
    request.tokens = static_cast<std::uint32_t>(std::clamp<std::int64_t>(tokens, 1, maxTokens));
    const auto stream = parsed.find("stream");
    request.stream = stream != parsed.end() && stream->is_boolean() && stream->get<bool>();
    request.priority = integerField(parsed, "priority", 0);
    return request;
}

auto tokenText(const chat_request &request, std::uint32_t index) -> std::string
{
    return index == 0 ? request.echo + " " : fmt::format("t{} ", index);
}

auto answerText(const chat_request &request) -> std::string
{
    std::string text;
    for (std::uint32_t i = 0; i < request.tokens; ++i)
        text += tokenText(request, i);
    return text;
}

auto tokenEvent(const chat_request &request, const answer_identity &identity, std::uint32_t index)
    -> std::string
{
    const auto chunk
        = chunkJson(request, identity, {{"content", tokenText(request, index)}}, nullptr);
    return "data: " + serialize(chunk) + "\n\n";
}

auto endEvents(const chat_request &request, const answer_identity &identity) -> std::string
{
    auto chunk = chunkJson(request, identity, json::object(), "stop");
    chunk["usage"] = usageJson(request);
    return "data: " + serialize(chunk) + "\n\ndata: [DONE]\n\n";
}

auto completionBody(const chat_request &request, const answer_identity &identity) -> std::string
{
    return serialize(
        {{"id", identity.id},
         {"object", "chat.completion"},
         {"created", identity.createdUnixSeconds},
         {"model", request.model},
         {"choices",
          json::array({{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", answerText(request)}}},
                        {"finish_reason", "stop"}}})},
         {"usage", usageJson(request)}});
}

auto receivedText(std::string_view body, bool streamed) -> std::optional<std::string>
{
    if (streamed)
        return streamedText(body);
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("choices"))
        return {};
    return textField(answer["choices"][0]["message"], "content");
}

} // namespace mustardline::standin
