#pragma once

// A child process of a test, observed through its log lines.
//
//     process agent({.program = programPath("mustardline-agent"), .arguments = {"--settings", f}});
//     const auto port = agent.waitFor({.name = "listening"}).field("port");
//     agent.freeze();
//     agent.thaw();
//     EXPECT_EQ(agent.terminate(), 0);
//
// Waits throw `harness_error`, which fails the test, after `waitTimeout`, or at once if the process
// has exited; the message contains the process's last lines. The destructor kills a process that is
// still running. Only tests start processes; the product never does.

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

// Timeout of every wait of the test fixtures.
inline constexpr std::chrono::seconds waitTimeout{30};

// A wait timed out, or the test environment could not be set up.
class harness_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The path of a program of this build: mustardline, mustardline-agent or standin-*. The environment
// variable MUSTARDLINE_TEST_PROGRAM names another mustardline, such as one of an earlier commit.
[[nodiscard]] auto programPath(const std::string &name) -> std::string;

struct process_options
{
    std::string program;
    std::vector<std::string> arguments;
    // Name for messages; the program's file name if empty.
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

    // Number of lines on standard output and standard error so far. Pass it to `waitFor` to skip
    // these lines.
    [[nodiscard]] auto lineCount() const -> std::size_t;
    [[nodiscard]] auto lines() const -> std::vector<std::string>;
    // Standard output so far.
    [[nodiscard]] auto output() const -> std::string;

    // Waits for and returns the first matching line from index `firstLine` on.
    auto waitFor(const event_pattern &pattern, std::size_t firstLine = 0) -> log_line;

    // Number of matching lines so far.
    [[nodiscard]] auto count(const event_pattern &pattern) const -> std::size_t;

    auto sendSignal(int number) -> void;
    // Suspends the process (SIGSTOP) and returns once it is stopped; `thaw` resumes it.
    auto freeze() -> void;
    auto thaw() -> void;

    // Waits for the exit and the end of the output; returns the exit status, or 128 plus the number
    // of the signal that killed the process.
    auto wait() -> int;
    // Sends SIGTERM and waits for the exit.
    auto terminate() -> int;
    // Kills the process (SIGKILL).
    auto kill() -> void;
    [[nodiscard]] auto hasEnded() const -> bool { return m_ended; }

private:
    auto start() -> void;
    // Reads to the end of the descriptor into `m_lines`, and the raw bytes into `copy` if not null.
    auto readLines(int descriptor, std::string *copy) -> void;
    [[nodiscard]] auto allOutputRead() const -> bool { return m_finishedReaders == 2; }
    auto reap() -> void;
    [[nodiscard]] auto lastLines() const -> std::string;

    process_options m_options;
    pid_t m_pid = -1;
    // A pidfd: becomes readable when the process exits.
    int m_pidDescriptor = -1;
    bool m_ended = false;
    int m_status = 0;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    int m_finishedReaders = 0;
    std::string m_output;
    std::thread m_errorReader;
    std::thread m_outputReader;
};

} // namespace mustardline::standin
