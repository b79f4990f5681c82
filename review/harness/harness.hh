#pragma once

// Stand-ins for the review's scripts: the platform's store and duty service, servers, clients, and
// the edge under test as a separate process. They speak what the users' PROTOCOL.md says, on
// loopback addresses only.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

// Milliseconds of the steady clock since the program started.
auto nowMs() -> std::int64_t;
auto sleepMs(std::int64_t ms) -> void;
auto unixMs() -> std::int64_t;

// The exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Ends the program with `couldNotRun`.
[[noreturn]] auto giveUp(const std::string &reason) -> void;

// Whether the disruption takes place: false with TROUBLE=0.
auto isTroubled() -> bool;

// The file record.txt of the case.
class recorder
{
public:
    explicit recorder(const std::string &folder);
    ~recorder();
    auto line(const char *format, ...) -> void __attribute__((format(printf, 2, 3)));

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

struct message
{
    // Request line or status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    auto header(std::string_view name) const -> std::string;
    auto method() const -> std::string;
    auto target() const -> std::string;
    auto status() const -> int;
};

// One connection; the descriptor closes with it.
class connection
{
public:
    explicit connection(int descriptor) : m_descriptor(descriptor) {}
    ~connection();
    connection(const connection &) = delete;
    auto operator=(const connection &) -> connection & = delete;

    // Connects to a port of 127.0.0.1.
    static auto to(std::uint16_t port) -> std::shared_ptr<connection>;

    auto send(std::string_view bytes) -> bool;
    // Reads bytes into the buffer; returns what recv returns, or -2 at the time limit.
    auto receive(std::int64_t untilMs) -> long;
    // Reads the next request, whose body has a length.
    auto readRequest() -> std::optional<message>;
    // Closes it with a reset.
    auto reset() -> void;
    // Whether the peer has closed it, without waiting.
    auto isClosedByPeer() -> bool;

    std::string buffer;
    // Free for the owner's use.
    std::string note;
    std::int64_t openedAtMs = nowMs();

private:
    int m_descriptor;
};

// Accepts connections on a free port of 127.0.0.1, each with a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection &)>;
    explicit listener(handler onConnection);
    ~listener();
    auto port() const -> std::uint16_t { return m_port; }
    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(m_port); }

private:
    handler m_handler;
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

// The platform's store: keyed topics with one partition each.
class store
{
public:
    explicit store(recorder &record);

    // What the operator or a server writes; the return is the store's acknowledgement.
    auto put(const std::string &topic, const std::string &key, const std::string &value) -> void;
    auto port() const -> std::uint16_t { return m_listener->port(); }
    auto address() const -> std::string { return m_listener->address(); }

    // All connections that are open now go silent for good, without a reset; new ones work.
    auto silenceOpenConnections() -> void { m_silentBefore = nowMs(); }
    // Milliseconds since a read of `topic` that waits for a record arrived; -1 if none waits.
    auto waitingReadAge(const std::string &topic) -> std::int64_t;

private:
    auto serve(connection &peer) -> void;
    auto answer(const message &request, connection &peer) -> std::string;
    auto isSilent(const connection &peer) const -> bool
    {
        return peer.openedAtMs < m_silentBefore.load();
    }

    struct topic_state
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
        std::int64_t waitingSince = -1;
    };
    auto add(topic_state &topic, const std::string &record) -> void;

    recorder &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic_state> m_topics;
    std::atomic<std::int64_t> m_silentBefore{-1};
    std::unique_ptr<listener> m_listener;
};

// The platform's interface for duties: accepts every usage report.
class duty_service
{
public:
    explicit duty_service(recorder &record);
    auto address() const -> std::string { return m_listener->address(); }

private:
    std::unique_ptr<listener> m_listener;
};

// A server that registers itself in the store and writes there every 1.2 s.
class server
{
public:
    // Handles one request; returns false if the connection ends.
    using handler = std::function<bool(server &, connection &, const message &)>;
    struct options
    {
        std::string id;
        std::string service;
        std::string zone = "tuzla";
        int slots = 6;
    };
    server(store &registry, options chosen, handler onRequest);
    ~server();

    auto id() const -> const std::string & { return m_options.id; }
    // Writes the entry now, in this state from now on.
    auto announce(const std::string &state) -> void;

private:
    store &m_store;
    options m_options;
    handler m_handler;
    std::unique_ptr<listener> m_listener;
    std::int64_t m_born = unixMs();
    std::mutex m_mutex;
    std::string m_state = "ready";
    int m_sequence = 0;
    std::atomic<bool> m_isStopping{false};
    std::thread m_beats;
};

// Status line and headers that a server sends with each answer, up to the body's framing.
auto answerHead(int status, const message &request, bool isSealed) -> std::string;
// A whole answer with a length.
auto wholeAnswer(int status, const message &request, bool isSealed, const std::string &body,
                 const std::string &extraHeaders = "") -> std::string;

// An edge: started with the command of deploy/system.toml and the settings of its template.
class edge
{
public:
    edge(const store &log, const duty_service &duties, const std::string &name,
         const std::string &zone);
    ~edge(); // ends the process

    auto start() -> void;
    auto signal(int number) -> void;
    // Waits until it answers that it is ready.
    auto awaitReady() -> void;
    // Waits for its end; returns the time, or -1 if it still runs at `untilMs`.
    auto awaitEnd(std::int64_t untilMs) -> std::int64_t;
    auto port() const -> std::uint16_t { return m_port; }

private:
    std::string m_settingsFile;
    std::string m_logFile;
    std::uint16_t m_port = 0;
    std::uint16_t m_readyPort = 0;
    pid_t m_process = -1;
};

// How a client's attempt ended.
struct attempt_result
{
    // 0 if there was no whole head.
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // The answer is whole by its framing.
    bool isComplete = false;
    // The connection ended before that.
    bool isClosed = false;
    bool isTimedOut = false;
    // The client left: nothing of the answer had come for `patienceMs`.
    bool isAbandoned = false;
    std::int64_t sentAtMs = 0;
    std::int64_t endedAtMs = 0;

    auto header(std::string_view name) const -> std::string;
};

struct attempt
{
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string key = "key-one";
    int deadlineMs = 4000;
    // Time without a byte of the answer after which the client leaves; 0 for none.
    int patienceMs = 0;
    std::string headers;
    std::string body;
};

// Sends one client attempt on a new connection and reads the answer until the deadline.
auto ask(std::uint16_t port, const attempt &what) -> attempt_result;
// The same on a connection that is open already.
auto ask(connection &peer, const attempt &what) -> attempt_result;

// A desired state in the operator's form. `routes` and `services` are JSON objects joined by
// commas.
auto desiredState(int version, const std::string &routes, const std::string &services,
                  const std::string &keys) -> std::string;

// The folder of the case, given to the program as its first argument.
auto caseFolder(int argc, char **argv) -> std::string;

} // namespace review
