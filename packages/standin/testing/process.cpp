#include "standin/testing/process.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mustardline::standin {

namespace {

constexpr int signalStatusBase = 128;

// The two ends of a pipe, both closed on exec.
struct pipe_ends
{
    int reading = -1;
    int writing = -1;
};

auto openPipe() -> pipe_ends
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
        throw harness_error("cannot open a pipe");
    return {.reading = ends[0], .writing = ends[1]};
}

// Reads to the end, passing each chunk to `consume`, and closes the descriptor.
template<class Consumer>
auto readAll(int descriptor, Consumer consume) -> void
{
    constexpr std::size_t bufferBytes = 16384;
    std::array<char, bufferBytes> buffer{};
    while (true) {
        const auto count = ::read(descriptor, buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        consume(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    }
    close(descriptor);
}

auto spawn(const process_options &options, int output, int errors) -> pid_t
{
    if (access(options.program.c_str(), X_OK) != 0)
        throw harness_error(fmt::format("{} is not an executable file", options.program));
    // setpriv has the kernel kill the child when this process dies, then executes the program.
    std::vector<std::string> line{"/usr/bin/setpriv", "--pdeathsig", "KILL", options.program};
    line.insert(line.end(), options.arguments.begin(), options.arguments.end());
    // The last element stays null and terminates the list.
    std::vector<char *> words(line.size() + 1);
    std::ranges::transform(line, words.begin(), [](auto &word) { return word.data(); });
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errors, STDERR_FILENO);
    pid_t pid = -1;
    const auto failure
        = posix_spawn(&pid, line.front().c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw harness_error(fmt::format("cannot start {}", line.front()));
    return pid;
}

} // namespace

auto programPath(const std::string &name) -> std::string
{
    const auto *replacement = std::getenv("MUSTARDLINE_TEST_PROGRAM");
    if (name == "mustardline" && replacement != nullptr)
        return replacement;
    auto package = std::string("standin");
    if (name == "mustardline")
        package = "entry";
    else if (name == "mustardline-agent")
        package = "agent";
    return fmt::format("{}/packages/{}/{}", MUSTARDLINE_BINARY_DIR, package, name);
}

process::process(process_options options) : m_options(std::move(options))
{
    if (m_options.name.empty())
        m_options.name = std::filesystem::path(m_options.program).filename();
    start();
}

process::~process()
{
    kill();
    close(m_pidDescriptor);
}

auto process::start() -> void
{
    const auto output = openPipe();
    const auto errors = openPipe();
    m_pid = spawn(m_options, output.writing, errors.writing);
    close(output.writing);
    close(errors.writing);
    m_pidDescriptor = static_cast<int>(syscall(SYS_pidfd_open, m_pid, 0));
    m_errorReader = std::thread([this, errors] { readLines(errors.reading, nullptr); });
    m_outputReader = std::thread([this, output] { readLines(output.reading, &m_output); });
}

auto process::readLines(int descriptor, std::string *copy) -> void
{
    std::string rest;
    readAll(descriptor, [&](std::string_view data) {
        const std::scoped_lock lock(m_mutex);
        if (copy != nullptr)
            *copy += data;
        rest += data;
        std::size_t begin = 0;
        for (auto end = rest.find('\n'); end != std::string::npos; end = rest.find('\n', begin)) {
            m_lines.push_back(rest.substr(begin, end - begin));
            begin = end + 1;
        }
        rest.erase(0, begin);
        m_changed.notify_all();
    });
    const std::scoped_lock lock(m_mutex);
    if (!rest.empty())
        m_lines.push_back(rest);
    ++m_finishedReaders;
    m_changed.notify_all();
}

auto process::lineCount() const -> std::size_t
{
    const std::scoped_lock lock(m_mutex);
    return m_lines.size();
}

auto process::lines() const -> std::vector<std::string>
{
    const std::scoped_lock lock(m_mutex);
    return m_lines;
}

auto process::output() const -> std::string
{
    const std::scoped_lock lock(m_mutex);
    return m_output;
}

auto process::waitFor(const event_pattern &pattern, std::size_t firstLine) -> log_line
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    std::unique_lock lock(m_mutex);
    for (auto next = firstLine;; ++next) {
        const auto arrived = m_changed.wait_until(
            lock, deadline, [&] { return next < m_lines.size() || allOutputRead(); });
        if (!arrived || next >= m_lines.size()) {
            lock.unlock();
            throw harness_error(fmt::format("{}: {} before a line \"{}\"; the last lines:\n{}",
                                            name(), arrived ? "exited" : "timed out",
                                            pattern.text(), lastLines()));
        }
        log_line line(m_lines[next]);
        if (pattern.matches(line))
            return line;
    }
}

auto process::count(const event_pattern &pattern) const -> std::size_t
{
    std::size_t found = 0;
    for (const auto &text : lines()) {
        if (pattern.matches(log_line(text)))
            ++found;
    }
    return found;
}

auto process::sendSignal(int number) -> void
{
    if (!m_ended)
        ::kill(m_pid, number);
}

auto process::freeze() -> void
{
    sendSignal(SIGSTOP);
    siginfo_t state{};
    waitid(P_PID, static_cast<id_t>(m_pid), &state, WSTOPPED | WEXITED | WNOWAIT);
}

auto process::thaw() -> void
{
    sendSignal(SIGCONT);
}

auto process::wait() -> int
{
    if (m_ended)
        return m_status;
    pollfd end{.fd = m_pidDescriptor, .events = POLLIN};
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(waitTimeout).count();
    if (poll(&end, 1, static_cast<int>(limit)) == 0) {
        throw harness_error(
            fmt::format("{}: did not exit in time; the last lines:\n{}", name(), lastLines()));
    }
    reap();
    return m_status;
}

auto process::terminate() -> int
{
    sendSignal(SIGTERM);
    return wait();
}

auto process::kill() -> void
{
    if (m_ended)
        return;
    sendSignal(SIGKILL);
    reap();
}

auto process::reap() -> void
{
    int state = 0;
    while (waitpid(m_pid, &state, 0) < 0 && errno == EINTR) {
    }
    m_status = WIFEXITED(state) ? WEXITSTATUS(state) : signalStatusBase + WTERMSIG(state);
    m_ended = true;
    m_errorReader.join();
    m_outputReader.join();
}

auto process::lastLines() const -> std::string
{
    constexpr std::size_t shown = 20;
    const auto all = lines();
    std::string text;
    for (auto i = all.size() > shown ? all.size() - shown : 0; i < all.size(); ++i)
        text += "    " + all[i] + "\n";
    return text;
}

} // namespace mustardline::standin
