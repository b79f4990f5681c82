// Case: an edge is stopped by SIGTERM while callers on ordinary links still receive answers that
// it has read whole from a server. See review/N/claim.txt.

#include "standin.hh"

using namespace review;

namespace {

constexpr std::size_t answerBytes = 5'000'000;
// The client's link: 8 Mbit/s, an Ethernet segment and a window of 64 KiB.
constexpr double bytesPerSecond = 1'000'000;
constexpr connect_options clientLink{.receiveBuffer = 64 << 10, .segment = 1400};
constexpr int deadlineMs = 15000;
constexpr double grace = 8;

struct download
{
    std::string name;
    bool reusesConnection = false;
    double sentAt = 0;
    double endedAt = 0;
    std::size_t received = 0;
    int status = 0;
    std::string end;
    bool isWhole = false;
};

auto receive(download &own, int port) -> void
{
    const int descriptor = connectTo(port, clientLink);
    setTimeout(descriptor, deadlineMs / 1000.0);
    const auto id = randomId();
    own.sentAt = seconds();
    sendAll(descriptor, "GET /files/catalogue HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
                            + "\r\nAuthorization: Bearer " + clientKey + "\r\n\r\n");
    note("%s sends request %s", own.name.c_str(), id.c_str());
    std::string head;
    std::size_t headEnd = std::string::npos;
    std::size_t expected = 0;
    const auto start = seconds();
    std::size_t taken = 0;
    char bytes[16 << 10];
    for (;;) {
        // Reads as fast as its link carries.
        pause(static_cast<double>(taken) / bytesPerSecond - (seconds() - start));
        const auto count = recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            own.end = count == 0 ? "closed" : errno == EAGAIN ? "time over" : "reset";
            break;
        }
        taken += static_cast<std::size_t>(count);
        if (headEnd == std::string::npos) {
            head.append(bytes, static_cast<std::size_t>(count));
            headEnd = head.find("\r\n\r\n");
            if (headEnd == std::string::npos)
                continue;
            own.status = atoi(head.c_str() + 9);
            const auto length = head.find("Content-Length: ");
            expected = length == std::string::npos ? 0 : std::stoull(head.substr(length + 16));
            own.received = head.size() - headEnd - 4;
        } else {
            own.received += static_cast<std::size_t>(count);
        }
        if (own.received >= expected) {
            own.end = "whole";
            break;
        }
    }
    own.endedAt = seconds();
    own.isWhole = own.end == "whole" && own.status == 200 && expected == answerBytes;
    close(descriptor);
    note("%s: status %d, %zu of %zu bytes, %s after %.2f s", own.name.c_str(), own.status,
         own.received, expected, own.end.c_str(), own.endedAt - own.sentAt);
}

} // namespace

auto main(int, char **argv) -> int
{
    beginCase(argv[1]);
    platform store;
    registry servers(store);
    const std::string body(answerBytes, 'x');
    std::atomic<int> runs{0};
    http_listener server([&](int descriptor, message &request) {
        if (request.header("expect-instance") != "i-files")
            return sendAll(descriptor, answerText(421, "", ""));
        if (request.path() != "/healthz")
            note("the server answers %s whole", request.header("attempt-id").c_str());
        ++runs;
        return sendAll(descriptor, answerText(200,
                                              "Attempt-Id: " + request.header("attempt-id")
                                                  + "\r\nServer-Seal: s.1\r\n",
                                              body));
    });
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-files\",\"host\":\"a.example\","
              "\"path_prefix\":\"/files/\",\"type\":\"safe\",\"timeout_ms\":15000,"
              "\"latency_goal_ms\":10000,\"priority\":1,\"service\":\"files\",\"max_attempts\":2,"
              "\"public\":false}],\"services\":[{\"name\":\"files\",\"health_path\":\"/healthz\","
              "\"max_conns\":110,\"cold_period_s\":0,\"cold_per_s\":0}],"
                  + limitsText + "}");
    servers.add("i-files", "files", server.port(), 32);
    std::vector<edge> edges{makeEdge("edge-tuzla-1"), makeEdge("edge-tuzla-2")};
    for (auto &each : edges)
        startEdge(each, edges, store.port());
    awaitReady(edges);
    // In touch for `contact_ms`, and long enough for the first round of the edges.
    pause(4);

    std::vector<download> downloads(6);
    std::vector<std::thread> clients;
    const auto begin = [&](std::size_t number) {
        downloads[number].name = "client " + std::to_string(number + 1);
        clients.emplace_back([&, number] { receive(downloads[number], edges[0].front); });
    };
    for (std::size_t number = 0; number < 3; ++number)
        begin(number);
    pause(0.5);
    const auto stoppedAt = seconds();
    if (isTroubled()) {
        note("SIGTERM to %s", edges[0].name.c_str());
        kill(edges[0].pid, SIGTERM);
    }
    pause(0.3);
    // The balancer has not yet missed two answers, so new clients still come.
    for (std::size_t number = 3; number < downloads.size(); ++number)
        begin(number);
    std::thread killer([&] {
        bool isRunning = true;
        while (isTroubled() && seconds() < stoppedAt + grace) {
            if (isRunning && !edges[0].isRunning()) {
                isRunning = false;
                note("%s has ended %.2f s after SIGTERM", edges[0].name.c_str(),
                     seconds() - stoppedAt);
            }
            pause(0.02);
        }
        if (isTroubled() && isRunning)
            kill(edges[0].pid, SIGKILL);
    });
    for (auto &each : clients)
        each.join();
    killer.join();
    int lost = 0;
    for (const auto &each : downloads)
        lost += each.isWhole ? 0 : 1;
    note("the server ran %d requests; %d of %zu answers did not arrive whole, where %.1f s of the "
         "grace of %.0f s would have sufficed",
         runs.load(), lost, downloads.size(), answerBytes / bytesPerSecond + 0.3, grace);
    endCase(lost > 0);
}
