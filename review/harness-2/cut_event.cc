// Case: streams of a server in trouble end inside an event, and the edge passes them on as
// complete. See review/N/claim.txt.

#include "standin.hh"

using namespace review;

namespace {

constexpr int servers = 4;
constexpr int events = 8;
// As a default `garble`: half of the servers break off one in fifty of their answers. It lasts 5 s.
constexpr int serversInTrouble = 2;
constexpr int brokenOneIn = 50;
constexpr double troubleFrom = 2;
constexpr double troubleLength = 5;
constexpr double trafficLength = 10;
constexpr double streamsPerSecond = 60;

double trafficStart = 0;
std::atomic<int> broken{0};
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

auto eventText(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
}

// A model server: events 1 to `events`, or from Last-Event-Id on.
auto serve(int number, std::atomic<int> &count, int descriptor, message &request) -> bool
{
    if (request.header("expect-instance") != "i-llm-" + std::to_string(number))
        return sendAll(descriptor, answerText(421, "", ""));
    ++count;
    const auto id = request.header("attempt-id");
    const bool isBroken
        = inTrouble[number] && isInTrouble() && ++answersInTrouble % brokenOneIn == 0;
    if (!sendAll(descriptor, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s." + id
                                 + "\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int event = atoi(request.header("last-event-id").c_str()) + 1; event <= events; ++event) {
        pause(0.02);
        auto text = eventText(event);
        if (isBroken && event == events / 2) {
            ++broken;
            text.resize(text.size() / 2);
            note("server %d ends its stream to %s inside event %d", number, id.c_str(), event);
            return sendAll(descriptor, chunk(text) + "0\r\n\r\n");
        }
        if (!sendAll(descriptor, chunk(text)))
            return false;
    }
    return sendAll(descriptor, "0\r\n\r\n");
}

struct tally
{
    std::mutex mutex;
    int sent = 0;
    int whole = 0;
    int brokenOff = 0;
    int failed = 0;
    // Ended as complete, without the last pieces.
    int wrong = 0;
};

auto ask(int port, bool isResumable, tally &own) -> void
{
    const auto id = randomId();
    const int descriptor = connectTo(port);
    setTimeout(descriptor, 5);
    sendAll(descriptor, std::string("GET /") + (isResumable ? "digest" : "chat")
                            + "/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                            + "\r\nModel: m\r\nToken-Usage: 100,60\r\nPrefix-Hash: 5c1e07"
                            + std::to_string(10 + id.back() % 16) + ":80," + id
                            + ":20\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer " + clientKey
                            + "\r\n\r\n");
    reader input(descriptor);
    message answer;
    const bool isWhole = input.readHead(answer) && input.readBody(answer);
    close(descriptor);
    std::string expected;
    for (int event = 1; event <= events; ++event)
        expected += eventText(event);
    const std::scoped_lock lock(own.mutex);
    ++own.sent;
    if (answer.status() != 200) {
        ++own.failed;
    } else if (!isWhole) {
        ++own.brokenOff;
        note("client: the stream %s (%s) was broken off", id.c_str(),
             isResumable ? "may be resumed" : "may not be resumed");
    } else if (answer.body == expected) {
        ++own.whole;
    } else {
        ++own.wrong;
        const auto last = answer.body.substr(answer.body.rfind("id:"));
        note("client: the stream %s (%s) ended as complete with \"%s\" for the event", id.c_str(),
             isResumable ? "may be resumed" : "may not be resumed",
             last.substr(0, last.find('\n')).c_str());
    }
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
                return serve(number, counts[static_cast<std::size_t>(number)], descriptor, request);
            }));
        registrations.add("i-llm-" + std::to_string(number), "llm", listeners.back()->port(), 128);
    }
    const std::string common = "\"host\":\"a.example\",\"type\":\"streaming\",\"timeout_ms\":5000,"
                               "\"latency_goal_ms\":1000,\"priority\":1,\"service\":\"llm\","
                               "\"public\":false,\"sticky\":true,\"gap_target_ms\":300,";
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-digest\",\"path_prefix\":\"/digest/\","
                  + common
                  + "\"max_attempts\":2,\"resumable\":true},{\"name\":\"r-chat\","
                    "\"path_prefix\":\"/chat/\","
                  + common
                  + "\"max_attempts\":1,\"resumable\":false}],\"services\":[{\"name\":\"llm\","
                    "\"health_path\":\"/healthz\",\"max_conns\":630,\"cold_period_s\":0,"
                    "\"cold_per_s\":0,\"engine\":{\"slots\":128,\"kv_capacity\":1002848}}],"
                  + limitsText + "}");
    std::vector<edge> edges{makeEdge("edge-tuzla-1"), makeEdge("edge-tuzla-2")};
    for (auto &each : edges)
        startEdge(each, edges, store.port());
    awaitReady(edges);
    pause(4);

    tally own;
    std::vector<std::thread> clients;
    trafficStart = seconds();
    double next = 0;
    for (unsigned turn = 0; next < trafficLength; ++turn) {
        pause(next - (seconds() - trafficStart));
        if (next < troubleFrom) {
            // Those with most work get into trouble.
            std::vector<int> order{0, 1, 2, 3};
            std::ranges::sort(order, std::ranges::greater(), [&](int number) {
                return counts[static_cast<std::size_t>(number)].load();
            });
            for (int index = 0; index < servers; ++index)
                inTrouble[order[static_cast<std::size_t>(index)]] = index < serversInTrouble;
        }
        next += 1 / streamsPerSecond;
        const auto port = edges[turn % edges.size()].front;
        clients.emplace_back([&, port, turn] { ask(port, turn / 2 % 2 == 0, own); });
    }
    for (auto &each : clients)
        each.join();
    note("%d answers ended inside an event; streams: %d sent, %d whole, %d broken off, %d failed, "
         "%d ended as complete before their last event",
         broken.load(), own.sent, own.whole, own.brokenOff, own.failed, own.wrong);
    endCase(own.wrong > 0);
}
