// One edge of a small deployment, 18 model servers with 128 places each, and a client of one tenant
// that has one proper request under way on each of its connections, all that the edge takes. Judges
// whether the edge, which says that it is ready, takes connections of other callers.
//
//     crowd FOLDER EDGE... (the command of an edge)

#include <atomic>
#include <set>

#include "site.h"

using namespace review;

namespace {

// Of a machine `edge` of feirasul-juri.
constexpr int memoryMb = 260;
constexpr int descriptors = 4200;
constexpr int servers = 18;
constexpr int slots = 128;

// Half of the descriptors beyond 200 are for callers.
constexpr int connections = (descriptors - 200) / 2;
constexpr int callers = 10;
constexpr double triesS = 8;
constexpr double contactS = 3;
constexpr int clientsOfTheRule = 7;
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

auto streamRequest(const std::string &id) -> std::string
{
    auto text = requestText("POST", "/review/a", id, 15000, "a dossier");
    text.insert(text.find("Content-Length"), "Model: m\r\nToken-Usage: 826,294\r\n");
    return text;
}

// One connection of the crowd: a request, its answer, the next one.
auto crowd(int port, int number) -> void
{
    for (;;) {
        const int fd = connectTo(port);
        message answer;
        message_reader reader(fd);
        for (int round = 0; fd >= 0; ++round) {
            auto id = std::to_string(number);
            id.append("-").append(std::to_string(round));
            if (!sendAll(fd, streamRequest(id)) || !reader.read(answer, true) || !answer.complete)
                break;
        }
        if (fd >= 0)
            close(fd);
        pause(0.2);
    }
}

struct attempt
{
    double at = 0;
    int caller = 0;
    bool isAnswered = false;
};

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
    if (isTroubled) {
        for (int number = 0; number < connections; ++number) {
            std::thread(crowd, ports.callers, number).detach();
            if (number % 10 == 9)
                pause(0.01);
        }
        pause(1.5);
    }
    record.line("streams of the crowd at servers: " + std::to_string(running));

    std::mutex mutex;
    std::vector<attempt> attempts;
    std::map<int, int> statuses;
    std::vector<double> notReady;
    int probes = 0;
    const auto until = seconds() + triesS;
    std::vector<std::thread> threads;
    threads.reserve(callers + 1);
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            for (int round = 0; seconds() < until; ++round) {
                attempt one{.at = seconds(), .caller = number};
                const int fd = connectTo(ports.callers);
                const timeval limit{.tv_sec = 3, .tv_usec = 0};
                char first[13] = {};
                if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) == 0
                    && sendAll(fd, streamRequest("o" + std::to_string(number * 1000 + round))))
                    one.isAnswered = recv(fd, first, 12, MSG_WAITALL) == 12;
                if (fd >= 0)
                    close(fd);
                {
                    const std::lock_guard lock(mutex);
                    attempts.push_back(one);
                    ++statuses[one.isAnswered ? std::atoi(first + 9) : 0];
                }
                pause(0.3);
            }
        });
    }
    threads.emplace_back([&] {
        while (seconds() < until) {
            const auto at = seconds();
            const bool isReady = statusOf(ports.readiness, "/v1/readyz") == 200;
            const std::lock_guard lock(mutex);
            ++probes;
            if (!isReady)
                notReady.push_back(at);
            pause(0.3);
        }
    });
    for (auto &each : threads)
        each.join();

    for (const auto &[status, count] : statuses)
        record.line("tries of other callers that got " + std::to_string(status) + ": "
                    + std::to_string(count) + " (0: no answer)");
    record.line("readiness probes " + std::to_string(probes) + ", without 200 "
                + std::to_string(notReady.size()) + "; streams of the crowd at servers: "
                + std::to_string(running) + "; the edge runs: " + (edge.running() ? "yes" : "no"));
    bool isBroken = !edge.running();
    for (const auto &from : attempts) {
        if (from.at + contactS > until)
            continue;
        std::set<int> tried;
        bool isTaken = false;
        for (const auto &each : attempts) {
            if (each.at < from.at || each.at > from.at + contactS)
                continue;
            tried.insert(each.caller);
            isTaken = isTaken || each.isAnswered;
        }
        bool isReady = true;
        for (const auto at : notReady)
            isReady = isReady && (at < from.at || at > from.at + contactS);
        isBroken = isBroken
                   || (!isTaken && isReady && static_cast<int>(tried.size()) >= clientsOfTheRule);
    }
    record.line(isBroken ? "the rule was broken" : "the rule held");
    edge.signal(SIGKILL);
    while (edge.running())
        pause(0.01);
    std::_Exit(isBroken ? 1 : 0);
}
