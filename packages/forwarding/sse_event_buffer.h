#pragma once

// Splits a stream of server-sent events at event boundaries, so that a stream that breaks off
// within an event can be resumed after the last complete event.
//
//     sse_event_buffer buffer;
//     send(buffer.feed(bytes));       // complete events only
//     buffer.lastId();                // where to resume
//     send(buffer.takeRemainder());   // at the proper end of the stream
//
// Bytes are never changed. A stream that does not look like events is passed through as it arrives
// and cannot be resumed.

#include <string>
#include <string_view>

namespace mustardline {

class sse_event_buffer
{
public:
    // Adds bytes and returns all complete events; the result is valid until the next call.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::string_view;

    // Removes and returns the incomplete event.
    [[nodiscard]] auto takeRemainder() -> std::string;

    // Id of the last complete event that had one; empty if none had.
    [[nodiscard]] auto lastId() const -> const std::string & { return m_lastId; }

    // Whether everything that was returned so far ends at an event boundary.
    [[nodiscard]] auto canResume() const -> bool { return !m_isPassThrough; }

private:
    // A longer event is assumed to be of another format.
    static constexpr std::size_t maxEventBytes = 256U << 10U;

    auto updateLastId(std::string_view events) -> void;

    std::string m_incomplete;
    std::string m_complete;
    std::string m_lastId;
    bool m_isPassThrough = false;
};

} // namespace mustardline
