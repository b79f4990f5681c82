#pragma once

// Cuts a stream of server-sent events at the ends of whole events, so that a stream which breaks
// off in the middle of one can be continued from the last whole event.
//
//     event_cutter cutter;
//     send(cutter.take(bytes)); // whole events only
//     cutter.lastId();          // what to continue from
//     send(cutter.rest());      // at the proper end of the stream
//
// Bytes pass unchanged. A stream that does not look like events is passed on as it comes, and
// cannot be continued.

#include <string>
#include <string_view>

namespace mustardline {

class event_cutter
{
public:
    // The bytes up to the end of the last whole event; valid until the next call.
    [[nodiscard]] auto take(std::string_view bytes) -> std::string_view;

    // What is left of an event that has not ended. Gives it up.
    [[nodiscard]] auto rest() -> std::string;

    // The id of the last whole event; empty if none had one.
    [[nodiscard]] auto lastId() const -> const std::string & { return m_lastId; }

    // Whether all that was passed on ends with a whole event.
    [[nodiscard]] auto canContinue() const -> bool { return !m_passesAll; }

private:
    // A longer event is taken for another format.
    static constexpr std::size_t maxEventBytes = 256U << 10U;

    auto noteId(std::string_view events) -> void;

    std::string m_open;
    std::string m_whole;
    std::string m_lastId;
    bool m_passesAll = false;
};

} // namespace mustardline
