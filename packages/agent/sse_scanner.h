#pragma once

// Scans a model's response while it is forwarded: counts its content events, reads the usage that
// it reports, and detects whether it is complete. The caller forwards the bytes unchanged.
//
//     sse_scanner stream;
//     stream.feed(chunk);            // chunks may end anywhere
//     if (!stream.isEnded()) ...     // truncated: `data: [DONE]` is missing
//
//     document_scanner document;       // a response in one JSON document
//     document.feed(chunk);
//     const auto usage = document.usage();

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

    // Whether the stream's last event, `data: [DONE]`, was read.
    [[nodiscard]] auto isEnded() const -> bool { return m_ended; }

    // Number of events with a part of the answer; each has at least one token.
    [[nodiscard]] auto contentEvents() const -> std::uint64_t { return m_contentEvents; }

    // The last usage that the stream reported.
    [[nodiscard]] auto usage() const -> const std::optional<token_usage> & { return m_usage; }

    // The usage to charge: the reported one, or the number of content events if there is none
    // because the stream was truncated.
    [[nodiscard]] auto metered() const -> token_usage;

private:
    auto parseLine(std::string_view line) -> void;

    // The start of a line whose end was not read yet; empty for a line over the limit.
    std::string m_line;
    bool m_lineTooLong = false;
    bool m_ended = false;
    std::uint64_t m_contentEvents = 0;
    std::optional<token_usage> m_usage;
};

// A response in one JSON document. Of a very long one only the end is kept.
class document_scanner
{
public:
    auto feed(std::string_view data) -> void;

    // Whether a document has started and every brace and bracket is closed.
    [[nodiscard]] auto isClosed() const -> bool { return m_started && m_depth == 0; }

    // The usage that the document reports; valid once all of it was fed.
    [[nodiscard]] auto usage() const -> std::optional<token_usage>;

private:
    auto countBrackets(std::string_view data) -> void;

    std::string m_buffer;
    bool m_startDropped = false;
    // Number of open braces and brackets, and whether the next byte is inside a JSON string and
    // there after a backslash.
    std::int64_t m_depth = 0;
    bool m_started = false;
    bool m_inString = false;
    bool m_escaped = false;
};

} // namespace mustardline
