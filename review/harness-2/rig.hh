#pragma once

// Stand-ins of the review's second sitting: the platform's store, its API, servers and clients, and
// the edges as processes of the deploy file's command. Blocking sockets and a thread for each
// connection; loopback addresses only.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

inline auto nowMs() -> std::int64_t
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}
inline auto unixMs() -> std::int64_t
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}
inline auto sleepMs(std::int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline auto startMs() -> std::int64_t
{
    static const auto start = nowMs();
    return start;
}

// record.txt: what was sent, answered and run.
class Record
{
public:
    auto open(const std::string &path) -> void { m_file.open(path, std::ios::trunc); }
    auto line(const std::string &text) -> void
    {
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", double(nowMs() - startMs()) / 1000);
        m_file << stamp << text << "\n" << std::flush;
        if (std::getenv("RIG_VERBOSE") != nullptr)
            std::fprintf(stderr, "%s%s\n", stamp, text.c_str());
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};
inline auto record() -> Record &
{
    static Record value;
    return value;
}

inline auto lower(std::string text) -> std::string
{
    for (auto &c : text)
        c = char(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string first; // start line
    std::string method, target;
    int status = 0;
    Headers headers;
    std::string body;
    bool complete = false;
    [[nodiscard]] auto header(const std::string &name) const -> std::string
    {
        for (const auto &[key, value] : headers)
            if (lower(key) == lower(name))
                return value;
        return "";
    }
};

// A connection with a read buffer.
struct Conn
{
    int fd = -1;
    std::string buffer;

    // Returns false at the end of the connection or after `timeout` ms.
    auto fill(int timeout, std::size_t most = 65536) -> bool
    {
        pollfd ready{fd, POLLIN, 0};
        if (poll(&ready, 1, timeout) <= 0)
            return false;
        std::string chunk(most, '\0');
        const auto count = recv(fd, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, 0, std::size_t(count));
        return true;
    }
    auto send(const std::string &text) const -> bool
    {
        std::size_t at = 0;
        while (at < text.size()) {
            const auto count = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            at += std::size_t(count);
        }
        return true;
    }
    auto reset() -> void
    {
        const linger now{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    auto close() -> void
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }
    // Whether the peer has closed or reset the connection.
    [[nodiscard]] auto gone() const -> bool
    {
        char byte = 0;
        const auto count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
};

inline auto readHead(Conn &conn, Message &message, int timeout) -> bool
{
    std::size_t end = 0;
    while ((end = conn.buffer.find("\r\n\r\n")) == std::string::npos)
        if (!conn.fill(timeout))
            return false;
    std::istringstream lines(conn.buffer.substr(0, end + 2));
    conn.buffer.erase(0, end + 4);
    std::string line;
    bool isFirst = true;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (isFirst) {
            message.first = line;
            isFirst = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    std::istringstream words(message.first);
    std::string one, two;
    words >> one >> two;
    if (one.rfind("HTTP/", 0) == 0) {
        message.status = std::atoi(two.c_str());
    } else {
        message.method = one;
        message.target = two;
    }
    return true;
}

// Reads the body; `complete` says whether it was whole.
inline auto readBody(Conn &conn, Message &message, int timeout) -> void
{
    if (lower(message.header("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t end = 0;
            while ((end = conn.buffer.find("\r\n")) == std::string::npos)
                if (!conn.fill(timeout))
                    return;
            const auto size = std::strtoul(conn.buffer.c_str(), nullptr, 16);
            conn.buffer.erase(0, end + 2);
            while (conn.buffer.size() < size + 2)
                if (!conn.fill(timeout)) {
                    message.body += conn.buffer;
                    return;
                }
            message.body.append(conn.buffer, 0, size);
            conn.buffer.erase(0, size + 2);
            if (size == 0) {
                message.complete = true;
                return;
            }
        }
    }
    const auto text = message.header("content-length");
    const bool isRequest = message.status == 0;
    if (text.empty() && isRequest) {
        message.complete = true;
        return;
    }
    if (text.empty()) {
        while (conn.fill(timeout)) {
        }
        message.body = std::exchange(conn.buffer, {});
        message.complete = true;
        return;
    }
    const auto length = std::strtoul(text.c_str(), nullptr, 10);
    while (conn.buffer.size() < length)
        if (!conn.fill(timeout)) {
            message.body = std::exchange(conn.buffer, {});
            return;
        }
    message.body = conn.buffer.substr(0, length);
    conn.buffer.erase(0, length);
    message.complete = true;
}

// Accepts connections on a free loopback port, a thread for each.
class Listener
{
public:
    explicit Listener(std::function<void(Conn &)> handler, int receiveBuffer = 0)
        : m_handler(std::move(handler))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        if (receiveBuffer > 0)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (bind(m_fd, reinterpret_cast<sockaddr *>(&address), length) != 0
            || listen(m_fd, 1024) != 0)
            std::exit(2);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        std::thread([this] { run(); }).detach();
    }
    [[nodiscard]] auto port() const -> int { return m_port; }
    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    // As when its process ends: nothing listens any more, and open connections end.
    auto stop() -> void
    {
        m_isStopped = true;
        shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
        const std::lock_guard lock(m_mutex);
        for (const auto fd : m_open)
            shutdown(fd, SHUT_RDWR);
    }

private:
    auto run() -> void
    {
        for (;;) {
            const auto fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_isStopped)
                    return;
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] {
                Conn conn{fd, {}};
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.insert(fd);
                }
                m_handler(conn);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                conn.close();
            }).detach();
        }
    }

    std::function<void(Conn &)> m_handler;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    int m_fd = -1;
    int m_port = 0;
};

inline auto answer(int status, const std::string &headers, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto base64(const std::string &bytes) -> std::string
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned value = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i)
            value = value << 8U | (i < count ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            out += i <= count ? digits[value >> (18 - 6 * i) & 63U] : '=';
    }
    return out;
}

// The platform's store: keyed topics with log-newest, log-read and log-append.
class Store
{
public:
    Store() : m_listener([this](Conn &conn) { serve(conn); }) {}
    [[nodiscard]] auto address() const -> std::string { return m_listener.address(); }

    auto put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value) -> void
    {
        std::string bytes(1, char(key.size()));
        bytes += key;
        if (value)
            bytes += *value;
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back(bytes);
        m_changed.notify_all();
    }
    // Called for each call; true if it has answered, or refused to.
    std::function<bool(Conn &, const Message &)> intercept;
    std::size_t pageEntries = 500;

private:
    static auto parameter(const std::string &target, const std::string &name) -> std::string
    {
        auto at = target.find("?" + name + "=");
        if (at == std::string::npos)
            at = target.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        at += name.size() + 2;
        std::string out;
        for (; at < target.size() && target[at] != '&'; ++at) {
            if (target[at] == '%' && at + 2 < target.size()) {
                out += char(std::strtoul(target.substr(at + 1, 2).c_str(), nullptr, 16));
                at += 2;
            } else {
                out += target[at];
            }
        }
        return out;
    }
    static auto bigEndian(std::uint64_t value, int size) -> std::string
    {
        std::string out;
        for (int i = size - 1; i >= 0; --i)
            out += char(value >> (8 * i) & 255U);
        return out;
    }

    auto serve(Conn &conn) -> void
    {
        for (;;) {
            Message request;
            if (!readHead(conn, request, 60000))
                return;
            readBody(conn, request, 5000);
            if (intercept && intercept(conn, request)) {
                if (conn.fd < 0)
                    return;
                continue;
            }
            const auto path = request.target.substr(0, request.target.find('?'));
            const auto topic = parameter(request.target, "topic");
            std::string text;
            if (path == "/v1/log-newest")
                text = newest(topic, parameter(request.target, "after"));
            else if (path == "/v1/log-read")
                text = read(topic,
                            std::strtoull(parameter(request.target, "from").c_str(), nullptr, 10),
                            std::atoi(parameter(request.target, "wait_ms").c_str()));
            else if (path == "/v1/log-append")
                text = append(topic, parameter(request.target, "at"), request.body);
            else
                text = answer(404, "", "");
            if (!conn.send(text))
                return;
        }
    }
    auto newest(const std::string &topic, const std::string &after) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, std::pair<std::size_t, std::string>> rows;
        const auto &log = m_topics[topic];
        for (std::size_t at = 0; at < log.size(); ++at) {
            const std::size_t length = static_cast<unsigned char>(log[at][0]);
            const auto key = log[at].substr(1, length);
            const auto value = log[at].substr(1 + length);
            if (value.empty())
                rows.erase(key);
            else
                rows[key] = {at, value};
        }
        std::string entries;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[key, row] : rows) {
            if (!after.empty() && key <= after)
                continue;
            if (count == pageEntries) {
                more = true;
                break;
            }
            ++count;
            if (!entries.empty())
                entries += ",";
            std::string escaped;
            for (const auto c : key) {
                if (c == '"' || c == '\\')
                    escaped += '\\';
                escaped += c;
            }
            entries += "{\"key\":\"" + escaped + "\",\"value\":\"" + base64(row.second)
                       + "\",\"offset\":" + std::to_string(row.first) + "}";
        }
        return answer(200, "Content-Type: application/json\r\n",
                      "{\"entries\":[" + entries + "],\"more\":" + (more ? "true" : "false")
                          + ",\"end_offset\":" + std::to_string(log.size()) + "}");
    }
    auto read(const std::string &topic, std::uint64_t from, int waitMs) -> std::string
    {
        std::unique_lock lock(m_mutex);
        auto &log = m_topics[topic];
        if (waitMs > 0)
            m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                               [&] { return log.size() > from; });
        std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
        for (auto at = from; at < log.size(); ++at)
            body += bigEndian(log[at].size(), 4) + log[at];
        return answer(200, "Content-Type: application/octet-stream\r\n", body);
    }
    auto append(const std::string &topic, const std::string &at, const std::string &body)
        -> std::string
    {
        const std::lock_guard lock(m_mutex);
        auto &log = m_topics[topic];
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != log.size())
            return answer(412, "", "{\"end_offset\":" + std::to_string(log.size()) + "}");
        const auto offset = log.size();
        for (std::size_t pos = 0; pos + 4 <= body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8U | static_cast<unsigned char>(body[pos + std::size_t(i)]);
            log.push_back(body.substr(pos + 4, length));
            pos += 4 + length;
        }
        m_changed.notify_all();
        return answer(200, "Content-Type: application/json\r\n",
                      "{\"offset\":" + std::to_string(offset)
                          + ",\"end_offset\":" + std::to_string(log.size()) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::deque<std::string>> m_topics;
    Listener m_listener;
};

// A server of a service: registers itself in the store every 1.2 s and serves one request at a
// time on a connection. `handler` returns false to end the connection.
class Server
{
public:
    using Handler = std::function<bool(Server &, Conn &, const Message &)>;

    Server(Store &store, std::string id, std::string service, std::string zone, int slots,
           Handler handler, int coldMs = 0)
        : id(std::move(id)),
          service(std::move(service)),
          zone(std::move(zone)),
          slots(slots),
          born(unixMs()),
          coldUntil(nowMs() + coldMs),
          m_store(store),
          m_handler(std::move(handler)),
          m_listener([this](Conn &conn) { serve(conn); })
    {
        beat();
        std::thread([this] {
            for (;;) {
                sleepMs(1200);
                if (!silent)
                    beat();
            }
        }).detach();
    }
    auto beat() -> void
    {
        m_store.put(
            "keyed.servers", id,
            "{\"service\":\"" + service + "\",\"address\":\"" + m_listener.address()
                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":"
                + std::to_string(slots) + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":"
                + std::to_string(std::max<std::int64_t>(coldUntil - nowMs(), 0)) + ",\"sequence\":"
                + std::to_string(++sequence) + ",\"born\":" + std::to_string(born) + "}");
    }
    [[nodiscard]] auto address() const -> std::string { return m_listener.address(); }
    // The server's process ends: what runs there gets no answer.
    auto exit() -> void
    {
        silent = true;
        hasEnded = true;
        m_listener.stop();
    }

    const std::string id, service, zone;
    const int slots;
    const std::int64_t born;
    const std::int64_t coldUntil;
    std::string state = "ready";
    std::atomic<bool> silent = false;
    std::atomic<bool> hasEnded = false;
    std::atomic<int> sequence = 0;
    std::atomic<int> arrived = 0;

private:
    auto serve(Conn &conn) -> void
    {
        for (;;) {
            Message request;
            if (!readHead(conn, request, 60000))
                return;
            readBody(conn, request, 20000);
            if (!request.complete)
                return;
            ++arrived;
            const auto expected = request.header("Expect-Instance");
            if (!expected.empty() && expected != id) {
                if (!conn.send(answer(421, "Instance-Id: " + id + "\r\n", "")))
                    return;
                continue;
            }
            if (!m_handler(*this, conn, request) || conn.fd < 0)
                return;
        }
    }

    Store &m_store;
    Handler m_handler;
    Listener m_listener;
};

// The headers that a server's successful answer has.
inline auto sealed(const Server &server, const Message &request) -> std::string
{
    return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Seal: seal." + server.id
           + "\r\n";
}

inline auto freePort() -> int
{
    static std::set<int> given;
    for (;;) {
        const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        bind(fd, reinterpret_cast<sockaddr *>(&address), length);
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
        ::close(fd);
        const int port = ntohs(address.sin_port);
        if (given.insert(port).second)
            return port;
    }
}

// An edge: the command of the deploy file, with settings as the template renders them.
class Edge
{
public:
    struct Options
    {
        std::string name = "edge-tuzla-1";
        std::string zone = "tuzla";
        std::string store{}, cloud{};
        std::vector<std::string> seeds{}; // empty: itself
        std::string extra{};              // further fields, each with a comma before it
        std::string folder{};             // for the settings file and the log
    };

    explicit Edge(Options options)
        : m_options(std::move(options)),
          front(freePort()),
          ready(freePort()),
          control(freePort()),
          metrics(freePort())
    {}
    ~Edge() { kill(SIGKILL); }

    [[nodiscard]] auto controlAddress() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(control);
    }
    auto setSeeds(std::vector<std::string> seeds) -> void { m_options.seeds = std::move(seeds); }

    auto start() -> void
    {
        const auto settings = m_options.folder + "/" + m_options.name + ".json";
        auto seeds = m_options.seeds;
        if (seeds.empty())
            seeds.push_back(controlAddress());
        std::string list;
        for (const auto &seed : seeds)
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        std::ofstream(settings)
            << "{\"name\":\"" << m_options.name << "\",\"data_centre\":\"" << m_options.zone
            << "\",\"callers\":\"127.0.0.1:" << front << "\",\"readiness\":\"127.0.0.1:" << ready
            << "\",\"peers\":\"" << controlAddress() << "\",\"seeds\":[" << list
            << "],\"metrics_port\":\"" << metrics << "\",\"log_service\":\"" << m_options.store
            << "\",\"duty_service\":[\"" << m_options.cloud
            << "\"],\"repeat_ratio\":\"0.2\",\"repeat_slack\":\"58\",\"repeat_window_s\":\"10\","
               "\"cold_slack\":\"5\",\"stop_grace_s\":\"8\",\"usage_window_s\":\"5\","
               "\"usage_due_s\":\"10\",\"lease_term_ms\":\"3000\",\"exposure_share\":\"\","
               "\"exposure_slack\":\"\",\"rollback_ms\":\"\""
            << m_options.extra << "}";
        const auto log = m_options.folder + "/" + m_options.name + ".log";
        const char *program = std::getenv("RIG_EDGE");
        if (program == nullptr)
            program = "target/packages/entry/mustardline";
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // if this program is ended
            setenv("MUSTARDLINE_CONFIG", settings.c_str(), 1);
            const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(program, program, "edge", static_cast<char *>(nullptr));
            _exit(127);
        }
    }
    // Waits until the readiness answer is 200.
    auto waitReady(int timeoutMs = 10000) -> bool;
    auto kill(int signal) -> void
    {
        if (pid > 0 && !ended())
            ::kill(pid, signal);
        if (signal == SIGKILL && pid > 0 && !m_ended) {
            waitpid(pid, &status, 0);
            m_ended = true;
        }
    }
    // Whether the process has ended (by itself, or after a signal).
    auto ended() -> bool
    {
        if (!m_ended && pid > 0 && waitpid(pid, &status, WNOHANG) == pid)
            m_ended = true;
        return m_ended;
    }
    auto restart() -> void
    {
        kill(SIGKILL);
        m_ended = false;
        start();
    }

private:
    Options m_options;
    bool m_ended = false;

public:
    const int front, ready, control, metrics;
    pid_t pid = -1;
    int status = 0;
};

// `receiveBuffer`: bytes, 0 for the system's.
inline auto connectTo(int port, int receiveBuffer = 0) -> Conn
{
    Conn conn;
    conn.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(conn.fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const int one = 1;
    setsockopt(conn.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(std::uint16_t(port));
    if (connect(conn.fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        conn.close();
    return conn;
}

inline auto requestText(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body = "",
                        const std::string &headers = "") -> std::string
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
                + "\r\nAuthorization: Bearer key-of-hule930\r\n" + headers;
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// Sends a request on the connection and reads its whole answer; status 0 if the connection ends
// before the head.
inline auto call(Conn &conn, const std::string &request, int timeoutMs) -> Message
{
    Message reply;
    if (conn.fd < 0 || !conn.send(request))
        return reply;
    if (!readHead(conn, reply, timeoutMs)) {
        reply.status = 0;
        return reply;
    }
    readBody(conn, reply, timeoutMs);
    return reply;
}

inline auto Edge::waitReady(int timeoutMs) -> bool
{
    const auto until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        auto conn = connectTo(ready);
        const auto reply = call(conn, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 500);
        conn.close();
        if (reply.status == 200)
            return true;
        sleepMs(50);
    }
    return false;
}

// A desired state as the pages show it.
struct Route
{
    std::string name, prefix, type, service;
    int timeoutMs = 15000;
    int goalMs = 500;
    int attempts = 2;
    bool resumable = false;
    int priority = 1;
};
inline auto desiredState(
    int version, const std::vector<Route> &routes, const std::vector<std::string> &services,
    int engineTokens = 0,
    const std::string &limits
    = R"({"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000})")
    -> std::string
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t at = 0; at < routes.size(); ++at) {
        const auto &each = routes[at];
        text += std::string(at > 0 ? "," : "") + "{\"name\":\"" + each.name
                + "\",\"host\":\"shop.example\",\"path_prefix\":\"" + each.prefix + "\",\"type\":\""
                + each.type + "\",\"timeout_ms\":" + std::to_string(each.timeoutMs)
                + ",\"latency_goal_ms\":" + std::to_string(each.goalMs)
                + ",\"priority\":" + std::to_string(each.priority) + ",\"service\":\""
                + each.service + "\",\"max_attempts\":" + std::to_string(each.attempts)
                + ",\"public\":false,\"sticky\":" + (each.type == "streaming" ? "true" : "false")
                + ",\"resumable\":" + (each.resumable ? "true" : "false")
                + ",\"gap_target_ms\":300}";
    }
    text += "],\"services\":[";
    for (std::size_t at = 0; at < services.size(); ++at) {
        text += std::string(at > 0 ? "," : "") + "{\"name\":\"" + services[at]
                + "\",\"max_conns\":600,\"health_path\":\"/healthz\",\"cold_per_s\":24";
        if (engineTokens > 0)
            text += ",\"engine\":{\"kv_capacity\":" + std::to_string(engineTokens) + "}";
        text += "}";
    }
    return text
           + "],\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-of-hule930\"]}],\"limits\":"
           + limits + "}";
}

// The folder of the case (argument 1) and a temporary folder; TROUBLE=0 leaves out the disruption.
inline auto isTroubled() -> bool
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}
inline auto temporaryFolder() -> std::string
{
    std::string path = "/tmp/rig-XXXXXX";
    if (mkdtemp(path.data()) == nullptr)
        std::exit(2);
    return path;
}
inline auto removeFolder(const std::string &folder) -> void
{
    if (std::getenv("RIG_KEEP") != nullptr)
        return;
    const auto command = "rm -rf " + folder;
    if (std::system(command.c_str()) != 0)
        std::perror("rm");
}

// The platform's API: takes usage reports.
class Cloud
{
public:
    Cloud()
        : m_listener([this](Conn &conn) {
              for (;;) {
                  Message request;
                  if (!readHead(conn, request, 60000))
                      return;
                  readBody(conn, request, 5000);
                  if (onCall)
                      onCall(request);
                  if (!conn.send(answer(200, "", "")))
                      return;
              }
          })
    {}
    [[nodiscard]] auto address() const -> std::string { return m_listener.address(); }
    std::function<void(const Message &)> onCall;

private:
    Listener m_listener;
};

} // namespace rig
