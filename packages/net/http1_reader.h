#pragma once

// Reads HTTP/1.1 messages from bytes as they arrive, strictly.
//
//     http1_reader reader({.kind = http1_kind::request});
//     std::string_view input = whatCameIn;
//     for (;;) {
//         const auto event = reader.next(input); // takes what it has read off `input`
//         if (std::holds_alternative<http1_need_more>(event))
//             break;
//         ...
//     }
//
// A message gives one http1_head, any number of http1_body and one http1_end, at which the reader
// stands before the next message; what is left of `input` belongs to that one. A fault is final.
// The head is parsed by http_parser. What that library lets pass in the form that Debian builds
// (spaces before a colon, bare line feeds, folded headers, odd ends of chunks) is refused here,
// because a peer that reads such a message differently would take its parts for other messages.

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
    // Bytes of the start line and headers together.
    std::size_t maxHeadBytes = 32U << 10U;
    std::size_t maxBodyBytes = SIZE_MAX;
};

struct http1_head
{
    // Of a request.
    std::string method;
    // Of a request: path and query as they were sent.
    std::string target;
    // Of a response.
    int status = 0;
    std::vector<http_header> headers;
    // Whether the connection may carry another message after this one.
    bool keepAlive = true;
    // Whether the peer understands chunks (HTTP/1.1).
    bool understandsChunks = true;
};

// All input is read; the message has not ended.
struct http1_need_more
{};

// A part of the body; valid until the next call.
struct http1_body
{
    std::string_view data;
};

struct http1_end
{};

// The peer does not speak the protocol, or is over a limit.
struct http1_fault
{
    // The status to answer to a request.
    int status = 400;
    error reason;
};

using http1_event = std::variant<http1_need_more, http1_head, http1_body, http1_end, http1_fault>;

class http1_reader
{
public:
    explicit http1_reader(http1_reader_options options) : m_options(options) {}

    // Reads on to the next event and removes what it has read from `input`.
    [[nodiscard]] auto next(std::string_view &input) -> http1_event;

    // Says that the answer to come has no body whatever its headers say (an answer to HEAD).
    auto expectNoBody() -> void { m_expectNoBody = true; }

    // Whether the connection may end here without cutting a message short: between two messages,
    // or in a response whose body has no stated length.
    [[nodiscard]] auto mayEndHere() const -> bool
    {
        return (m_state == state::head && m_buffer.empty()) || m_state == state::until_close;
    }

    // Whether a message has begun.
    [[nodiscard]] auto isInside() const -> bool
    {
        return m_state != state::head || !m_buffer.empty();
    }

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
    [[nodiscard]] auto readFixed(std::string_view &input, state after) -> http1_event;
    [[nodiscard]] auto readChunkSize() -> http1_event;
    [[nodiscard]] auto bodyGrows(std::uint64_t bytes) -> bool;
    // Moves bytes through the next line feed to m_buffer; true once a whole line is there.
    [[nodiscard]] auto takeLine(std::string_view &input) -> bool;
    [[nodiscard]] auto fail(int status, result_code code, std::string message) -> http1_event;

    http1_reader_options m_options;
    state m_state = state::head;
    // The part of the head or of a line of chunked framing that has arrived.
    std::string m_buffer;
    // Bytes left of the body or chunk.
    std::uint64_t m_left = 0;
    std::uint64_t m_bodyBytes = 0;
    std::size_t m_trailerBytes = 0;
    bool m_expectNoBody = false;
};

} // namespace mustardline
