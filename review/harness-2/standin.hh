#pragma once

// What the cases of this review share: a recorder, plain HTTP over blocking sockets, a stand-in of
// the platform's store and duty service, stand-ins of servers, and edges as separate processes with
// the command and settings of the deploy file. Everything listens on 127.0.0.1.
//
// These are test tools: one thread a connection, no limits, and a failure of the tools themselves
// ends the case with 2.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using namespace std::chrono_literals;

inline auto seconds() -> double
{
    using clock = std::chrono::steady_clock;
    static const auto start = clock::now();
    return std::chrono::duration<double>(clock::now() - start).count();
}

inline auto unixMs() -> long long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline auto pause(double length) -> void
{
    if (length > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(length));
}

// ---------------------------------------------------------------------------------------------
// The record

inline FILE *recordFile = nullptr;
inline std::mutex recordMutex;

__attribute__((format(printf, 1, 2))) inline auto note(const char *format, ...) -> void
{
    const std::scoped_lock lock(recordMutex);
    va_list arguments;
    va_start(arguments, format);
    char text[2048];
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (recordFile != nullptr) {
        fprintf(recordFile, "%8.3f %s\n", seconds(), text);
        fflush(recordFile);
    }
}

inline auto isTroubled() -> bool
{
    const char *value = getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------------------------------------
// Sockets

inline auto listenOn(int &port, int backlog = 1024) -> int
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) != 0
        || listen(descriptor, backlog) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        close(descriptor);
        return -1;
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

// A port that is free now for TCP and UDP.
inline auto freePort() -> int
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        int port = 0;
        const int tcp = listenOn(port);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(udp);
        close(tcp);
        if (isFree)
            return port;
    }
    return 0;
}

struct connect_options
{
    // Receive window and segment size of the client's link; 0: the system's.
    int receiveBuffer = 0;
    int segment = 0;
};

inline auto connectTo(int port, connect_options options = {}) -> int
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    if (options.receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof(int));
    if (options.segment > 0)
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof(int));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

inline auto setTimeout(int descriptor, double length) -> void
{
    timeval value{};
    value.tv_sec = static_cast<time_t>(length);
    value.tv_usec = static_cast<suseconds_t>((length - std::floor(length)) * 1e6) + 1;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

inline auto sendAll(int descriptor, std::string_view data) -> bool
{
    while (!data.empty()) {
        const auto count = send(descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

// ---------------------------------------------------------------------------------------------
// HTTP

struct message
{
    // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
    // The message arrived to its end.
    bool isWhole = false;

    [[nodiscard]] auto header(const std::string &name) const -> std::string
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    [[nodiscard]] auto method() const -> std::string { return first.substr(0, first.find(' ')); }
    [[nodiscard]] auto target() const -> std::string
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    [[nodiscard]] auto path() const -> std::string
    {
        const auto text = target();
        return text.substr(0, text.find('?'));
    }
    [[nodiscard]] auto query(const std::string &name) const -> std::string
    {
        const auto text = target();
        auto at = text.find('?');
        while (at != std::string::npos) {
            const auto end = std::min(text.find('&', at + 1), text.size());
            const auto item = text.substr(at + 1, end - at - 1);
            if (item.starts_with(name + "="))
                return item.substr(name.size() + 1);
            at = end == text.size() ? std::string::npos : end;
        }
        return "";
    }
    [[nodiscard]] auto status() const -> int
    {
        return first.size() > 12 ? atoi(first.c_str() + 9) : 0;
    }
};

class reader
{
public:
    explicit reader(int descriptor) : m_descriptor(descriptor) {}

    // Reads the start line and the headers; false if the connection ended or the time is over.
    auto readHead(message &into) -> bool
    {
        into = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        const auto head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        auto at = head.find("\r\n");
        into.first = head.substr(0, at);
        while (at + 2 < head.size()) {
            const auto start = at + 2;
            at = head.find("\r\n", start);
            const auto line = head.substr(start, at - start);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            for (auto &letter : name)
                letter = static_cast<char>(tolower(static_cast<unsigned char>(letter)));
            const auto first = line.find_first_not_of(" \t", colon + 1);
            into.headers[name] = first == std::string::npos ? "" : line.substr(first);
        }
        return true;
    }

    // Reads the body; `onPart` sees each piece as it arrives. Returns whether it arrived whole.
    auto readBody(message &into, const std::function<void(std::string_view)> &onPart = {}) -> bool
    {
        const auto take = [&](std::size_t count) {
            into.body.append(m_buffer, 0, count);
            if (onPart && count > 0)
                onPart(std::string_view(m_buffer).substr(0, count));
            m_buffer.erase(0, count);
        };
        if (into.header("transfer-encoding") == "chunked") {
            for (;;) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill())
                        return false;
                }
                const auto size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
                m_buffer.erase(0, end + 2);
                while (m_buffer.size() < size + 2) {
                    if (!fill())
                        return false;
                }
                take(size);
                m_buffer.erase(0, 2);
                if (size == 0)
                    return into.isWhole = true;
            }
        }
        const auto length = into.header("content-length");
        if (length.empty() && !into.first.starts_with("HTTP/"))
            return into.isWhole = true;
        auto left = length.empty() ? SIZE_MAX : static_cast<std::size_t>(std::stoull(length));
        while (left > 0) {
            if (m_buffer.empty() && !fill()) {
                into.isWhole = length.empty() && m_endedOrderly;
                return into.isWhole;
            }
            const auto count = std::min(left, m_buffer.size());
            take(count);
            left -= count;
        }
        return into.isWhole = true;
    }

    // What the last read said, if it failed: "closed", "reset" or "time over".
    [[nodiscard]] auto failure() const -> const std::string & { return m_failure; }

private:
    auto fill() -> bool
    {
        char bytes[65536];
        const auto count = recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count > 0) {
            m_buffer.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
        m_endedOrderly = count == 0;
        m_failure = count == 0 ? "closed" : errno == EAGAIN ? "time over" : "reset";
        return false;
    }

    int m_descriptor;
    std::string m_buffer;
    std::string m_failure;
    bool m_endedOrderly = false;
};

// Serves each connection by a thread of its own until `serve` returns false or the peer leaves.
class http_listener
{
public:
    using handler = std::function<bool(int descriptor, message &request)>;

    http_listener(handler serve, int port = 0) : m_serve(std::move(serve)), m_port(port)
    {
        m_descriptor = listenOn(m_port);
        if (m_descriptor < 0) {
            fprintf(stderr, "a stand-in cannot listen\n");
            _exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }

    [[nodiscard]] auto port() const -> int { return m_port; }

private:
    auto accept() -> void
    {
        for (;;) {
            const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                pause(0.01);
                continue;
            }
            int one = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, descriptor] {
                reader input(descriptor);
                message request;
                while (input.readHead(request) && input.readBody(request)
                       && m_serve(descriptor, request))
                    ;
                close(descriptor);
            }).detach();
        }
    }

    handler m_serve;
    int m_port;
    int m_descriptor = -1;
};

inline auto answerText(int status, const std::string &headers, const std::string &body)
    -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------------------------
// The platform: its store (PROTOCOL.md, "The platform's metadata store") and its duty service

class platform
{
public:
    platform()
        : m_listener(
            [this](int descriptor, message &request) { return serve(descriptor, request); })
    {}

    [[nodiscard]] auto port() const -> int { return m_listener.port(); }

    auto put(const std::string &topic, const std::string &key, const std::string &value) -> void
    {
        const std::scoped_lock lock(m_mutex);
        add(m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
        m_changed.notify_all();
    }

private:
    struct topic
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
    };

    static auto add(topic &into, std::string record) -> void
    {
        const auto length = static_cast<unsigned char>(record.front());
        const auto key = record.substr(1, length);
        const auto value = record.substr(1 + length);
        if (value.empty())
            into.newest.erase(key);
        else
            into.newest[key] = {value, into.records.size()};
        into.records.push_back(std::move(record));
    }

    static auto bigEndian(std::uint64_t value, int size) -> std::string
    {
        std::string bytes(static_cast<std::size_t>(size), '\0');
        for (int at = size; at > 0; value >>= 8U)
            bytes[static_cast<std::size_t>(--at)] = static_cast<char>(value & 0xffU);
        return bytes;
    }

    static auto base64(const std::string &bytes) -> std::string
    {
        static const char *letters
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t part = 0; part < 3; ++part) {
                group <<= 8U;
                if (at + part < bytes.size())
                    group |= static_cast<unsigned char>(bytes[at + part]);
            }
            for (std::size_t part = 0; part < 4; ++part) {
                text += at + part > bytes.size() ? '=' : letters[group >> (18 - 6 * part) & 63U];
            }
        }
        return text;
    }

    auto serve(int descriptor, message &request) -> bool
    {
        pause(0.004);
        std::unique_lock lock(m_mutex);
        const auto path = request.path();
        auto &in = m_topics[request.query("topic")];
        const std::string json = "Content-Type: application/json\r\n";
        std::string answer;
        if (path == "/v1/log-newest") {
            std::string entries;
            for (const auto &[key, item] : in.newest) {
                entries += (entries.empty() ? "" : ",") + std::string("{\"key\":\"") + key
                           + "\",\"value\":\"" + base64(item.first)
                           + "\",\"offset\":" + std::to_string(item.second) + "}";
            }
            answer = answerText(200, json,
                                "{\"entries\":[" + entries + "],\"more\":false,\"end_offset\":"
                                    + std::to_string(in.records.size()) + "}");
        } else if (path == "/v1/log-read") {
            const auto from = std::stoull(request.query("from"));
            const auto wait = request.query("wait_ms");
            if (!wait.empty()) {
                m_changed.wait_for(lock, std::chrono::milliseconds(std::stol(wait)),
                                   [&] { return in.records.size() > from; });
            }
            auto body = bigEndian(in.records.size(), 8) + bigEndian(0, 8);
            for (auto at = from; at < in.records.size(); ++at)
                body += bigEndian(in.records[at].size(), 4) + in.records[at];
            answer = answerText(200, "Content-Type: application/octet-stream\r\n", body);
        } else if (path == "/v1/log-append") {
            const auto at = request.query("at");
            if (!at.empty() && std::stoull(at) != in.records.size()) {
                answer = answerText(412, json,
                                    "{\"end_offset\":" + std::to_string(in.records.size()) + "}");
            } else {
                const auto offset = in.records.size();
                std::string_view body = request.body;
                while (body.size() > 4) {
                    std::size_t length = 0;
                    for (int index = 0; index < 4; ++index)
                        length
                            = length << 8U
                              | static_cast<unsigned char>(body[static_cast<std::size_t>(index)]);
                    add(in, std::string(body.substr(4, length)));
                    body.remove_prefix(4 + length);
                }
                m_changed.notify_all();
                answer = answerText(200, json,
                                    "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":"
                                        + std::to_string(in.records.size()) + "}");
            }
        } else if (path == "/usage" || path == "/scale") {
            answer = answerText(200, "", "");
        } else {
            answer = answerText(404, "", "");
        }
        lock.unlock();
        return sendAll(descriptor, answer);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic> m_topics;
    http_listener m_listener;
};

// An entry of `servers/ID` as the page shows it.
inline auto serverEntry(const std::string &service, int port, int slots, long long born,
                        int sequence) -> std::string
{
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
           + "\",\"zone\":\"tuzla\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
           + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + std::to_string(born)
           + ",\"sequence\":" + std::to_string(sequence) + "}";
}

// Registers servers and beats for them about every `heartbeat_ms` (1,200).
class registry
{
public:
    explicit registry(platform &store) : m_store(store)
    {
        std::thread([this] {
            for (;;) {
                pause(1.2);
                const std::scoped_lock lock(m_mutex);
                for (auto &[id, item] : m_items)
                    write(id, item);
            }
        }).detach();
    }

    auto add(const std::string &id, const std::string &service, int port, int slots) -> void
    {
        const std::scoped_lock lock(m_mutex);
        m_items[id] = {service, port, slots, unixMs(), 0};
        write(id, m_items[id]);
    }

    // The entry lapses after the silence of the server.
    auto remove(const std::string &id) -> void
    {
        const std::scoped_lock lock(m_mutex);
        if (m_items.erase(id) > 0)
            m_store.put("keyed.servers", id, "");
    }

    // The server is silent for now: it has crashed.
    auto silence(const std::string &id) -> void
    {
        const std::scoped_lock lock(m_mutex);
        m_items.erase(id);
    }

private:
    struct item
    {
        std::string service;
        int port = 0;
        int slots = 0;
        long long born = 0;
        int sequence = 0;
    };

    auto write(const std::string &id, item &each) -> void
    {
        m_store.put("keyed.servers", id,
                    serverEntry(each.service, each.port, each.slots, each.born, ++each.sequence));
    }

    platform &m_store;
    std::mutex m_mutex;
    std::map<std::string, item> m_items;
};

inline const std::string clientKey = "n2ctnfzs989anu6wsjnb";
inline const std::string limitsText
    = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
      "\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]";

// ---------------------------------------------------------------------------------------------
// Edges

inline std::vector<pid_t> startedProcesses;

inline auto endAll() -> void
{
    for (const auto pid : startedProcesses) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    startedProcesses.clear();
}

// A process, which ends with this one.
inline auto startProcess(const std::vector<std::string> &words,
                         const std::vector<std::string> &environment, const std::string &logFile)
    -> pid_t
{
    std::vector<char *> arguments;
    std::vector<char *> variables;
    for (const auto &word : words)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    for (const auto &item : environment)
        variables.push_back(const_cast<char *>(item.c_str()));
    variables.push_back(nullptr);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const auto pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, 1);
        dup2(log, 2);
        execve(arguments[0], arguments.data(), variables.data());
        _exit(127);
    }
    close(log);
    startedProcesses.push_back(pid);
    return pid;
}

struct edge
{
    std::string name;
    int front = 0;
    int ready = 0;
    int control = 0;
    int metrics = 0;
    pid_t pid = 0;

    [[nodiscard]] auto isRunning() const -> bool { return waitpid(pid, nullptr, WNOHANG) == 0; }
};

inline std::string workFolder;

inline auto makeEdge(const std::string &name) -> edge
{
    return {.name = name,
            .front = freePort(),
            .ready = freePort(),
            .control = freePort(),
            .metrics = freePort()};
}

// Starts `target/packages/entry/mustardline edge`, with the settings that
// platform/edge.json.template gives for a kalkan-hat edge.
inline auto startEdge(edge &started, const std::vector<edge> &all, int platformPort,
                      const std::string &more = "") -> void
{
    const auto local = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::string seeds;
    for (const auto &each : all)
        seeds += (seeds.empty() ? "" : ",") + local(each.control);
    const auto file = workFolder + "/" + started.name + ".json";
    FILE *settings = fopen(file.c_str(), "w");
    fprintf(settings,
            "{\"name\": \"%s\", \"data_centre\": \"tuzla\", \"callers\": %s, \"readiness\": %s,\n"
            " \"peers\": %s, \"seeds\": [%s], \"metrics_port\": \"%d\", \"log_service\": %s,\n"
            " \"duty_service\": [%s], \"repeat_ratio\": \"0.2\", \"repeat_slack\": \"58\",\n"
            " \"repeat_window_s\": \"10\", \"cold_slack\": \"5\", \"stop_grace_s\": \"8\",\n"
            " \"usage_window_s\": \"5\", \"usage_due_s\": \"10\", \"lease_term_ms\": \"3000\",\n"
            " \"exposure_share\": \"\", \"exposure_slack\": \"\", \"rollback_ms\": \"\"%s}\n",
            started.name.c_str(), local(started.front).c_str(), local(started.ready).c_str(),
            local(started.control).c_str(), seeds.c_str(), started.metrics,
            local(platformPort).c_str(), local(platformPort).c_str(), more.c_str());
    fclose(settings);
    started.pid = startProcess({"target/packages/entry/mustardline", "edge"},
                               {"PATH=/usr/bin:/bin", "HOME=/", "MUSTARDLINE_CONFIG=" + file},
                               workFolder + "/" + started.name + ".log");
}

inline auto isReady(const edge &asked) -> bool
{
    const int descriptor = connectTo(asked.ready);
    if (descriptor < 0)
        return false;
    setTimeout(descriptor, 1);
    sendAll(descriptor, "GET /v1/readyz HTTP/1.1\r\nHost: e\r\n\r\n");
    reader input(descriptor);
    message answer;
    const bool answered = input.readHead(answer);
    close(descriptor);
    return answered && answer.status() == 200;
}

inline auto awaitReady(const std::vector<edge> &all) -> void
{
    for (const auto &each : all) {
        const auto until = seconds() + 15;
        while (!isReady(each)) {
            if (seconds() > until) {
                note("%s did not get ready; the case cannot run", each.name.c_str());
                endAll();
                _exit(2);
            }
            pause(0.05);
        }
        note("%s is ready (pid %d, front port %d)", each.name.c_str(), each.pid, each.front);
    }
}

// A field of /proc/PID/status in KiB.
inline auto statusKiB(pid_t pid, const std::string &field) -> long
{
    FILE *file = fopen(("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
    if (file == nullptr)
        return 0;
    char line[256];
    long value = 0;
    while (fgets(line, sizeof line, file) != nullptr) {
        if (std::string_view(line).starts_with(field + ":"))
            value = atol(line + field.size() + 1);
    }
    fclose(file);
    return value;
}

// Processor seconds that a process has used.
inline auto processorSeconds(pid_t pid) -> double
{
    FILE *file = fopen(("/proc/" + std::to_string(pid) + "/stat").c_str(), "r");
    if (file == nullptr)
        return 0;
    char text[1024];
    const auto length = fread(text, 1, sizeof text - 1, file);
    text[length] = 0;
    fclose(file);
    const char *at = strrchr(text, ')');
    unsigned long user = 0;
    unsigned long system = 0;
    if (at == nullptr
        || sscanf(at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system)
               != 2)
        return 0;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

inline auto beginCase(const char *record) -> void
{
    signal(SIGPIPE, SIG_IGN);
    recordFile = fopen(record, "w");
    char folder[] = "/tmp/review-XXXXXX";
    const char *made = mkdtemp(folder);
    if (recordFile == nullptr || made == nullptr
        || access("target/packages/entry/mustardline", X_OK) != 0) {
        fprintf(stderr, "the case cannot run: build the deploy file first\n");
        _exit(2);
    }
    workFolder = made;
    note("TROUBLE=%s", isTroubled() ? "1" : "0");
}

// Ends everything and the process, with `broken` as the verdict.
[[noreturn]] inline auto endCase(bool broken) -> void
{
    note("%s", broken ? "verdict: the rule was broken" : "verdict: the rule held");
    endAll();
    // The stand-ins' threads end with the process.
    const auto command = "rm -rf '" + workFolder + "'";
    if (getenv("KEEP") == nullptr && system(command.c_str()) != 0)
        note("the temporary folder was left");
    _exit(broken ? 1 : 0);
}

inline auto randomId() -> std::string
{
    static std::atomic<unsigned long long> last{0};
    char text[32];
    snprintf(text, sizeof text, "%08llx%08llx",
             static_cast<unsigned long long>(getpid()) & 0xffffffffULL, ++last);
    return text;
}

} // namespace review
