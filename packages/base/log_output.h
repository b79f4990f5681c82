#pragma once

// Writes log lines to a file descriptor without ever blocking on its reader.
//
//     log_output output({.descriptor = STDOUT_FILENO});
//     output.add("level=info ...");
//     output.flush(); // several times a second
//
// Lines are buffered and written in batches. If the reader does not keep up, the buffer grows to a
// limit; lines beyond it are dropped whole, and a line with their number is written once the buffer
// has drained.

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardline {

struct log_output_options
{
    int descriptor = 1;
    // Limit of the buffer.
    std::size_t maxBufferBytes = 256U << 10U;
    // `add` flushes once this much is buffered.
    std::size_t flushBytes = 4U << 10U;
};

class log_output
{
public:
    explicit log_output(log_output_options options) : m_options(options) {}

    auto add(std::string_view line) -> void;
    auto flush() -> void;

    // Writes the buffer and then `line`, as far as possible without blocking. For a crashing
    // process only: the function is async-signal-safe (no allocation) and leaves the buffer as it
    // is.
    auto writeOnCrash(std::string_view line) const noexcept -> void;

    [[nodiscard]] auto droppedLines() const -> std::uint64_t { return m_droppedLines; }

private:
    // Writes as much of the start of `text` as is possible without blocking; returns the number of
    // bytes written.
    [[nodiscard]] auto writePart(std::string_view text) const noexcept -> std::size_t;

    log_output_options m_options;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    // Dropped lines that no line in the log has reported yet.
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace mustardline
