#pragma once

// Reads a model's answer as it passes: how many tokens it carries, what usage it reports, and
// whether it came to its proper end. The bytes themselves are passed on untouched by the caller.
//
//     sse_scanner stream;
//     stream.feed(chunk);            // in any division of the stream
//     if (!stream.isEnded()) ...     // cut: `data: [DONE]` never came
//
//     answer_scanner whole;          // an answer in one JSON document
//     whole.feed(chunk);
//     const auto usage = whole.usage();

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardline {

struct token_usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;

    auto operator==(const token_usage &) const -> bool = default;
};

// A stream of server-sent events. Lines may end with CR, LF or both.
class sse_scanner
{
public:
    auto feed(std::string_view data) -> void;

    // Whether the stream's last event, `data: [DONE]`, has passed.
    [[nodiscard]] auto isEnded() const -> bool { return m_ended; }

    // Events that carried a piece of the answer; each is one token or more.
    [[nodiscard]] auto contentEvents() const -> std::uint64_t { return m_contentEvents; }

    // The usage that the stream reported last.
    [[nodiscard]] auto usage() const -> const std::optional<token_usage> & { return m_usage; }

    // What to meter: the reported usage, or the content events if the stream was cut before it.
    [[nodiscard]] auto metered() const -> token_usage;

private:
    auto takeLine(std::string_view line) -> void;

    // The line that has not ended yet; nothing of one that is over the limit.
    std::string m_line;
    bool m_lineTooLong = false;
    bool m_ended = false;
    std::uint64_t m_contentEvents = 0;
    std::optional<token_usage> m_usage;
};

// A whole answer. Only the start of a very long one is kept, and its end.
class answer_scanner
{
public:
    auto feed(std::string_view data) -> void;

    // Whether the document that began has come to its end: every brace and bracket is closed.
    [[nodiscard]] auto isClosed() const -> bool { return m_begun && m_depth == 0; }

    // The usage of the answer; call it once all is fed.
    [[nodiscard]] auto usage() const -> std::optional<token_usage>;

private:
    auto countBrackets(std::string_view data) -> void;

    std::string m_kept;
    bool m_startDropped = false;
    // Open braces and brackets, and whether the bytes stand in a text or behind a backslash there.
    std::int64_t m_depth = 0;
    bool m_begun = false;
    bool m_inText = false;
    bool m_escaped = false;
};

} // namespace mustardline
