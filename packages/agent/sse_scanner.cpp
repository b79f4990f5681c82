#include "agent/sse_scanner.h"

#include <algorithm>
#include <cstring>

#include <nlohmann/json.hpp>

namespace mustardline {

namespace {

constexpr std::size_t maxLineBytes = 1U << 20U;
constexpr std::size_t maxDocumentBytes = 1U << 20U;
constexpr std::size_t keptTailBytes = 64U << 10U;
constexpr std::string_view dataField = "data:";
constexpr std::string_view endOfStream = "[DONE]";
constexpr std::string_view usageName = R"("usage")";
constexpr std::string_view contentName = R"("content")";

auto skipSpaces(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first == std::string_view::npos ? std::string_view() : text.substr(first);
}

// Number of bytes before the first line end, or of all bytes if there is none.
auto lineLength(std::string_view text) -> std::size_t
{
    const auto isLineEnd = [](char letter) { return letter == '\n' || letter == '\r'; };
    return static_cast<std::size_t>(std::ranges::find_if(text, isLineEnd) - text.begin());
}

// Position of `name` in `text`. memmem is faster than string_view::find, which stops at every
// quote.
auto findName(std::string_view text, std::string_view name) -> std::size_t
{
    // An empty view may hold a null pointer, which memmem does not accept.
    if (text.empty())
        return std::string_view::npos;
    const auto *found = memmem(text.data(), text.size(), name.data(), name.size());
    if (found == nullptr)
        return std::string_view::npos;
    return static_cast<std::size_t>(static_cast<const char *>(found) - text.data());
}

// Whether a JSON document has a member `content` with a string that is not empty. Quotes inside
// JSON strings are escaped, so the name with its quotes cannot be part of a string.
auto hasContent(std::string_view json) -> bool
{
    for (auto at = findName(json, contentName); at != std::string_view::npos;
         at = findName(json, contentName)) {
        json = json.substr(at + contentName.size());
        auto rest = skipSpaces(json);
        if (!rest.starts_with(':'))
            continue;
        rest = skipSpaces(rest.substr(1));
        if (rest.starts_with('"') && !rest.starts_with(R"("")"))
            return true;
    }
    return false;
}

auto countOf(const nlohmann::json &usage, const char *name) -> std::uint64_t
{
    const auto found = usage.find(name);
    return found != usage.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

auto usageOf(const nlohmann::json &usage) -> std::optional<token_usage>
{
    if (!usage.is_object())
        return std::nullopt;
    return token_usage{.promptTokens = countOf(usage, "prompt_tokens"),
                       .completionTokens = countOf(usage, "completion_tokens")};
}

// The `usage` member of a JSON document.
auto usageOfDocument(std::string_view json) -> std::optional<token_usage>
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto found = document.find("usage");
    return found == document.end() ? std::nullopt : usageOf(*found);
}

// The JSON object at the start of `text`, found by counting braces; a usage object has no strings
// that could contain one.
auto objectAt(std::string_view text) -> std::string_view
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '{')
            ++depth;
        if (text[i] == '}' && --depth == 0)
            return text.substr(0, i + 1);
    }
    return {};
}

// The last `usage` member of a document whose start is missing.
auto usageOfTail(std::string_view tail) -> std::optional<token_usage>
{
    const auto at = tail.rfind(usageName);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto rest = skipSpaces(tail.substr(at + usageName.size()));
    if (!rest.starts_with(':'))
        return std::nullopt;
    rest = skipSpaces(rest.substr(1));
    if (!rest.starts_with('{'))
        return std::nullopt;
    return usageOf(nlohmann::json::parse(objectAt(rest), nullptr, false));
}

} // namespace

auto sse_scanner::feed(std::string_view data) -> void
{
    while (!data.empty()) {
        const auto end = lineLength(data);
        const auto part = data.substr(0, end);
        const auto ends = end < data.size();
        if (m_line.empty() && !m_lineTooLong && ends) {
            parseLine(part);
        } else {
            m_lineTooLong = m_lineTooLong || m_line.size() + part.size() > maxLineBytes;
            if (m_lineTooLong)
                m_line.clear();
            else
                m_line += part;
            if (ends) {
                parseLine(m_line);
                m_line.clear();
                m_lineTooLong = false;
            }
        }
        if (!ends)
            return;
        data = data.substr(end + 1);
    }
}

auto sse_scanner::parseLine(std::string_view line) -> void
{
    if (!line.starts_with(dataField) || m_ended)
        return;
    const auto value = skipSpaces(line.substr(dataField.size()));
    if (value == endOfStream) {
        m_ended = true;
        return;
    }
    if (hasContent(value))
        ++m_contentEvents;
    if (findName(value, usageName) == std::string_view::npos)
        return;
    if (const auto usage = usageOfDocument(value))
        m_usage = usage;
}

auto sse_scanner::metered() const -> token_usage
{
    return m_usage.value_or(token_usage{.completionTokens = m_contentEvents});
}

auto document_scanner::countBrackets(std::string_view data) -> void
{
    for (const auto letter : data) {
        if (m_escaped) {
            m_escaped = false;
        } else if (m_inString) {
            m_escaped = letter == '\\';
            m_inString = letter != '"';
        } else if (letter == '"') {
            m_inString = true;
        } else if (letter == '{' || letter == '[') {
            m_started = true;
            ++m_depth;
        } else if (letter == '}' || letter == ']') {
            --m_depth;
        }
    }
}

auto document_scanner::feed(std::string_view data) -> void
{
    countBrackets(data);
    m_buffer += data;
    if (m_buffer.size() <= maxDocumentBytes)
        return;
    m_startDropped = true;
    m_buffer.erase(0, m_buffer.size() - keptTailBytes);
}

auto document_scanner::usage() const -> std::optional<token_usage>
{
    return m_startDropped ? usageOfTail(m_buffer) : usageOfDocument(m_buffer);
}

} // namespace mustardline
