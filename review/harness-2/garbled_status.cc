// Case: a server in trouble sends bytes that are not a response, a status line with a digit lost,
// and the edge passes them on to its callers. See review/N/claim.txt.

#include "standin.hh"

using namespace review;

namespace {

constexpr int servers = 4;
// As a default `garble`: half of the servers spoil one in fifty of their answers. It lasts for 5 s.
constexpr int serversInTrouble = 2;
constexpr int spoiltOneIn = 50;
constexpr double troubleFrom = 2;
constexpr double troubleLength = 5;
constexpr double trafficLength = 10;
constexpr double callsPerSecond = 60;

double trafficStart = 0;
std::atomic<int> spoilt{0};
// The servers in trouble, and the requests of each.
std::atomic<bool> inTrouble[servers];
std::atomic<int> counts[servers];
std::atomic<int> answersInTrouble{0};

auto isInTrouble() -> bool
{
    const auto at = seconds() - trafficStart;
    return isTroubled() && trafficStart > 0 && at >= troubleFrom
           && at < troubleFrom + troubleLength;
}

auto serve(int number, int descriptor, message &request) -> bool
{
    if (request.header("expect-instance") != "i-shop-" + std::to_string(number))
        return sendAll(descriptor, answerText(421, "", ""));
    const auto id = request.header("attempt-id");
    ++counts[number];
    pause(0.02);
    auto text
        = answerText(200, "Attempt-Id: " + id + "\r\nServer-Seal: s." + id + "\r\n", "order " + id);
    if (inTrouble[number] && isInTrouble() && ++answersInTrouble % spoiltOneIn == 0) {
        ++spoilt;
        text.replace(0, text.find("\r\n"), "HTTP/1.1 20 OK");
        note("server %d loses a digit of its status line in the answer to %s", number, id.c_str());
    }
    return sendAll(descriptor, text);
}

struct tally
{
    std::mutex mutex;
    int sent = 0;
    int served = 0;
    int failed = 0;
    int noAnswer = 0;
};

// "HTTP/1.1 ", three digits of which the first is 1 to 5, and a space or the end.
auto isStatusLine(const std::string &line) -> bool
{
    return line.size() >= 12 && line.starts_with("HTTP/1.") && line[8] == ' ' && line[9] >= '1'
           && line[9] <= '5' && isdigit(static_cast<unsigned char>(line[10])) != 0
           && isdigit(static_cast<unsigned char>(line[11])) != 0
           && (line.size() == 12 || line[12] == ' ');
}

auto ask(int port, bool isOrder, tally &own) -> void
{
    const auto id = randomId();
    const int descriptor = connectTo(port);
    setTimeout(descriptor, 4);
    const std::string more = "Host: a.example\r\nAttempt-Id: " + id
                             + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + clientKey
                             + "\r\n";
    sendAll(descriptor, isOrder
                            ? "POST /order/1 HTTP/1.1\r\n" + more + "Content-Length: 4\r\n\r\ntext"
                            : "GET /stock/1 HTTP/1.1\r\n" + more + "\r\n");
    reader input(descriptor);
    message answer;
    const bool isAnswered = input.readHead(answer) && input.readBody(answer);
    close(descriptor);
    const std::scoped_lock lock(own.mutex);
    ++own.sent;
    if (!isAnswered || !isStatusLine(answer.first)) {
        ++own.noAnswer;
        note("client: %s %s got bytes that are no answer: \"%s\"", isOrder ? "order" : "read",
             id.c_str(), answer.first.c_str());
    } else if (answer.status() == 200) {
        ++own.served;
    } else {
        ++own.failed;
        note("client: %s %s got \"%s\"", isOrder ? "order" : "read", id.c_str(),
             answer.first.c_str());
    }
}

} // namespace

auto main(int, char **argv) -> int
{
    beginCase(argv[1]);
    platform store;
    registry registrations(store);
    std::vector<std::unique_ptr<http_listener>> listeners;
    for (int number = 0; number < servers; ++number) {
        listeners.push_back(
            std::make_unique<http_listener>([number](int descriptor, message &request) {
                return serve(number, descriptor, request);
            }));
        registrations.add("i-shop-" + std::to_string(number), "shop", listeners.back()->port(), 6);
    }
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"a.example\","
              "\"path_prefix\":\"/order/\",\"type\":\"unsafe\",\"timeout_ms\":2000,"
              "\"latency_goal_ms\":300,\"priority\":2,\"service\":\"shop\",\"max_attempts\":1,"
              "\"public\":false},{\"name\":\"r-stock\",\"host\":\"a.example\","
              "\"path_prefix\":\"/stock/\",\"type\":\"safe\",\"timeout_ms\":2000,"
              "\"latency_goal_ms\":300,\"priority\":2,\"service\":\"shop\",\"max_attempts\":2,"
              "\"public\":false}],\"services\":[{\"name\":\"shop\",\"health_path\":\"/healthz\","
              "\"max_conns\":110,\"cold_period_s\":0,\"cold_per_s\":0}],"
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
            std::ranges::sort(order, std::ranges::greater(),
                              [](int number) { return counts[number].load(); });
            for (int index = 0; index < servers; ++index)
                inTrouble[order[static_cast<std::size_t>(index)]] = index < serversInTrouble;
        }
        next += 1 / callsPerSecond;
        const auto port = edges[turn % edges.size()].front;
        clients.emplace_back([&, port, turn] { ask(port, turn / 2 % 2 == 0, own); });
    }
    for (auto &each : clients)
        each.join();
    note(
        "%d answers were spoilt; requests: %d sent, %d served, %d failed, %d got bytes that are no "
        "answer in the protocol",
        spoilt.load(), own.sent, own.served, own.failed, own.noAnswer);
    endCase(own.noAnswer > 0);
}
