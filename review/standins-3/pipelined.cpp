// One edge of a small deployment, 18 model servers with 128 places each, and clients of one tenant
// that send a proper request on each connection and then, without waiting, further ones. Judges the
// memory of the edge.
//
//     pipelined FOLDER EDGE... (the command of an edge)

#include <atomic>

#include "site.h"

using namespace review;

namespace {

// Of a machine `edge` of feirasul-juri.
constexpr int memoryMb = 260;
constexpr int descriptors = 4200;
constexpr int servers = 18;
constexpr int slots = 128;

constexpr int connections = 1900;
constexpr std::size_t bodyBytes = 12000;
constexpr int furtherRequests = 16;
constexpr double streamS = 13;
constexpr double eventS = 0.8;

std::atomic<int> runs = 0;
std::atomic<int> running = 0;

auto serveStreams(int fd) -> void
{
    message_reader reader(fd);
    message call;
    while (reader.read(call, false) && call.complete) {
        ++runs;
        ++running;
        bool isOpen = sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + call.header("Attempt-Id")
                                      + "\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n");
        const auto from = seconds();
        for (int id = 1; isOpen && seconds() - from < streamS; ++id) {
            const auto event = "id: " + std::to_string(id) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            isOpen = sendAll(fd, size + event + "\r\n");
            pause(eventS);
        }
        --running;
        if (!isOpen || !sendAll(fd, "0\r\n\r\n"))
            return;
    }
}

auto memoryOf(int pid, const char *field) -> long
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind(field, 0) == 0)
            return std::atol(line.c_str() + std::strlen(field) + 1);
    }
    return 0;
}

auto setDescriptors(rlim_t count) -> void
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(count, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
}

auto descriptorCount() -> rlim_t
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[1];
    const std::string scratch = std::getenv("SCRATCH");
    const std::vector<std::string> command(argv + 2, argv + argc);
    const bool isTroubled
        = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    record_file record(folder + "/record.txt");

    // The edge inherits the descriptors of its machine; this program needs more.
    setDescriptors(descriptors);
    store platform(record);
    int cloudPort = 0;
    serve(listenOn(cloudPort), [&](int fd) {
        message_reader reader(fd);
        message call;
        while (reader.read(call, false) && call.complete) {
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                return;
        }
    });
    const std::string service
        = "{\"name\":\"juri-modelo\",\"health_path\":\"/healthz\",\"max_conns\":610,\"protocol\":"
          "\"h1\",\"tls\":false,\"cold_period_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":128,"
          "\"kv_capacity\":662472,\"kv_bytes\":18432,\"link_mbps\":88000.0,\"stride\":6,\"most\":"
          "12,"
          "\"models\":[{\"name\":\"m\"}]}}";
    platform.put("keyed.op", "config",
                 configText(1,
                            routeText("review", "streaming", 15000, 2000, "juri-modelo",
                                      ",\"max_attempts\":1,\"resumable\":false,"
                                      "\"gap_target_ms\":1200"),
                            service));
    std::vector<std::unique_ptr<server_entry>> entries;
    for (int number = 0; number < servers; ++number) {
        int port = 0;
        serve(listenOn(port), serveStreams);
        entries.push_back(std::make_unique<server_entry>(platform, "i-" + std::to_string(number),
                                                         "juri-modelo", port, slots));
    }

    const edge_ports ports;
    const auto file = scratch + "/edge.json";
    writeFile(file, edgeSettings("edge-curitiba-1", ports, "\"" + address(ports.peers) + "\"",
                                 platform.port(), cloudPort,
                                 ",\"memory_mb\":" + std::to_string(memoryMb)));
    child edge(command, file, scratch + "/edge.log");
    setDescriptors(20000);
    if (descriptorCount() < 3UL * connections) {
        record.line("too few descriptors");
        return 2;
    }
    if (!awaitReady(ports, 15)) {
        record.line("the edge did not become ready");
        return 2;
    }
    pause(5);
    record.line("the edge is ready, memory " + std::to_string(memoryOf(edge.pid(), "VmRSS:"))
                + " kB");

    std::vector<int> clients;
    const std::string body(bodyBytes, 'x');
    const auto request = [&](int number) {
        auto text = requestText("POST", "/review/a", "a" + std::to_string(number), 15000, body);
        text.insert(text.find("Content-Length"), "Model: m\r\nToken-Usage: 826,294\r\n");
        return text;
    };
    int attempts = 0;
    for (int number = 0; number < connections; ++number) {
        const int fd = connectTo(ports.callers);
        if (fd < 0 || !sendAll(fd, request(attempts++)))
            record.line("a connection failed");
        clients.push_back(fd);
        if (number % 10 == 9)
            pause(0.01);
    }
    pause(1);
    record.line("requests sent " + std::to_string(attempts) + ", running at servers "
                + std::to_string(running) + ", memory of the edge "
                + std::to_string(memoryOf(edge.pid(), "VmRSS:")) + " kB, its most "
                + std::to_string(memoryOf(edge.pid(), "VmHWM:")) + " kB");

    if (isTroubled) {
        // What the edge does not read stays in the sender's buffer; nothing here waits for it.
        std::vector<std::string> further(clients.size());
        for (auto &text : further) {
            for (int number = 0; number < furtherRequests; ++number)
                text += request(attempts++);
        }
        const std::size_t firstBytes = 64U << 10U;
        for (std::size_t at = 0; at < clients.size(); ++at)
            static_cast<void>(
                ::send(clients[at], further[at].data(), firstBytes, MSG_NOSIGNAL | MSG_DONTWAIT));
        pause(1);
        for (std::size_t at = 0; at < clients.size(); ++at)
            static_cast<void>(::send(clients[at], further[at].data() + firstBytes,
                                     further[at].size() - firstBytes, MSG_NOSIGNAL | MSG_DONTWAIT));
        record.line("further requests begun on these connections, " + std::to_string(attempts)
                    + " in all");
    }
    // An ordinary caller meanwhile; recorded, not judged.
    const auto until = seconds() + 6;
    std::map<int, int> ordinary;
    while (seconds() < until && edge.running()) {
        const int fd = connectTo(ports.callers);
        auto text = requestText("POST", "/review/b", "o" + std::to_string(attempts++), 15000, "hi");
        text.insert(text.find("Content-Length"), "Model: m\r\nToken-Usage: 826,294\r\n");
        char first[13] = {};
        const timeval limit{.tv_sec = 2, .tv_usec = 0};
        if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) == 0
            && sendAll(fd, text) && recv(fd, first, 12, MSG_WAITALL) == 12)
            ++ordinary[std::atoi(first + 9)];
        else
            ++ordinary[0];
        if (fd >= 0)
            close(fd);
        pause(0.5);
    }
    for (const auto &[status, count] : ordinary)
        record.line("an ordinary caller got " + std::to_string(status) + " " + std::to_string(count)
                    + " times (0: no answer in 2 s)");
    const auto most = memoryOf(edge.pid(), "VmHWM:");
    record.line("running at servers " + std::to_string(running) + ", memory of the edge "
                + std::to_string(memoryOf(edge.pid(), "VmRSS:")) + " kB, its most "
                + std::to_string(most) + " kB, its machine's " + std::to_string(memoryMb * 1024)
                + " kB");
    const bool hasEnded = !edge.running();
    const int result = hasEnded || most > memoryMb * 1024L ? 1 : 0;
    record.line(hasEnded      ? "the edge ended"
                : result == 1 ? "the edge held more than the memory of its machine"
                              : "the rule held");
    edge.signal(SIGKILL);
    while (edge.running())
        pause(0.01);
    std::_Exit(result);
}
