#pragma once

// Writes log lines to a file descriptor without ever waiting for its reader.
//
//     log_output output({.descriptor = STDOUT_FILENO});
//     output.add("level=info ...");
//     output.flush(); // some times a second
//
// Lines are gathered and written together. What the reader does not take is kept up to a bound;
// beyond it whole lines are left out, and their number is written once there is room again.

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardline {

struct log_output_options
{
    int descriptor = 1;
    // Bytes kept while the reader does not read.
    std::size_t maxKeptBytes = 256U << 10U;
    // Written at once when so much is gathered.
    std::size_t flushBytes = 4U << 10U;
};

class log_output
{
public:
    explicit log_output(log_output_options options) : m_options(options) {}

    auto add(std::string_view line) -> void;
    auto flush() -> void;

    // Writes what is kept and `line`, as far as the reader takes it at once. For the last moment of
    // a process: it allocates nothing and keeps no account, so that a signal handler may call it.
    auto writeLast(std::string_view line) const noexcept -> void;

    [[nodiscard]] auto droppedLines() const -> std::uint64_t { return m_dropped; }

private:
    // Writes the beginning of `text` if the reader takes it at once; returns how many bytes it
    // took.
    [[nodiscard]] auto writePart(std::string_view text) const noexcept -> std::size_t;

    log_output_options m_options;
    std::string m_kept;
    std::uint64_t m_dropped = 0;
    // Of m_dropped, not told in the log yet.
    std::uint64_t m_untold = 0;
};

} // namespace mustardline
