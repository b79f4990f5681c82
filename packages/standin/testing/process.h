#pragma once

// A process that a test starts, watches through its log lines, and ends.
//
//     process agent({.program = programPath("mustardline-agent"), .arguments = {"--settings", f}});
//     const auto port = agent.waitFor({.name = "listening"}).field("port");
//     agent.freeze();
//     agent.thaw();
//     EXPECT_EQ(agent.terminate(), 0);
//
// Waits end with `harness_error`, which fails the test, after `giveUp`, or at once if the process
// has ended; the message carries the process's last lines. A process still running at destruction
// is killed. Only tests start processes; the product never does.

#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "base/clock.h"
#include "standin/testing/log_line.h"

namespace mustardline::standin {

// Longest wait for anything that a test expects.
inline constexpr std::chrono::seconds giveUp{30};

// Something that a test waited for did not come.
class harness_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The path of a program of this build: mustardline, mustardline-agent or standin-*.
[[nodiscard]] auto programPath(const std::string &name) -> std::string;

struct process_options
{
    std::string program;
    std::vector<std::string> arguments;
    // Name in messages; the program's file name if empty.
    std::string name;
};

class process
{
public:
    explicit process(process_options options);
    ~process();
    process(const process &) = delete;
    auto operator=(const process &) -> process & = delete;

    [[nodiscard]] auto id() const -> pid_t { return m_pid; }
    [[nodiscard]] auto name() const -> const std::string & { return m_options.name; }

    // Lines of standard output and standard error so far. As an argument of `waitFor`, skips what
    // came before.
    [[nodiscard]] auto lineCount() const -> std::size_t;
    [[nodiscard]] auto lines() const -> std::vector<std::string>;
    // Standard output so far.
    [[nodiscard]] auto output() const -> std::string;

    // The first line from `firstLine` on that matches; waits for it.
    auto waitFor(const event_pattern &pattern, std::size_t firstLine = 0) -> log_line;

    // How many lines match so far.
    [[nodiscard]] auto count(const event_pattern &pattern) const -> std::size_t;

    auto sendSignal(int number) -> void;
    // Stops the process and returns once it stands still; `thaw` lets it go on.
    auto freeze() -> void;
    auto thaw() -> void;

    // Waits for the end; the exit status, or 128 plus the number of the signal that ended it.
    // All output has been read by then.
    auto wait() -> int;
    // Asks for a clean end by SIGTERM and waits for it.
    auto terminate() -> int;
    // Ends the process at once by SIGKILL.
    auto kill() -> void;
    [[nodiscard]] auto hasEnded() const -> bool { return m_ended; }

private:
    auto start() -> void;
    // Appends the lines that come; all that comes to `whole` as well, if given.
    auto readLines(int descriptor, std::string *whole) -> void;
    [[nodiscard]] auto linesEnded() const -> bool { return m_endedReaders == 2; }
    auto reap() -> void;
    [[nodiscard]] auto lastLines() const -> std::string;

    process_options m_options;
    pid_t m_pid = -1;
    // Becomes readable when the process ends.
    int m_endDescriptor = -1;
    bool m_ended = false;
    int m_status = 0;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    int m_endedReaders = 0;
    std::string m_output;
    std::thread m_errorReader;
    std::thread m_outputReader;
};

} // namespace mustardline::standin
