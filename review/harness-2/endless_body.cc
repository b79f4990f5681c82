// Case: a server in trouble sends bytes without end in the body of a stream, in small chunks, and
// the edge stops answering everybody. See review/N/claim.txt.

#include "standin.hh"

using namespace review;

namespace {

// As the calls of feirasul-juri have it.
constexpr int timeoutMs = 800;
constexpr double lateBy = 0.5;
constexpr double troubleFrom = 3;
// The longest `garble` of the pages' site files is 6 s; this one is shorter.
constexpr double troubleLength = 5;
constexpr double trafficLength = 20;
constexpr double callsPerSecond = 20;
constexpr double streamsPerSecond = 40;
// Share of the streams of the servers in trouble that are spoilt; the site's `garble` has x = 0.05.
constexpr double spoiltShare = 0.05;
constexpr int servers = 4;
// The share of servers in trouble is that of a default `garble`: 0.5.
constexpr int serversInTrouble = 2;

double trafficStart = 0;
std::atomic<int> spoilt{0};
// The servers in trouble, and their answers since it began.
std::atomic<bool> inTrouble[servers];
std::atomic<int> answersInTrouble{0};

auto isInTrouble() -> bool
{
    const auto at = seconds() - trafficStart;
    return isTroubled() && trafficStart > 0 && at >= troubleFrom
           && at < troubleFrom + troubleLength;
}

auto chunk(const std::string &text) -> std::string
{
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// A model server: a stream of 10 events, 20 ms apart. In trouble, some of its answers go on with
// the text of tokens, one token a chunk, and never end an event.
auto serveStream(int number, int descriptor, message &request, std::atomic<int> &count) -> bool
{
    if (request.header("expect-instance") != "i-llm-" + std::to_string(number))
        return sendAll(descriptor, answerText(421, "", ""));
    const auto id = request.header("attempt-id");
    auto head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                + "\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n";
    if (!sendAll(descriptor, head))
        return false;
    ++count;
    const bool isSpoilt = inTrouble[number] && isInTrouble()
                          && ++answersInTrouble % static_cast<int>(1 / spoiltShare) == 0;
    for (int event = 1; event <= 10; ++event) {
        pause(0.02);
        if (isSpoilt && event == 3) {
            ++spoilt;
            note("server %d sends bytes without end in its answer to %s", number, id.c_str());
            std::string tokens;
            for (int token = 0; token < 64; ++token)
                tokens += chunk("word");
            std::size_t sent = 0;
            while (sendAll(descriptor, tokens))
                sent += tokens.size();
            note("the answer to %s was given up after %zu bytes", id.c_str(), sent);
            return false;
        }
        if (!sendAll(descriptor, chunk("id: " + std::to_string(event) + "\ndata: 0123456789\n\n")))
            return false;
    }
    return sendAll(descriptor, "0\r\n\r\n");
}

struct tally
{
    std::mutex mutex;
    int sent = 0;
    int served = 0;
    // Unanswered at the route's timeout, and half a second later.
    int atTimeout = 0;
    int longAfter = 0;
    double longest = 0;
};

// A client with a connection of its own for each request.
auto ask(int port, const std::string &path, tally &own) -> void
{
    const auto id = randomId();
    const auto start = seconds();
    const int descriptor = connectTo(port);
    setTimeout(descriptor, 12);
    sendAll(descriptor, "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                            + "\r\nModel: m\r\nToken-Usage: 100,60\r\nPrefix-Hash: 5c1e07"
                            + std::to_string(10 + id.back() % 16) + ":80," + id
                            + ":20\r\nDeadline-Ms: " + (path == "/tag/1" ? "3000" : "1500")
                            + "\r\nAuthorization: Bearer " + clientKey + "\r\n\r\n");
    reader input(descriptor);
    message answer;
    double firstAt = 0;
    bool isWhole = input.readHead(answer);
    if (isWhole) {
        firstAt = seconds();
        isWhole = input.readBody(answer);
    }
    const auto took = (firstAt > 0 ? firstAt : seconds()) - start;
    close(descriptor);
    const std::scoped_lock lock(own.mutex);
    ++own.sent;
    own.served += isWhole && answer.status() == 200 ? 1 : 0;
    own.atTimeout += took > timeoutMs / 1000.0 ? 1 : 0;
    own.longAfter += took > timeoutMs / 1000.0 + lateBy ? 1 : 0;
    own.longest = std::max(own.longest, took);
    if (took > 1)
        note("client: %s %s was answered (%d, %s) after %.2f s", id.c_str(), path.c_str(),
             answer.status(), isWhole ? "whole" : input.failure().c_str(), took);
}

} // namespace

auto main(int, char **argv) -> int
{
    beginCase(argv[1]);
    platform store;
    registry registrations(store);
    std::vector<std::unique_ptr<http_listener>> listeners;
    std::vector<std::atomic<int>> counts(servers);
    for (int number = 0; number < servers; ++number) {
        listeners.push_back(
            std::make_unique<http_listener>([number, &counts](int descriptor, message &request) {
                return serveStream(number, descriptor, request,
                                   counts[static_cast<std::size_t>(number)]);
            }));
        registrations.add("i-llm-" + std::to_string(number), "llm", listeners.back()->port(), 128);
    }
    http_listener shop([](int descriptor, message &request) {
        pause(0.02);
        return sendAll(descriptor, answerText(200,
                                              "Attempt-Id: " + request.header("attempt-id")
                                                  + "\r\nServer-Seal: s.2\r\n",
                                              "in stock"));
    });
    registrations.add("i-shop", "shop", shop.port(), 32);
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-tag\",\"host\":\"a.example\","
              "\"path_prefix\":\"/tag/\",\"type\":\"streaming\",\"timeout_ms\":3000,"
              "\"latency_goal_ms\":1500,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,"
              "\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":500},"
              "{\"name\":\"r-stock\",\"host\":\"a.example\",\"path_prefix\":\"/stock/\","
              "\"type\":\"safe\",\"timeout_ms\":"
                  + std::to_string(timeoutMs)
                  + ",\"latency_goal_ms\":150,\"priority\":2,\"service\":\"shop\","
                    "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"llm\","
                    "\"health_path\":\"/healthz\",\"max_conns\":630,\"cold_period_s\":0,"
                    "\"cold_per_s\":0,\"engine\":{\"slots\":128,\"kv_capacity\":1002848}},"
                    "{\"name\":\"shop\",\"health_path\":\"/healthz\",\"max_conns\":110,"
                    "\"cold_period_s\":0,\"cold_per_s\":0}],"
                  + limitsText + "}");
    std::vector<edge> edges{makeEdge("edge-tuzla-1")};
    startEdge(edges[0], edges, store.port());
    awaitReady(edges);
    pause(4);

    tally calls;
    tally streams;
    std::vector<std::thread> clients;
    trafficStart = seconds();
    const auto used = processorSeconds(edges[0].pid);
    std::atomic<double> longestReady{0};
    std::atomic<bool> isOver{false};
    // The balancer's question, each second.
    std::thread balancer([&] {
        while (!isOver) {
            const auto asked = seconds();
            const bool answered = isReady(edges[0]);
            longestReady = std::max(longestReady.load(), seconds() - asked);
            if (!answered)
                note("balancer: no 200 for %.2f s", seconds() - asked);
            pause(1 - (seconds() - asked));
        }
    });
    bool isChosen = false;
    double nextCall = 0;
    double nextStream = 0;
    note("traffic begins: %.0f calls and %.0f streams a second", callsPerSecond, streamsPerSecond);
    for (double at = 0; at < trafficLength; at = seconds() - trafficStart) {
        if (at >= nextCall) {
            nextCall += 1 / callsPerSecond;
            clients.emplace_back([&] { ask(edges[0].front, "/stock/1", calls); });
        }
        if (at >= nextStream) {
            nextStream += 1 / streamsPerSecond;
            clients.emplace_back([&] { ask(edges[0].front, "/tag/1", streams); });
        }
        if (at >= troubleFrom - 0.2 && !std::exchange(isChosen, true)) {
            // Those with most work get into trouble.
            std::vector<int> order{0, 1, 2, 3};
            std::ranges::sort(order, std::ranges::greater(), [&](int number) {
                return counts[static_cast<std::size_t>(number)].load();
            });
            for (int index = 0; index < serversInTrouble; ++index)
                inTrouble[order[static_cast<std::size_t>(index)]] = true;
        }
        pause(std::min(nextCall, nextStream) - (seconds() - trafficStart));
    }
    for (auto &each : clients)
        each.join();
    isOver = true;
    balancer.join();
    note("longest wait of the balancer for an answer of readiness: %.2f s (1 s at most each)",
         longestReady.load());
    for (int number = 0; number < servers; ++number)
        note("server %d got %d requests", number, counts[static_cast<std::size_t>(number)].load());
    note("%d answers were spoilt; the edge used %.2f processor seconds", spoilt.load(),
         processorSeconds(edges[0].pid) - used);
    note("streams: %d sent, %d served, longest wait %.2f s", streams.sent, streams.served,
         streams.longest);
    note("calls of the other service, whose servers are sound: %d sent, %d served, longest wait "
         "%.2f s; %d unanswered at timeout_ms, of these %d half a second later",
         calls.sent, calls.served, calls.longest, calls.atTimeout, calls.longAfter);
    endCase(calls.atTimeout > 0 && 2 * calls.longAfter > calls.atTimeout);
}
