#include "forwarding/library_log.h"

#include <cstdlib>
#include <utility>

#include <event2/event.h>
#include <google/protobuf/stubs/logging.h>

#include "forwarding/events.h"

namespace mustardline {

namespace {

constexpr int maxLinesPerSecond = 5;

// The libraries' callbacks have no argument of their own.
library_log *active = nullptr;

auto handleLibevent(int severity, const char *text) -> void
{
    if (active != nullptr && severity != EVENT_LOG_DEBUG)
        active->write("libevent", text);
}

// libevent cannot go on; the crash report writes what has been logged.
auto handleLibeventFailure(int code) -> void
{
    if (active != nullptr)
        active->write("libevent", "the library cannot go on, error " + std::to_string(code));
    std::abort();
}

auto handleProtobuf(google::protobuf::LogLevel, const char *, int, const std::string &text) -> void
{
    if (active != nullptr)
        active->write("protobuf", text);
}

} // namespace

library_log::library_log(logger &log) : m_log(log)
{
    active = this;
    event_set_log_callback(handleLibevent);
    event_set_fatal_callback(handleLibeventFailure);
    google::protobuf::SetLogHandler(handleProtobuf);
}

// The callbacks stay: without a log to write to, what libraries print is dropped.
library_log::~library_log()
{
    active = nullptr;
}

auto library_log::write(std::string_view library, std::string_view text) -> void
{
    const auto now = m_clock.now();
    if (now - m_secondBegan >= std::chrono::seconds(1)) {
        m_secondBegan = now;
        m_linesInSecond = 0;
    }
    if (++m_linesInSecond > maxLinesPerSecond) {
        ++m_leftOut;
        return;
    }
    m_log.write(libraryMessage, field("library", library), field("text", text),
                field("left_out", std::exchange(m_leftOut, 0)));
}

} // namespace mustardline
