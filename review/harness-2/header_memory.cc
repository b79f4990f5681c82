// Case: clients that we don't control send requests inside the limits with many short headers, and
// the memory of an edge exceeds that of its machine. See review/N/claim.txt.
//
//   header_memory RECORD      the case
//   header_memory --servers   the model servers, a process of its own: writes their ports

#include "standin.hh"

using namespace review;

namespace {

// The smallest edge machine of kalkan-hat-grown.
constexpr int memoryMb = 160;
constexpr int serverCount = 18;
constexpr int slots = 128;
constexpr int clientCount = 1100;
constexpr double answerAfter = 12;
constexpr double callsPerSecond = 5;

// Accepts everything, and answers each request when `answerAfter` has passed: long generations.
auto runServers() -> int
{
    signal(SIGPIPE, SIG_IGN);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    struct item
    {
        int descriptor;
        std::string input;
        double dueAt;
        std::string id;
    };
    std::vector<pollfd> polled;
    std::vector<item> items;
    for (int number = 0; number < serverCount; ++number) {
        int port = 0;
        const int descriptor = listenOn(port);
        fcntl(descriptor, F_SETFL, O_NONBLOCK);
        printf("%d\n", port);
        polled.push_back({.fd = descriptor, .events = POLLIN, .revents = 0});
        items.push_back({descriptor, "", 0, ""});
    }
    fflush(stdout);
    for (;;) {
        poll(polled.data(), polled.size(), 50);
        for (std::size_t at = 0; at < items.size(); ++at) {
            auto &each = items[at];
            if (polled[at].revents != 0 && at < serverCount) {
                int accepted = 0;
                while ((accepted
                        = accept4(each.descriptor, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK))
                       >= 0) {
                    polled.push_back({.fd = accepted, .events = POLLIN, .revents = 0});
                    items.push_back({accepted, "", 0, ""});
                }
                break;
            }
            if (polled[at].revents != 0) {
                char bytes[65536];
                const auto count = recv(each.descriptor, bytes, sizeof bytes, 0);
                if (count <= 0) {
                    close(each.descriptor);
                    polled[at] = polled.back();
                    items[at] = items.back();
                    polled.pop_back();
                    items.pop_back();
                    break;
                }
                each.input.append(bytes, static_cast<std::size_t>(count));
                if (each.input.find("\r\n\r\n") != std::string::npos) {
                    const auto id = each.input.find("Attempt-Id: ");
                    each.id = each.input.substr(id + 12, 16);
                    each.input = {};
                    each.dueAt = seconds() + answerAfter;
                }
            }
            if (each.dueAt > 0 && seconds() >= each.dueAt) {
                each.dueAt = 0;
                sendAll(each.descriptor, answerText(200,
                                                    "Attempt-Id: " + each.id
                                                        + "\r\nServer-Seal: s.1\r\nContent-Type: "
                                                          "text/event-stream\r\n",
                                                    "id: 1\ndata: 0123456789\n\n"));
            }
        }
    }
}

// 16,000 bytes of headers, under the limit of 16,384. Without trouble they are one header.
auto longHeaders() -> std::string
{
    if (!isTroubled())
        return "Note: " + std::string(15990, 'x') + "\r\n";
    std::string text;
    for (int number = 0; text.size() < 15960; ++number) {
        char line[64];
        snprintf(line, sizeof line, "note-%011d:%016d\r\n", number, number);
        text += line;
    }
    return text;
}

} // namespace

auto main(int count, char **argv) -> int
{
    if (count == 2 && std::string(argv[1]) == "--servers")
        return runServers();
    beginCase(argv[1]);
    platform store;
    registry registrations(store);
    char self[512];
    const auto length = readlink("/proc/self/exe", self, sizeof self - 1);
    self[std::max<ssize_t>(length, 0)] = 0;
    startProcess({self, "--servers"}, {}, workFolder + "/servers.log");
    pause(0.5);
    FILE *ports = fopen((workFolder + "/servers.log").c_str(), "r");
    int port = 0;
    for (int number = 0; ports != nullptr && fscanf(ports, "%d", &port) == 1; ++number)
        registrations.add("i-llm-" + std::to_string(number), "llm", port, slots);
    http_listener shop([](int descriptor, message &request) {
        pause(0.02);
        return sendAll(descriptor, answerText(200,
                                              "Attempt-Id: " + request.header("attempt-id")
                                                  + "\r\nServer-Seal: s.2\r\n",
                                              "in stock"));
    });
    registrations.add("i-shop", "shop", shop.port(), 32);
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-review\",\"host\":\"a.example\","
              "\"path_prefix\":\"/review/\",\"type\":\"streaming\",\"timeout_ms\":30000,"
              "\"latency_goal_ms\":20000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
              "\"public\":false,\"resumable\":false,\"gap_target_ms\":1200},{\"name\":\"r-stock\","
              "\"host\":\"a.example\",\"path_prefix\":\"/stock/\",\"type\":\"safe\","
              "\"timeout_ms\":2000,\"latency_goal_ms\":300,\"priority\":2,\"service\":\"shop\","
              "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"llm\","
              "\"health_path\":\"/healthz\",\"max_conns\":610,\"cold_period_s\":0,"
              "\"cold_per_s\":0,\"engine\":{\"slots\":128,\"kv_capacity\":662472}},"
              "{\"name\":\"shop\",\"health_path\":\"/healthz\","
              "\"max_conns\":110,\"cold_period_s\":0,\"cold_per_s\":0}],"
                  + limitsText + "}");
    std::vector<edge> edges{makeEdge("edge-tuzla-1")};
    startEdge(edges[0], edges, store.port(), ",\n \"memory_mb\": \"160\"");
    awaitReady(edges);
    pause(4);
    note("resident memory before: %ld KiB; the machine has %d KiB",
         statusKiB(edges[0].pid, "VmRSS"), memoryMb * 1024);
    std::vector<int> open;
    const auto more = longHeaders();
    for (int number = 0; number < clientCount; ++number) {
        const int descriptor = connectTo(edges[0].front);
        const auto id = randomId();
        if (descriptor < 0
            || !sendAll(descriptor, "GET /review/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                        + "\r\nModel: m\r\nToken-Usage: 100,60\r\nDeadline-Ms: "
                                          "30000\r\nAuthorization: Bearer "
                                        + clientKey + "\r\n" + more + "\r\n")) {
            note("client %d cannot send", number);
            break;
        }
        open.push_back(descriptor);
        pause(0.001);
    }
    note("%zu clients have sent a request with %zu bytes of headers", open.size(), more.size());
    long most = 0;
    const auto until = seconds() + answerAfter + 10;
    std::size_t answered = 0;
    std::map<int, int> statuses;
    std::vector<bool> isAnswered(open.size());
    double nextNote = 0;
    while (seconds() < until && answered < open.size() && edges[0].isRunning()) {
        most = std::max(most, statusKiB(edges[0].pid, "VmHWM"));
        for (std::size_t at = 0; at < open.size(); ++at) {
            char bytes[4096];
            if (isAnswered[at])
                continue;
            const auto got = recv(open[at], bytes, sizeof bytes - 1, MSG_DONTWAIT);
            if (got < 0 && errno == EAGAIN)
                continue;
            bytes[std::max<ssize_t>(got, 0)] = 0;
            isAnswered[at] = true;
            ++answered;
            ++statuses[got > 12 ? atoi(bytes + 9) : 0];
        }
        if (seconds() > nextNote) {
            nextNote = seconds() + 1;
            note("resident memory %ld KiB, %zu answered", statusKiB(edges[0].pid, "VmRSS"),
                 answered);
        }
        pause(0.05);
    }
    for (const auto &[status, number] : statuses)
        note("answers with status %d: %d", status, number);
    note("highest resident memory of the edge: %ld KiB (%.0f MiB of %d); it is %s", most,
         static_cast<double>(most) / 1024, memoryMb, edges[0].isRunning() ? "running" : "gone");
    endCase(most > memoryMb * 1024L || !edges[0].isRunning());
}
