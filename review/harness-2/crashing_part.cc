// Case: a part of a prompt crashes each server that begins to write an answer on it, and the
// servers' answers have no length. See review/N/claim.txt.
//
//   crashing_part RECORD               the case
//   crashing_part --server PORT ID     one model server, a process of its own
//
// With FRAMED=1 the servers' answers come in chunks: a comparison that is no part of the verdict's
// definition.

#include "standin.hh"

using namespace review;

namespace {

const std::string badPart = "bad0c0de";
const std::string commonPart = "5c1e07a2";
constexpr int serverCount = 6;
constexpr int events = 10;
constexpr double contact = 3;
constexpr double restartAfter = 2;
constexpr double badPerSecond = 1;
constexpr double soundPerSecond = 15;
constexpr double badFrom = 4;
constexpr double trafficLength = 40;

auto isFramed() -> bool
{
    const char *value = getenv("FRAMED");
    return value != nullptr && std::string(value) == "1";
}

auto eventText(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: 0123456789\n\n";
}

auto chunk(const std::string &text) -> std::string
{
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", text.size());
    return isFramed() ? size + text + "\r\n" : text;
}

// Serves until a request with the bad part comes: it crashes when it begins to write that answer.
auto runServer(int port, const std::string &id) -> int
{
    signal(SIGPIPE, SIG_IGN);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    http_listener listener(
        [&](int descriptor, message &request) {
            if (request.header("expect-instance") != id)
                return sendAll(descriptor, answerText(421, "", ""));
            const auto attempt = request.header("attempt-id");
            const bool isBad = request.header("prefix-hash").find(badPart) != std::string::npos;
            printf("%lld %s %s\n", unixMs(), isBad ? "bad" : "sound", attempt.c_str());
            fflush(stdout);
            pause(0.03);
            std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt
                               + "\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n";
            head += isFramed() ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n";
            if (isBad) {
                // The first event, as far as it came.
                const auto text = eventText(1);
                sendAll(descriptor, head + chunk(text.substr(0, text.size() / 2)));
                _exit(1);
            }
            if (!sendAll(descriptor, head))
                return false;
            for (int number = 1; number <= events; ++number) {
                pause(0.05);
                if (!sendAll(descriptor, chunk(eventText(number))))
                    return false;
            }
            if (isFramed())
                return sendAll(descriptor, "0\r\n\r\n");
            return false;
        },
        port);
    for (;;)
        pause(1);
}

// Lines that a server wrote: when each request reached it.
struct arrival
{
    long long at = 0;
    bool isBad = false;
};

auto arrivalsIn(const std::string &file) -> std::vector<arrival>
{
    std::vector<arrival> found;
    FILE *lines = fopen(file.c_str(), "r");
    if (lines == nullptr)
        return found;
    long long at = 0;
    char kind[16];
    char id[64];
    while (fscanf(lines, "%lld %15s %63s", &at, kind, id) == 3)
        found.push_back({.at = at, .isBad = std::string(kind) == "bad"});
    fclose(lines);
    return found;
}

struct tally
{
    std::mutex mutex;
    int sent = 0;
    int whole = 0;
    int cut = 0;
    int refused = 0;
};

auto ask(int port, bool isBad, tally &own) -> void
{
    const auto id = randomId();
    const int descriptor = connectTo(port);
    setTimeout(descriptor, 6);
    sendAll(descriptor, "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                            + "\r\nModel: m\r\nToken-Usage: 100,60\r\nPrefix-Hash: " + commonPart
                            + ":80," + (isBad ? badPart + ":30," : "") + id
                            + ":20\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer " + clientKey
                            + "\r\nContent-Length: 4\r\n\r\ntext");
    reader input(descriptor);
    message answer;
    const bool isAnswered = input.readHead(answer);
    const bool isWhole = isAnswered && input.readBody(answer);
    close(descriptor);
    int seen = 0;
    for (auto at = answer.body.find("\n\n"); at != std::string::npos;
         at = answer.body.find("\n\n", at + 2))
        ++seen;
    const std::scoped_lock lock(own.mutex);
    ++own.sent;
    if (answer.status() == 200 && isWhole && seen == events)
        ++own.whole;
    else if (answer.status() == 200)
        ++own.cut;
    else
        ++own.refused;
    note("%s request %s: %d, %d events, %s", isBad ? "bad" : "sound", id.c_str(), answer.status(),
         seen,
         isWhole      ? "ended"
         : isAnswered ? "cut"
                      : "no answer");
}

} // namespace

auto main(int count, char **argv) -> int
{
    if (count == 4 && std::string(argv[1]) == "--server")
        return runServer(atoi(argv[2]), argv[3]);
    beginCase(argv[1]);
    platform store;
    registry registrations(store);
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"a.example\","
              "\"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":5000,"
              "\"latency_goal_ms\":500,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
              "\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":200}],"
              "\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":630,"
              "\"cold_period_s\":0,\"cold_per_s\":0,\"engine\":{\"slots\":128,"
              "\"kv_capacity\":1002848}}],"
                  + limitsText + "}");
    // Keeps the servers running: one that has crashed is back after some seconds, as a new one.
    std::mutex mutex;
    std::vector<long long> crashes;
    std::vector<std::string> logs;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> keepers;
    char self[512];
    const auto length = readlink("/proc/self/exe", self, sizeof self - 1);
    self[std::max<ssize_t>(length, 0)] = 0;
    for (int number = 0; number < serverCount; ++number) {
        keepers.emplace_back([&, number] {
            const int port = freePort();
            for (int start = 1; !isOver; ++start) {
                const auto id = "i-llm-" + std::to_string(number) + "-" + std::to_string(start);
                const auto log = workFolder + "/" + id + ".log";
                pid_t pid = 0;
                {
                    const std::scoped_lock lock(mutex);
                    logs.push_back(log);
                    std::vector<std::string> environment;
                    if (isFramed())
                        environment.emplace_back("FRAMED=1");
                    pid = startProcess({self, "--server", std::to_string(port), id}, environment,
                                       log);
                }
                pause(0.1);
                registrations.add(id, "llm", port, 128);
                int status = 0;
                while (!isOver && waitpid(pid, &status, WNOHANG) == 0)
                    pause(0.01);
                if (isOver)
                    return;
                {
                    const std::scoped_lock lock(mutex);
                    std::erase(startedProcesses, pid);
                    crashes.push_back(unixMs());
                    note("server %s has crashed: number %zu", id.c_str(), crashes.size());
                }
                registrations.silence(id);
                // Its entry lapses after three intervals of its reports.
                std::thread([&registrations, id] {
                    pause(3.6);
                    registrations.remove(id);
                }).detach();
                pause(restartAfter);
            }
        });
    }
    pause(0.5);
    std::vector<edge> edges{makeEdge("edge-tuzla-1"), makeEdge("edge-tuzla-2")};
    for (auto &each : edges) {
        const std::scoped_lock lock(mutex);
        startEdge(each, edges, store.port());
    }
    awaitReady(edges);
    pause(4);

    tally sound;
    tally bad;
    std::vector<std::thread> clients;
    const auto start = seconds();
    double nextSound = 0;
    double nextBad = badFrom;
    unsigned turn = 0;
    for (double at = 0; at < trafficLength; at = seconds() - start) {
        const auto port = edges[turn++ % edges.size()].front;
        if (at >= nextSound) {
            nextSound += 1 / soundPerSecond;
            clients.emplace_back([&, port] { ask(port, false, sound); });
        }
        if (isTroubled() && at >= nextBad) {
            nextBad += 1 / badPerSecond;
            clients.emplace_back([&, port] { ask(port, true, bad); });
        }
        pause(std::min(nextSound, isTroubled() ? nextBad : nextSound) - (seconds() - start));
    }
    for (auto &each : clients)
        each.join();
    isOver = true;
    for (auto &each : keepers)
        each.join();
    long late = 0;
    if (crashes.size() >= 5) {
        const auto from = crashes[4] + static_cast<long long>(contact * 1000);
        for (const auto &log : logs) {
            const auto arrivals = arrivalsIn(log);
            late += std::ranges::count_if(
                arrivals, [from](const arrival &each) { return each.isBad && each.at > from; });
        }
    }
    note("servers crashed %zu times; %ld requests with the bad part reached servers later than "
         "contact_ms after the fifth crash (three are allowed)",
         crashes.size(), late);
    note("requests with the bad part: %d sent, %d refused", bad.sent, bad.refused);
    note("sound streams: %d sent, %d whole, %d cut off, %d refused or failed", sound.sent,
         sound.whole, sound.cut, sound.refused);
    endCase(late > 3);
}
