// Case 5: a failure that a server broke off reaches the client as a whole answer.
//
// Servers fail part of their requests, and a few of these answers are broken off after a part of
// the body. Requests that may be repeated are sent to another server while the retry budget lasts.
// After that, the edge passes on what it has of the failure, with the server's seal and a length
// that fits the part, so that it looks complete.

#include "../harness/harness.hh"

#include <random>

using namespace review;

namespace {

constexpr int servers = 4;
constexpr int perSecond = 99;
constexpr int clients = 33;
// Failures come in spans of this length, with a pause between.
constexpr int faultMs = 6500;
constexpr int pauseMs = 1000;
constexpr int spans = 8;
// Share of the requests that all servers fail, and of the answers that some servers break off.
constexpr double failedShare = 0.45;
constexpr double brokenShare = 0.05;
constexpr int breakingServers = 2;
constexpr int workMs = 20;

auto routeOf(const std::string &name, const std::string &rest) -> std::string
{
    return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"/" + name
           + "/\",\"type\":\"streaming\",\"service\":\"hardal-llm\",\"public\":false,"
             "\"sticky\":true,"
           + rest + "}";
}

const std::string routes
    = routeOf("digest", R"("timeout_ms":15000,"latency_goal_ms":1200,"gap_target_ms":800,)"
                        R"("priority":2,"max_attempts":2,"resumable":true)")
      + ","
      + routeOf("chat", R"("timeout_ms":12000,"latency_goal_ms":500,"gap_target_ms":200,)"
                        R"("priority":0,"max_attempts":1,"resumable":false)")
      + ","
      + routeOf("tag", R"("timeout_ms":3000,"latency_goal_ms":1000,"gap_target_ms":300,)"
                       R"("priority":1,"max_attempts":2,"resumable":true)");

const std::string services
    = R"({"name":"hardal-llm","health_path":"/healthz","max_conns":630,"cold_period_s":3.0,)"
      R"("cold_per_s":24.0,"engine":{"slots":128,"kv_capacity":1002848}})";

const std::string failureBody(300, 'f');

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto folder = caseFolder(argc, argv);
    recorder record(folder);
    store log(record);
    duty_service duties(record);
    log.put("keyed.op", "config", desiredState(1, routes, services, "\"key-one\""));

    std::mutex mutex;
    std::mt19937 random(1);
    const auto draw = [&] {
        const std::lock_guard lock(mutex);
        return std::uniform_real_distribution<>()(random);
    };
    std::atomic<bool> isFailing{false};
    std::atomic<int> failures{0};
    std::atomic<int> brokenOff{0};
    // Attempts of which some server broke off a failure, and the length that it sent.
    std::set<std::string> cut;

    const auto serve = [&](server &self, connection &peer, const message &request) {
        const auto id = request.header("Attempt-Id");
        sleepMs(workMs);
        if (isFailing && draw() < failedShare) {
            ++failures;
            const bool isBreaking = self.id().back() - '0' < breakingServers;
            const auto bytes = wholeAnswer(500, request, true, failureBody);
            if (!isBreaking || !isTroubled() || draw() >= brokenShare)
                return peer.send(bytes);
            ++brokenOff;
            record.line("server %s: breaks off its 500 to %s, 200 bytes early", self.id().c_str(),
                        id.c_str());
            {
                const std::lock_guard lock(mutex);
                cut.insert(id);
            }
            peer.send(bytes.substr(0, bytes.size() - 200));
            peer.reset();
            return false;
        }
        std::string text
            = answerHead(200, request, true)
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (auto number = 1; number <= 4; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: word\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            text += size + event + "\r\n";
        }
        return peer.send(text + "0\r\n\r\n");
    };
    std::vector<std::unique_ptr<server>> engines;
    for (auto number = 0; number < servers; ++number)
        engines.push_back(std::make_unique<server>(
            log,
            server::options{
                .id = "i-model-" + std::to_string(number), .service = "hardal-llm", .slots = 128},
            serve));

    std::map<int, int> statuses;
    int broken = 0;
    {
        edge entry(log, duties, "edge-tuzla-1", "tuzla");
        entry.start();
        entry.awaitReady();
        sleepMs(4000);
        std::atomic<bool> isOver{false};
        std::atomic<int> count{0};
        std::vector<std::thread> workers;
        for (auto worker = 0; worker < clients; ++worker) {
            workers.emplace_back([&, worker] {
                auto next = nowMs() + worker * 1000 / perSecond;
                while (!isOver) {
                    sleepMs(next - nowMs());
                    next += clients * 1000 / perSecond;
                    const auto number = count++;
                    const auto turn = number % 99;
                    const std::string route = turn < 24 ? "digest" : turn < 60 ? "chat" : "tag";
                    const auto id = "attempt" + std::to_string(number);
                    const auto answer = ask(entry.port(), {.path = "/" + route + "/1",
                                                           .id = id,
                                                           .deadlineMs = 3000,
                                                           .headers = "Token-Usage: 400,24\r\n",
                                                           .body = "question"});
                    const std::lock_guard lock(mutex);
                    ++statuses[answer.isComplete ? answer.status : 0];
                    if (!answer.isComplete || answer.status != 500
                        || answer.header("Server-Seal").empty() || answer.body == failureBody)
                        continue;
                    ++broken;
                    record.line(
                        "MIXED: %s (%s) got 500 with the seal and %zu of %zu bytes, complete "
                        "by its length",
                        id.c_str(), route.c_str(), answer.body.size(), failureBody.size());
                }
            });
        }
        sleepMs(2000);
        for (auto span = 0; span < spans; ++span) {
            record.line("servers: fail part of their requests from now on");
            isFailing = true;
            sleepMs(faultMs);
            isFailing = false;
            record.line("servers: sound again");
            sleepMs(pauseMs);
        }
        isOver = true;
        for (auto &worker : workers)
            worker.join();
    }
    for (const auto &[status, number] : statuses)
        record.line("answers with %d: %d", status, number);
    record.line("servers: %d failures, %d of them broken off", failures.load(), brokenOff.load());
    record.line("MIXED broken by %d answers", broken);
    if (statuses[200] == 0)
        giveUp("nothing was served");
    std::fflush(nullptr);
    std::_Exit(broken > 0 ? ruleBroken : ruleHeld);
}
