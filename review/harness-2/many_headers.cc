// Case: some clients that we don't control send requests inside the limits that cost an edge
// thousands of times the processor time of others, and it stops answering everybody. See
// review/N/claim.txt.

#include "standin.hh"

using namespace review;

namespace {

constexpr int timeoutMs = 2000;
constexpr double lateBy = 0.5;
constexpr double trafficLength = 20;
constexpr double callsPerSecond = 20;
constexpr double troubleFrom = 3;
constexpr double troubleLength = 10;
// Clients that send such requests: one at a time, and one a second at most.
constexpr int pressingClients = 30;

struct tally
{
    std::mutex mutex;
    int sent = 0;
    int served = 0;
    int atTimeout = 0;
    int longAfter = 0;
    double longest = 0;
};

auto requestText(const std::string &id, const std::string &more) -> std::string
{
    return "GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
           + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + clientKey + "\r\n" + more + "\r\n";
}

// Headers of 16,000 bytes, under the limit of 16,384: half of them names in `Connection`, the rest
// fields of one letter. Without trouble they are one field of as many bytes.
auto longHeaders() -> std::string
{
    if (!isTroubled())
        return "Note: " + std::string(15990, 'x') + "\r\n";
    std::string text = "Connection: keep-alive";
    while (text.size() < 8000)
        text += ",x";
    text += "\r\n";
    while (text.size() < 16000)
        text += "y:\r\n";
    return text;
}

auto ask(int port, tally &own) -> void
{
    const auto id = randomId();
    const auto start = seconds();
    const int descriptor = connectTo(port);
    setTimeout(descriptor, 8);
    sendAll(descriptor, requestText(id, ""));
    reader input(descriptor);
    message answer;
    const bool isWhole = input.readHead(answer) && input.readBody(answer);
    const auto took = seconds() - start;
    close(descriptor);
    const std::scoped_lock lock(own.mutex);
    ++own.sent;
    own.served += isWhole && answer.status() == 200 ? 1 : 0;
    own.atTimeout += took > timeoutMs / 1000.0 ? 1 : 0;
    own.longAfter += took > timeoutMs / 1000.0 + lateBy ? 1 : 0;
    own.longest = std::max(own.longest, took);
    if (took > 1)
        note("client: %s was answered (%d, %s) after %.2f s", id.c_str(), answer.status(),
             isWhole ? "whole" : input.failure().c_str(), took);
}

} // namespace

auto main(int, char **argv) -> int
{
    beginCase(argv[1]);
    platform store;
    registry registrations(store);
    http_listener shop([](int descriptor, message &request) {
        pause(0.02);
        return sendAll(descriptor, answerText(200,
                                              "Attempt-Id: " + request.header("attempt-id")
                                                  + "\r\nServer-Seal: s.2\r\n",
                                              "in stock"));
    });
    registrations.add("i-shop", "shop", shop.port(), 32);
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-stock\",\"host\":\"a.example\","
              "\"path_prefix\":\"/stock/\",\"type\":\"safe\",\"timeout_ms\":"
                  + std::to_string(timeoutMs)
                  + ",\"latency_goal_ms\":300,\"priority\":2,\"service\":\"shop\","
                    "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\","
                    "\"health_path\":\"/healthz\",\"max_conns\":110,\"cold_period_s\":0,"
                    "\"cold_per_s\":0}],"
                  + limitsText + "}");
    std::vector<edge> edges{makeEdge("edge-tuzla-1")};
    startEdge(edges[0], edges, store.port());
    awaitReady(edges);
    pause(4);

    tally calls;
    std::vector<std::thread> clients;
    const auto start = seconds();
    const auto used = processorSeconds(edges[0].pid);
    std::atomic<int> pressed{0};
    std::atomic<int> pressedAnswered{0};
    std::atomic<bool> isPressing{false};
    std::vector<std::thread> pressing;
    for (int number = 0; number < pressingClients; ++number) {
        pressing.emplace_back([&] {
            while (!isPressing)
                pause(0.01);
            const auto more = longHeaders();
            while (isPressing) {
                const auto begunAt = seconds();
                const int descriptor = connectTo(edges[0].front);
                setTimeout(descriptor, 4);
                reader input(descriptor);
                message answer;
                ++pressed;
                if (sendAll(descriptor, requestText(randomId(), more)) && input.readHead(answer)
                    && input.readBody(answer))
                    ++pressedAnswered;
                close(descriptor);
                pause(1 - (seconds() - begunAt));
            }
        });
    }
    double nextCall = 0;
    for (double at = 0; at < trafficLength; at = seconds() - start) {
        if (at >= nextCall) {
            nextCall += 1 / callsPerSecond;
            clients.emplace_back([&] { ask(edges[0].front, calls); });
        }
        const bool isNow = at >= troubleFrom && at < troubleFrom + troubleLength;
        if (isPressing.exchange(isNow) != isNow)
            note("%d clients %s", pressingClients,
                 !isNow ? "end"
                 : isTroubled()
                     ? "begin to send a request a second with 16,000 bytes of short headers"
                     : "begin to send a request a second with 16,000 bytes in one header");
        pause(nextCall - (seconds() - start));
    }
    for (auto &each : clients)
        each.join();
    for (auto &each : pressing)
        each.join();
    note("the edge used %.2f processor seconds; requests of the pressing clients: %d sent, %d "
         "answered",
         processorSeconds(edges[0].pid) - used, pressed.load(), pressedAnswered.load());
    note("calls: %d sent, %d served, longest wait %.2f s; %d unanswered at timeout_ms, of these %d "
         "half a second later",
         calls.sent, calls.served, calls.longest, calls.atTimeout, calls.longAfter);
    endCase(calls.atTimeout > 0 && 2 * calls.longAfter > calls.atTimeout);
}
