#pragma once

// Strict incremental parser of HTTP/1.1 messages.
//
//     http1_reader reader({.kind = http1_kind::request});
//     std::string_view input = receivedBytes;
//     for (;;) {
//         const auto event = reader.next(input); // removes what it has consumed from `input`
//         if (std::holds_alternative<http1_need_more>(event))
//             break;
//         ...
//     }
//
// A message yields one http1_head, any number of http1_body and one http1_end. After http1_end the
// rest of `input` belongs to the next message. After an error the reader yields nothing but errors.
//
// The head is parsed by http_parser. Debian's build of that library accepts spaces before a colon,
// bare line feeds, folded headers and malformed chunk ends. This reader rejects them, because a
// peer that delimits such a message differently enables request smuggling.

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "net/http_message.h"

namespace mustardline {

enum class http1_kind : std::uint8_t { request, response };

struct http1_reader_options
{
    http1_kind kind = http1_kind::request;
    // Limit for the start line and headers together.
    std::size_t maxHeadBytes = 32U << 10U;
    std::size_t maxBodyBytes = SIZE_MAX;
};

struct http1_head
{
    // Set for a request.
    std::string method;
    // Set for a request: path and query as sent.
    std::string target;
    // Set for a response.
    int status = 0;
    std::vector<http_header> headers;
    // Whether the connection may carry another message after this one.
    bool keepAlive = true;
    // Set for a response whose body is all that follows on the connection.
    bool endsWithConnection = false;
    // Whether the peer supports chunked transfer encoding (HTTP/1.1).
    bool supportsChunked = true;
};

// The input is consumed and the message is incomplete.
struct http1_need_more
{};

// A part of the body; valid until the next call of `next`.
struct http1_body
{
    std::string_view data;
};

struct http1_end
{};

// The message is malformed or exceeds a limit.
struct http1_error
{
    // The HTTP status with which to answer a request.
    int status = 400;
    error reason;
};

using http1_event = std::variant<http1_need_more, http1_head, http1_body, http1_end, http1_error>;

class http1_reader
{
public:
    explicit http1_reader(http1_reader_options options) : m_options(options) {}

    // Reads up to the next event and removes what it has consumed from `input`.
    [[nodiscard]] auto next(std::string_view &input) -> http1_event;

    // Sets the limits of the messages that begin from now on.
    auto setLimits(std::size_t maxHeadBytes, std::size_t maxBodyBytes) -> void
    {
        m_options.maxHeadBytes = maxHeadBytes;
        m_options.maxBodyBytes = maxBodyBytes;
    }

    // The next response has no body, whatever its headers say (a response to HEAD).
    auto expectNoBody() -> void { m_expectNoBody = true; }

    // Whether the connection may end now without truncating a message: between messages, or in a
    // response whose body is delimited by the end of the connection.
    [[nodiscard]] auto mayEndNow() const -> bool
    {
        return (m_state == state::head && m_buffer.empty()) || m_state == state::until_close;
    }

    // Whether a message has been received in part.
    [[nodiscard]] auto isInsideMessage() const -> bool
    {
        return m_state != state::head || !m_buffer.empty();
    }

    // Memory of the part of a head or chunk line that has been received.
    [[nodiscard]] auto bufferedBytes() const -> std::size_t { return m_buffer.capacity(); }

private:
    enum class state : std::uint8_t {
        head,
        fixed_body,
        until_close,
        chunk_size,
        chunk_data,
        chunk_data_end,
        trailers,
        end,
        failed,
    };

    [[nodiscard]] auto readHead(std::string_view &input) -> http1_event;
    [[nodiscard]] auto parseHead() -> http1_event;
    [[nodiscard]] auto chooseFraming(http1_head &head) -> http1_event;
    [[nodiscard]] auto readBodyBytes(std::string_view &input, state after) -> http1_event;
    [[nodiscard]] auto readChunkSize() -> http1_event;
    [[nodiscard]] auto addBodyBytes(std::uint64_t bytes) -> bool;
    // Moves bytes up to and including the next line feed to m_buffer; true once the line is
    // complete.
    [[nodiscard]] auto takeLine(std::string_view &input) -> bool;
    [[nodiscard]] auto fail(int status, result_code code, std::string message) -> http1_event;

    http1_reader_options m_options;
    state m_state = state::head;
    // The incomplete head or line of chunked framing.
    std::string m_buffer;
    // Remaining bytes of the body or chunk.
    std::uint64_t m_remainingBytes = 0;
    std::uint64_t m_bodyBytes = 0;
    std::size_t m_trailerBytes = 0;
    bool m_expectNoBody = false;
};

} // namespace mustardline
