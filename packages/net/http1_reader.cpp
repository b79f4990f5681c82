#include "net/http1_reader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <http_parser.h>

#include "net/decimal.h"

namespace mustardline {

namespace {

constexpr int badRequest = 400;
constexpr int bodyTooLarge = 413;
constexpr int headTooLarge = 431;
constexpr int notImplemented = 501;
constexpr int versionNotSupported = 505;
// Maximum length of a chunk size line, including extensions.
constexpr std::size_t maxChunkLineBytes = 1024;
// Memory that the buffer keeps between messages.
constexpr std::size_t maxIdleBufferBytes = 4096;
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lineEnd = "\r\n";

// Filled by the callbacks of http_parser.
struct parsed_head
{
    http1_head head;
    // The last header's name is complete and its value has begun.
    bool inValue = false;
};

auto parsedOf(http_parser *parser) -> parsed_head &
{
    return *static_cast<parsed_head *>(parser->data);
}

auto onTarget(http_parser *parser, const char *data, std::size_t length) -> int
{
    parsedOf(parser).head.target.append(data, length);
    return 0;
}

auto onName(http_parser *parser, const char *data, std::size_t length) -> int
{
    auto &parsed = parsedOf(parser);
    if (parsed.head.headers.empty() || parsed.inValue)
        parsed.head.headers.emplace_back();
    parsed.inValue = false;
    parsed.head.headers.back().name.append(data, length);
    return 0;
}

auto onValue(http_parser *parser, const char *data, std::size_t length) -> int
{
    auto &parsed = parsedOf(parser);
    parsed.inValue = true;
    parsed.head.headers.back().value.append(data, length);
    return 0;
}

// Returning 1 makes http_parser skip the body, which http1_reader reads itself.
auto onHeadEnd(http_parser *) -> int
{
    return 1;
}

auto parserSettings() -> const http_parser_settings &
{
    static const auto settings = [] {
        http_parser_settings value;
        http_parser_settings_init(&value);
        value.on_url = onTarget;
        value.on_header_field = onName;
        value.on_header_value = onValue;
        value.on_headers_complete = onHeadEnd;
        return value;
    }();
    return settings;
}

// Whether a line feed is not preceded by a carriage return; `previous` is the byte before `text`.
auto hasBareLineFeed(std::string_view text, char previous) -> bool
{
    for (const auto letter : text) {
        if (letter == '\n' && previous != '\r')
            return true;
        previous = letter;
    }
    return false;
}

// Whether the head has a folded header, a line without a colon, or a header name that is empty or
// contains whitespace.
auto hasMalformedHeaderLine(std::string_view head) -> bool
{
    auto start = head.find(lineEnd);
    while (start != std::string_view::npos && start + lineEnd.size() < head.size()) {
        start += lineEnd.size();
        const auto end = head.find(lineEnd, start);
        const auto line = head.substr(start, end - start);
        if (line.empty())
            return false;
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0
            || line.substr(0, colon).find_first_of(" \t") != std::string_view::npos)
            return true;
        start = end;
    }
    return false;
}

auto countHeaders(const http1_head &head, std::string_view name) -> std::ptrdiff_t
{
    return std::ranges::count_if(
        head.headers, [name](const auto &item) { return sameHeaderName(item.name, name); });
}

// Parses a chunk size line, given without its line ending.
auto parseChunkSizeLine(std::string_view line) -> std::optional<std::uint64_t>
{
    constexpr int hexadecimal = 16;
    // 15 hexadecimal digits cannot overflow the byte count of a body.
    constexpr std::ptrdiff_t maxDigits = 15;
    std::uint64_t size = 0;
    const auto *end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data(), end, size, hexadecimal);
    const auto digits = parsed.ptr - line.data();
    if (parsed.ec != std::errc() || digits == 0 || digits > maxDigits)
        return std::nullopt;
    if (parsed.ptr != end && *parsed.ptr != ';')
        return std::nullopt;
    return size;
}

// Responses with these statuses never have a body.
auto isBodyless(int status) -> bool
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status == noContent || status == notModified;
}

auto isInterim(int status) -> bool
{
    constexpr int firstInterim = 100;
    constexpr int firstFinal = 200;
    return status >= firstInterim && status < firstFinal;
}

// Whether the head of a response names a status as HTTP defines it: three digits, 100 to 599.
// http_parser accepts any number.
auto hasValidStatus(std::string_view head) -> bool
{
    constexpr auto versionLength = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t statusLength = 3;
    const auto line = head.substr(0, head.find(lineEnd));
    if (line.size() < versionLength + statusLength || line[versionLength - 1] != ' ')
        return false;
    const auto rest = line.substr(versionLength + statusLength);
    if (!rest.empty() && rest.front() != ' ')
        return false;
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    const auto status = parseDecimal<int>(line.substr(versionLength, statusLength)).value_or(0);
    return status >= firstStatus && status <= lastStatus;
}

} // namespace

auto http1_reader::next(std::string_view &input) -> http1_event
{
    for (;;) {
        switch (m_state) {
        case state::head: {
            auto event = readHead(input);
            // Skips interim (1xx) responses; the final response follows.
            if (const auto *head = std::get_if<http1_head>(&event);
                head != nullptr && isInterim(head->status)) {
                m_state = state::head;
                continue;
            }
            return event;
        }
        case state::fixed_body:
            return readBodyBytes(input, state::end);
        case state::chunk_data:
            return readBodyBytes(input, state::chunk_data_end);
        case state::until_close: {
            if (input.empty())
                return http1_need_more();
            if (!addBodyBytes(input.size()))
                return fail(bodyTooLarge, result_code::body_too_large, "body exceeds the limit");
            return http1_body{std::exchange(input, {})};
        }
        case state::chunk_size:
            if (!takeLine(input)) {
                if (m_buffer.size() > maxChunkLineBytes)
                    return fail(badRequest, result_code::bad_request,
                                "chunk size line exceeds the limit");
                return http1_need_more();
            }
            if (auto event = readChunkSize(); std::holds_alternative<http1_error>(event))
                return event;
            continue;
        case state::chunk_data_end:
            if (!takeLine(input)) {
                if (!m_buffer.empty() && m_buffer != "\r")
                    return fail(badRequest, result_code::bad_request,
                                "chunk data does not end in CRLF");
                return http1_need_more();
            }
            if (m_buffer != lineEnd)
                return fail(badRequest, result_code::bad_request,
                            "chunk data does not end in CRLF");
            m_buffer.clear();
            m_state = state::chunk_size;
            continue;
        case state::trailers:
            if (!takeLine(input)) {
                if (m_trailerBytes + m_buffer.size() > m_options.maxHeadBytes)
                    return fail(headTooLarge, result_code::header_too_large,
                                "trailers exceed the limit");
                return http1_need_more();
            }
            if (!m_buffer.ends_with(lineEnd))
                return fail(badRequest, result_code::bad_request,
                            "trailer line does not end in CRLF");
            m_trailerBytes += m_buffer.size();
            if (m_buffer == lineEnd)
                m_state = state::end;
            m_buffer.clear();
            continue;
        case state::end:
            m_state = state::head;
            m_expectNoBody = false;
            return http1_end();
        case state::failed:
            return http1_error{.status = badRequest,
                               .reason
                               = {.code = result_code::bad_request,
                                  .message = "connection unusable after an earlier parse error"}};
        }
    }
}

auto http1_reader::readHead(std::string_view &input) -> http1_event
{
    // Skips empty lines before a message, including one whose CR and LF arrived separately.
    if (m_buffer == "\r" && input.starts_with('\n')) {
        m_buffer.clear();
        input.remove_prefix(1);
    }
    while (m_buffer.empty() && input.starts_with(lineEnd))
        input.remove_prefix(lineEnd.size());
    if (input.empty())
        return http1_need_more();
    const auto bufferedBefore = m_buffer.size();
    const auto previous = m_buffer.empty() ? '\0' : m_buffer.back();
    const auto maxAppend
        = m_options.maxHeadBytes + 1 - std::min(bufferedBefore, m_options.maxHeadBytes);
    m_buffer.append(input.substr(0, maxAppend));
    const auto searchFrom = bufferedBefore < headEnd.size() ? 0 : bufferedBefore - headEnd.size();
    const auto end = m_buffer.find(headEnd, searchFrom);
    if (end == std::string::npos) {
        input.remove_prefix(m_buffer.size() - bufferedBefore);
        if (m_buffer.size() > m_options.maxHeadBytes)
            return fail(headTooLarge, result_code::header_too_large, "headers exceed the limit");
        if (hasBareLineFeed(std::string_view(m_buffer).substr(bufferedBefore), previous))
            return fail(badRequest, result_code::bad_request, "line feed without carriage return");
        return http1_need_more();
    }
    input.remove_prefix(end + headEnd.size() - bufferedBefore);
    m_buffer.resize(end + headEnd.size());
    if (m_buffer.size() > m_options.maxHeadBytes)
        return fail(headTooLarge, result_code::header_too_large, "headers exceed the limit");
    return parseHead();
}

auto http1_reader::parseHead() -> http1_event
{
    if (hasBareLineFeed(m_buffer, '\0') || m_buffer.find('\0') != std::string::npos
        || hasMalformedHeaderLine(m_buffer))
        return fail(badRequest, result_code::bad_request, "malformed headers");
    const bool isRequest = m_options.kind == http1_kind::request;
    http_parser parser;
    http_parser_init(&parser, isRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parsed_head parsed;
    parser.data = &parsed;
    http_parser_execute(&parser, &parserSettings(), m_buffer.data(), m_buffer.size());
    if (const auto parseError = HTTP_PARSER_ERRNO(&parser); parseError != HPE_OK)
        return fail(badRequest, result_code::bad_request, http_errno_description(parseError));
    if (parser.http_major != 1)
        return fail(versionNotSupported, result_code::bad_request, "HTTP version is not 1.x");
    if (!isRequest && !hasValidStatus(m_buffer))
        return fail(badRequest, result_code::bad_request, "status is not three digits, 100 to 599");
    // A connection that stays open does not keep the memory of a large head.
    if (m_buffer.capacity() > maxIdleBufferBytes)
        m_buffer = {};
    m_buffer.clear();
    auto &head = parsed.head;
    if (isRequest)
        head.method = http_method_str(static_cast<http_method>(parser.method));
    else
        head.status = parser.status_code;
    head.supportsChunked = parser.http_minor > 0;
    const auto connection = findHeader(head.headers, "connection");
    head.keepAlive = parser.http_minor > 0 ? !sameHeaderName(connection, "close")
                                           : sameHeaderName(connection, "keep-alive");
    if (isRequest && countHeaders(head, "host") != 1 && parser.http_minor > 0)
        return fail(badRequest, result_code::bad_request,
                    "request must have exactly one Host header");
    return chooseFraming(head);
}

auto http1_reader::chooseFraming(http1_head &head) -> http1_event
{
    const auto contentLengths = countHeaders(head, "content-length");
    const auto transferEncodings = countHeaders(head, "transfer-encoding");
    if (contentLengths > 1 || transferEncodings > 1
        || (contentLengths > 0 && transferEncodings > 0))
        return fail(badRequest, result_code::bad_request, "ambiguous body length");
    m_bodyBytes = 0;
    m_trailerBytes = 0;
    const bool isRequest = m_options.kind == http1_kind::request;
    const bool hasNoBody = isInterim(head.status) || isBodyless(head.status) || m_expectNoBody
                           || (isRequest && contentLengths == 0 && transferEncodings == 0);
    if (hasNoBody) {
        m_state = state::end;
    } else if (transferEncodings == 1) {
        if (!sameHeaderName(findHeader(head.headers, "transfer-encoding"), "chunked"))
            return fail(notImplemented, result_code::bad_request, "unknown transfer encoding");
        m_state = state::chunk_size;
    } else if (contentLengths == 1) {
        const auto length = parseDecimal<std::uint64_t>(findHeader(head.headers, "content-length"));
        if (!length)
            return fail(badRequest, result_code::bad_request, "Content-Length is not a number");
        if (!addBodyBytes(*length))
            return fail(bodyTooLarge, result_code::body_too_large, "body exceeds the limit");
        m_remainingBytes = *length;
        m_state = m_remainingBytes == 0 ? state::end : state::fixed_body;
    } else {
        head.keepAlive = false;
        head.endsWithConnection = true;
        m_state = state::until_close;
    }
    return std::move(head);
}

auto http1_reader::readBodyBytes(std::string_view &input, state after) -> http1_event
{
    if (input.empty())
        return http1_need_more();
    const auto part = input.substr(0, std::min<std::uint64_t>(m_remainingBytes, input.size()));
    input.remove_prefix(part.size());
    m_remainingBytes -= part.size();
    if (m_remainingBytes == 0)
        m_state = after;
    return http1_body{part};
}

auto http1_reader::readChunkSize() -> http1_event
{
    if (!m_buffer.ends_with(lineEnd))
        return fail(badRequest, result_code::bad_request, "chunk size line does not end in CRLF");
    const auto size = parseChunkSizeLine(
        std::string_view(m_buffer).substr(0, m_buffer.size() - lineEnd.size()));
    if (!size)
        return fail(badRequest, result_code::bad_request, "malformed chunk size");
    if (!addBodyBytes(*size))
        return fail(bodyTooLarge, result_code::body_too_large, "body exceeds the limit");
    m_buffer.clear();
    m_remainingBytes = *size;
    m_state = m_remainingBytes == 0 ? state::trailers : state::chunk_data;
    return http1_need_more();
}

auto http1_reader::addBodyBytes(std::uint64_t bytes) -> bool
{
    if (bytes > m_options.maxBodyBytes - m_bodyBytes)
        return false;
    m_bodyBytes += bytes;
    return true;
}

auto http1_reader::takeLine(std::string_view &input) -> bool
{
    const auto end = input.find('\n');
    const auto length = end == std::string_view::npos ? input.size() : end + 1;
    m_buffer.append(input.substr(0, length));
    input.remove_prefix(length);
    return end != std::string_view::npos;
}

auto http1_reader::fail(int status, result_code code, std::string message) -> http1_event
{
    m_state = state::failed;
    return http1_error{.status = status, .reason = {.code = code, .message = std::move(message)}};
}

} // namespace mustardline
