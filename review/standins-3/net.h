#pragma once

// Small blocking sockets and HTTP/1.1 for the stand-ins of this review. Loopback only.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point begun = steady::now();

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - begun).count();
}

inline void pause(double length)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(length));
}

// Lines of record.txt.
class record_file
{
public:
    explicit record_file(const std::string &path) : m_out(path) {}
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds());
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A listening socket on a free port.
inline int listenOn(int &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto address = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 1024) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

// A port that is free now, for a program that takes a number.
inline int freePort()
{
    int port = 0;
    close(listenOn(port));
    return port;
}

inline int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    if (fd < 0 || connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        if (fd >= 0)
            close(fd);
        return -1;
    }
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const auto count = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        at += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (auto &letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

struct message
{
    std::string first; // request line or status line
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string parameter(const std::string &name) const
    {
        const auto mark = target().find('?');
        if (mark == std::string::npos)
            return "";
        std::istringstream query(target().substr(mark + 1));
        std::string item;
        while (std::getline(query, item, '&')) {
            if (item.substr(0, item.find('=')) == name && item.find('=') != std::string::npos)
                return item.substr(item.find('=') + 1);
        }
        return "";
    }
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.substr(9, 3).c_str()); }
};

// Reads messages from one connection; the body has a length, chunks, or (of an answer) neither.
class message_reader
{
public:
    explicit message_reader(int fd) : m_fd(fd) {}

    // False if the connection ended before the head was whole. `message.complete` says whether the
    // body is whole as well.
    bool read(message &result, bool isAnswer)
    {
        result = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return false;
        }
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        result.first = trimmed(line);
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            if (colon != std::string::npos)
                result.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        if (lower(result.header("transfer-encoding")) == "chunked") {
            result.complete = readChunks(result.body);
        } else if (!result.header("content-length").empty()) {
            const auto length = std::strtoull(result.header("content-length").c_str(), nullptr, 10);
            while (m_buffer.size() < length && more()) {
            }
            result.complete = m_buffer.size() >= length;
            result.body = m_buffer.substr(0, length);
            m_buffer.erase(0, length);
        } else if (isAnswer) {
            while (more()) {
            }
            result.body = std::exchange(m_buffer, {});
            result.complete = m_orderly;
        } else {
            result.complete = true;
        }
        return true;
    }

private:
    static std::string trimmed(std::string text)
    {
        const auto first = text.find_first_not_of(" \t\r");
        if (first == std::string::npos)
            return "";
        return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
    }
    bool more()
    {
        char bytes[32768];
        const auto count = recv(m_fd, bytes, sizeof bytes, 0);
        m_orderly = count == 0;
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool readChunks(std::string &body)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more())
                    return false;
            }
            const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < size + 2) {
                if (!more())
                    return false;
            }
            body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_buffer;
    bool m_orderly = false;
};

// Accepts connections and handles each in a thread of its own, for the life of the process.
inline void serve(int listener, std::function<void(int fd)> handle)
{
    std::thread([listener, handle] {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int yes = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::thread([fd, handle] {
                handle(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

inline std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned value = 0;
        const auto left = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index)
            value
                = value << 8U | (index < left ? static_cast<unsigned char>(bytes[at + index]) : 0);
        for (std::size_t index = 0; index < 4; ++index)
            text += index <= left ? letters[value >> (18 - 6 * index) & 63U] : '=';
    }
    return text;
}

inline std::string bigEndian(std::uint64_t value, int size)
{
    std::string bytes(static_cast<std::size_t>(size), '\0');
    for (int at = size; at > 0; value >>= 8U)
        bytes[static_cast<std::size_t>(--at)] = static_cast<char>(value & 0xffU);
    return bytes;
}

// A child process; it is killed when this object ends.
class child
{
public:
    child(std::vector<std::string> command, const std::string &configFile,
          const std::string &outputFile)
    {
        m_pid = fork();
        if (m_pid != 0)
            return;
        setenv("MUSTARDLINE_CONFIG", configFile.c_str(), 1);
        if (std::freopen(outputFile.c_str(), "a", stdout) == nullptr)
            _exit(127);
        dup2(1, 2);
        std::vector<char *> arguments;
        for (auto &word : command)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    child(const child &) = delete;
    child &operator=(const child &) = delete;
    ~child()
    {
        if (running())
            ::kill(m_pid, SIGKILL);
        if (!m_ended)
            waitpid(m_pid, nullptr, 0);
    }
    bool running()
    {
        if (!m_ended && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_ended = true;
        return !m_ended;
    }
    void signal(int number)
    {
        if (running())
            ::kill(m_pid, number);
    }
    int pid() const { return m_pid; }

private:
    int m_pid = 0;
    bool m_ended = false;
};

inline void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace review
