#include "harness.hh"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto programStart = std::chrono::steady_clock::now();

auto isSameName(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x))
                      == std::tolower(static_cast<unsigned char>(y));
           });
}

auto findHeader(const std::vector<std::pair<std::string, std::string>> &headers,
                std::string_view name) -> std::string
{
    for (const auto &[each, value] : headers) {
        if (isSameName(each, name))
            return value;
    }
    return "";
}

auto parseHead(std::string_view head) -> message
{
    message parsed;
    auto end = head.find("\r\n");
    parsed.start = head.substr(0, end);
    while (end != std::string_view::npos) {
        const auto from = end + 2;
        end = head.find("\r\n", from);
        const auto line = head.substr(from, end == std::string_view::npos ? end : end - from);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        parsed.headers.emplace_back(line.substr(0, colon), value);
    }
    return parsed;
}

auto word(const std::string &text, int number) -> std::string
{
    std::istringstream stream(text);
    std::string found;
    for (auto at = 0; at <= number; ++at)
        stream >> found;
    return found;
}

auto base64(const std::string &bytes) -> std::string
{
    static constexpr char digits[]
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8
                    | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text += at + i <= bytes.size() ? digits[group >> (18 - 6 * i) & 63U] : '=';
    }
    return text;
}

auto bigEndian(std::uint64_t value, int size) -> std::string
{
    std::string bytes;
    for (auto shift = 8 * (size - 1); shift >= 0; shift -= 8)
        bytes += static_cast<char>(value >> shift & 0xffU);
    return bytes;
}

auto parameter(const std::string &target, const std::string &name) -> std::string
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (item.rfind(name + "=", 0) == 0)
            return item.substr(name.size() + 1);
        at = end;
    }
    return "";
}

auto freePort() -> std::uint16_t
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        giveUp("no free port");
    close(descriptor);
    return ntohs(address.sin_port);
}

auto jsonAnswer(int status, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status)
           + " X\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto fileText(const std::string &path) -> std::string
{
    std::ifstream file(path);
    if (!file)
        giveUp("cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

auto replaceAll(std::string text, const std::string &from, const std::string &to) -> std::string
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

// The words of `run` of the deploy file's first role.
auto deployCommand() -> std::vector<std::string>
{
    std::istringstream lines(fileText("deploy/system.toml"));
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind("run = \"", 0) != 0)
            continue;
        std::istringstream words(line.substr(7, line.rfind('"') - 7));
        std::vector<std::string> command;
        for (std::string each; words >> each;)
            command.push_back(each);
        return command;
    }
    giveUp("the deploy file has no command");
}

// The temporary folder of this run; removed at its end.
auto temporaryFolder() -> const std::string &
{
    static const std::string folder = [] {
        const char *base = std::getenv("TMPDIR");
        auto path = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
        if (mkdtemp(path.data()) == nullptr)
            giveUp("no temporary folder");
        return path;
    }();
    return folder;
}

} // namespace

auto nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - programStart)
        .count();
}

auto sleepMs(std::int64_t ms) -> void
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto giveUp(const std::string &reason) -> void
{
    std::fprintf(stderr, "could not run: %s\n", reason.c_str());
    std::fflush(nullptr);
    std::_Exit(couldNotRun);
}

auto isTroubled() -> bool
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

recorder::recorder(const std::string &folder)
    : m_file(std::fopen((folder + "/record.txt").c_str(), "w"))
{
    if (m_file == nullptr)
        giveUp("cannot write record.txt");
    std::signal(SIGPIPE, SIG_IGN);
    line("trouble: %s", isTroubled() ? "yes" : "no");
}

recorder::~recorder()
{
    std::fclose(m_file);
}

auto recorder::line(const char *format, ...) -> void
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f ", static_cast<double>(nowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
}

auto message::header(std::string_view name) const -> std::string
{
    return findHeader(headers, name);
}

auto message::method() const -> std::string
{
    return word(start, 0);
}

auto message::target() const -> std::string
{
    return word(start, 1);
}

auto message::status() const -> int
{
    return std::atoi(word(start, 1).c_str());
}

auto attempt_result::header(std::string_view name) const -> std::string
{
    return findHeader(headers, name);
}

connection::~connection()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

auto connection::to(std::uint16_t port) -> std::shared_ptr<connection>
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return nullptr;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<connection>(descriptor);
}

auto connection::send(std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

auto connection::receive(std::int64_t untilMs) -> long
{
    pollfd ready{.fd = m_descriptor, .events = POLLIN, .revents = 0};
    const auto left = std::max<std::int64_t>(0, untilMs - nowMs());
    const auto polled = poll(&ready, 1, static_cast<int>(std::min<std::int64_t>(left, 1 << 30)));
    if (polled == 0)
        return -2;
    char bytes[16384];
    const auto count = recv(m_descriptor, bytes, sizeof bytes, 0);
    if (count > 0)
        buffer.append(bytes, static_cast<std::size_t>(count));
    return count;
}

auto connection::readRequest() -> std::optional<message>
{
    constexpr std::int64_t longMs = 1 << 30;
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (receive(nowMs() + longMs) <= 0)
            return std::nullopt;
    }
    auto parsed = parseHead(std::string_view(buffer).substr(0, headEnd));
    const auto length
        = static_cast<std::size_t>(std::atoll(parsed.header("content-length").c_str()));
    while (buffer.size() < headEnd + 4 + length) {
        if (receive(nowMs() + longMs) <= 0)
            return std::nullopt;
    }
    parsed.body = buffer.substr(headEnd + 4, length);
    buffer.erase(0, headEnd + 4 + length);
    return parsed;
}

auto connection::reset() -> void
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(std::exchange(m_descriptor, -1));
}

auto connection::isClosedByPeer() -> bool
{
    char byte = 0;
    const auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

listener::listener(handler onConnection) : m_handler(std::move(onConnection))
{
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0
        || listen(m_descriptor, 512) != 0)
        giveUp("cannot listen");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] {
        for (;;) {
            const auto descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([handle = m_handler, descriptor] {
                connection peer(descriptor);
                handle(peer);
            }).detach();
        }
    });
    m_thread.detach();
}

// The programs end by _Exit, which ends the threads of connections too.
listener::~listener()
{
    shutdown(m_descriptor, SHUT_RDWR);
}

store::store(recorder &record) : m_record(record)
{
    m_listener = std::make_unique<listener>([this](connection &peer) { serve(peer); });
}

auto store::add(topic_state &topic, const std::string &record) -> void
{
    const auto offset = topic.records.size();
    topic.records.push_back(record);
    const std::size_t length = static_cast<unsigned char>(record.front());
    const auto key = record.substr(1, length);
    const auto value = record.substr(1 + length);
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = {value, offset};
}

auto store::put(const std::string &topic, const std::string &key, const std::string &value) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        add(m_topics[topic], static_cast<char>(key.size()) + key + value);
    }
    m_changed.notify_all();
    if (topic == "keyed.op")
        m_record.line("store: acknowledges the operator's %s", key.c_str());
}

auto store::waitingReadAge(const std::string &topic) -> std::int64_t
{
    const std::lock_guard lock(m_mutex);
    const auto since = m_topics[topic].waitingSince;
    return since < 0 ? -1 : nowMs() - since;
}

auto store::serve(connection &peer) -> void
{
    while (const auto request = peer.readRequest()) {
        sleepMs(4);
        const auto bytes = answer(*request, peer);
        // Whatever a silent connection carries is swallowed.
        if (isSilent(peer))
            continue;
        if (!peer.send(bytes))
            return;
    }
}

auto store::answer(const message &request, connection &peer) -> std::string
{
    const auto target = request.target();
    const auto name = parameter(target, "topic");
    std::unique_lock lock(m_mutex);
    auto &topic = m_topics[name];
    if (target.rfind("/v1/log-append", 0) == 0) {
        if (isSilent(peer))
            return "";
        const auto at = parameter(target, "at");
        const auto end = std::to_string(topic.records.size());
        if (!at.empty() && at != end)
            return jsonAnswer(412, "{\"end_offset\":" + end + "}");
        const auto offset = topic.records.size();
        auto body = std::string_view(request.body);
        while (body.size() >= 4) {
            std::size_t length = 0;
            for (auto i = 0; i < 4; ++i)
                length
                    = length << 8 | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
            add(topic, std::string(body.substr(4, length)));
            body.remove_prefix(std::min(body.size(), 4 + length));
        }
        m_changed.notify_all();
        return jsonAnswer(200, "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":"
                                   + std::to_string(topic.records.size()) + "}");
    }
    if (target.rfind("/v1/log-read", 0) == 0) {
        const auto from = static_cast<std::size_t>(std::atoll(parameter(target, "from").c_str()));
        const auto wait = std::atoll(parameter(target, "wait_ms").c_str());
        if (wait > 0 && topic.records.size() <= from) {
            topic.waitingSince = nowMs();
            m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [&] { return topic.records.size() > from || isSilent(peer); });
            topic.waitingSince = -1;
        }
        auto body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
        for (auto at = from; at < topic.records.size(); ++at)
            body += bigEndian(topic.records[at].size(), 4) + topic.records[at];
        return "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    if (target.rfind("/v1/log-newest", 0) == 0) {
        std::string entries;
        for (const auto &[key, item] : topic.newest) {
            entries += entries.empty() ? "" : ",";
            entries += "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.first)
                       + "\",\"offset\":" + std::to_string(item.second) + "}";
        }
        return jsonAnswer(200, "{\"entries\":[" + entries + "],\"more\":false,\"end_offset\":"
                                   + std::to_string(topic.records.size()) + "}");
    }
    return jsonAnswer(404, "{}");
}

duty_service::duty_service(recorder &record)
{
    m_listener = std::make_unique<listener>([&record](connection &peer) {
        while (const auto request = peer.readRequest()) {
            record.line("platform: %s by %s, fence %s: %s", request->target().c_str(),
                        request->header("Duty-Holder").c_str(),
                        request->header("Fencing-Token").c_str(), request->body.c_str());
            if (!peer.send(jsonAnswer(200, "{}")))
                return;
        }
    });
}

server::server(store &registry, options chosen, handler onRequest)
    : m_store(registry), m_options(std::move(chosen)), m_handler(std::move(onRequest))
{
    m_listener = std::make_unique<listener>([this](connection &peer) {
        while (const auto request = peer.readRequest()) {
            // A sound server rejects what is meant for another instance.
            const auto expected = request->header("Expect-Instance");
            if (!expected.empty() && expected != m_options.id) {
                if (!peer.send(wholeAnswer(421, *request, false, "", "Not-Executed: 1\r\n")))
                    return;
                continue;
            }
            if (!m_handler(*this, peer, *request))
                return;
        }
    });
    m_beats = std::thread([this] {
        while (!m_isStopping) {
            announce("");
            sleepMs(1200);
        }
    });
}

server::~server()
{
    m_isStopping = true;
    m_beats.join();
}

auto server::announce(const std::string &state) -> void
{
    const std::lock_guard lock(m_mutex);
    if (!state.empty())
        m_state = state;
    m_store.put("keyed.servers", m_options.id,
                "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_listener->address()
                    + "\",\"zone\":\"" + m_options.zone + "\",\"version\":\"v1\",\"slots\":"
                    + std::to_string(m_options.slots) + ",\"state\":\"" + m_state
                    + "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(++m_sequence)
                    + ",\"born\":" + std::to_string(m_born) + "}");
}

auto answerHead(int status, const message &request, bool isSealed) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\n";
    if (isSealed)
        text += "Server-Seal: seal-" + request.header("Attempt-Id") + "\r\n";
    return text;
}

auto wholeAnswer(int status, const message &request, bool isSealed, const std::string &body,
                 const std::string &extraHeaders) -> std::string
{
    return answerHead(status, request, isSealed) + extraHeaders
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

edge::edge(const store &log, const duty_service &duties, const std::string &name,
           const std::string &zone)
    : m_settingsFile(temporaryFolder() + "/" + name + ".json"),
      m_logFile(temporaryFolder() + "/" + name + ".log"),
      m_port(freePort()),
      m_readyPort(freePort())
{
    const auto local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const auto control = local(freePort());
    // The figures are those of the sheet of `kalkan-hat`.
    const std::vector<std::pair<std::string, std::string>> fields{
        {"{{node_name|json}}", "\"" + name + "\""},
        {"{{zone|json}}", "\"" + zone + "\""},
        {"{{listen.front|json}}", "\"" + local(m_port) + "\""},
        {"{{listen.ready|json}}", "\"" + local(m_readyPort) + "\""},
        {"{{listen.control|json}}", "\"" + control + "\""},
        {"{{seeds|json}}", "[\"" + control + "\"]"},
        {"{{internal_port_range.1}}", std::to_string(freePort())},
        {"{{platform.address|json}}", "\"" + log.address() + "\""},
        {"{{cloud.address|json}}", "\"" + duties.address() + "\""},
        {"{{bounds.retry_budget_ratio}}", "0.2"},
        {"{{bounds.retry_budget_slack}}", "58"},
        {"{{bounds.budget_window_s}}", "10"},
        {"{{bounds.cold_slack}}", "5"},
        {"{{bounds.grace_s}}", "8"},
        {"{{bounds.usage_window_s}}", "5"},
        {"{{bounds.usage_late_s}}", "10"},
        {"{{bounds.lease_ms}}", "3000"}};
    auto text = fileText("platform/edge.json.template");
    for (const auto &[from, to] : fields)
        text = replaceAll(text, from, to);
    std::ofstream(m_settingsFile) << text;
}

edge::~edge()
{
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    std::remove(m_settingsFile.c_str());
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::remove(m_logFile.c_str());
    rmdir(temporaryFolder().c_str());
}

auto edge::start() -> void
{
    const auto command = deployCommand();
    if (access(command.front().c_str(), X_OK) != 0)
        giveUp(command.front() + " is not built");
    std::vector<std::string> environment{"MUSTARDLINE_CONFIG=" + m_settingsFile};
    for (const auto *name : {"PATH", "HOME", "LANG"}) {
        if (const char *value = std::getenv(name))
            environment.push_back(std::string(name) + "=" + value);
    }
    std::vector<char *> arguments;
    std::vector<char *> variables;
    for (const auto &each : command)
        arguments.push_back(const_cast<char *>(each.c_str()));
    for (const auto &each : environment)
        variables.push_back(const_cast<char *>(each.c_str()));
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    const auto log = open(m_logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    m_process = fork();
    if (m_process < 0)
        giveUp("cannot start a process");
    if (m_process == 0) {
        // It ends with this program, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, 1);
        dup2(log, 2);
        ::signal(SIGPIPE, SIG_DFL);
        execve(arguments.front(), arguments.data(), variables.data());
        _exit(127);
    }
    close(log);
}

auto edge::signal(int number) -> void
{
    if (m_process > 0)
        kill(m_process, number);
}

auto edge::awaitReady() -> void
{
    const auto until = nowMs() + 10000;
    while (nowMs() < until) {
        if (const auto peer = connection::to(m_readyPort)) {
            peer->send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            while (peer->receive(nowMs() + 1000) > 0) {
            }
            if (peer->buffer.rfind("HTTP/1.1 200", 0) == 0)
                return;
        }
        sleepMs(50);
    }
    giveUp("the edge did not become ready");
}

auto edge::awaitEnd(std::int64_t untilMs) -> std::int64_t
{
    while (nowMs() < untilMs) {
        int status = 0;
        if (m_process > 0 && waitpid(m_process, &status, WNOHANG) == m_process) {
            m_process = -1;
            return nowMs();
        }
        sleepMs(5);
    }
    return -1;
}

namespace {

// Receives more of the answer; false at the connection's end, the deadline, or the end of the
// client's patience.
auto receiveMore(connection &peer, const attempt &what, attempt_result &result) -> bool
{
    const auto deadline = result.sentAtMs + what.deadlineMs;
    const auto patience = nowMs() + what.patienceMs;
    const bool isPatient = what.patienceMs == 0 || patience >= deadline;
    const auto count = peer.receive(isPatient ? deadline : patience);
    result.isTimedOut = count == -2 && isPatient;
    result.isAbandoned = count == -2 && !isPatient;
    result.isClosed = count == 0 || count == -1;
    return count > 0;
}

// Reads the answer's head, skipping interim ones.
auto readAnswerHead(connection &peer, const attempt &what, attempt_result &result) -> bool
{
    for (;;) {
        const auto end = peer.buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto head = parseHead(std::string_view(peer.buffer).substr(0, end));
            peer.buffer.erase(0, end + 4);
            if (head.status() < 200)
                continue;
            result.status = head.status();
            result.headers = head.headers;
            return true;
        }
        if (!receiveMore(peer, what, result))
            return false;
    }
}

// Moves the body from the buffer to the result; true once it is whole.
auto takeBody(std::string &buffer, attempt_result &result) -> bool
{
    if (result.header("transfer-encoding").empty()) {
        const auto length
            = static_cast<std::size_t>(std::atoll(result.header("content-length").c_str()));
        if (buffer.size() < length)
            return false;
        result.body = buffer.substr(0, length);
        return true;
    }
    for (;;) {
        const auto lineEnd = buffer.find("\r\n");
        if (lineEnd == std::string::npos)
            return false;
        const auto size = std::strtoull(buffer.c_str(), nullptr, 16);
        if (buffer.size() < lineEnd + 2 + size + 2)
            return false;
        result.body += buffer.substr(lineEnd + 2, size);
        buffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

} // namespace

auto ask(std::uint16_t port, const attempt &what) -> attempt_result
{
    if (const auto peer = connection::to(port))
        return ask(*peer, what);
    return {.isClosed = true, .sentAtMs = nowMs(), .endedAtMs = nowMs()};
}

auto ask(connection &peer, const attempt &what) -> attempt_result
{
    attempt_result result;
    auto text = what.method + " " + what.path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: "
                + what.id + "\r\nDeadline-Ms: " + std::to_string(what.deadlineMs)
                + "\r\nAuthorization: Bearer " + what.key + "\r\n" + what.headers;
    if (what.method == "POST")
        text += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    peer.send(text + "\r\n" + what.body);
    result.sentAtMs = nowMs();
    if (readAnswerHead(peer, what, result)) {
        while (!(result.isComplete = takeBody(peer.buffer, result))
               && receiveMore(peer, what, result)) {
        }
        if (!result.isComplete && result.header("transfer-encoding").empty())
            result.body = peer.buffer;
        else if (result.isComplete && result.header("transfer-encoding").empty())
            peer.buffer.erase(0, result.body.size());
    }
    result.endedAtMs = nowMs();
    return result;
}

auto desiredState(int version, const std::string &routes, const std::string &services,
                  const std::string &keys) -> std::string
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":["
           + services
           + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
             "\"tenants\":[{\"name\":\"shop-one\",\"api_keys\":["
           + keys + "]}]}";
}

auto caseFolder(int argc, char **argv) -> std::string
{
    if (argc != 2)
        giveUp("usage: PROGRAM FOLDER, in the repository's root");
    return argv[1];
}

} // namespace review
