// Case 2: a planned stop ends the connections of requests that wait in the edge, without an answer.
//
// All slots of the only model server are taken by streams that go on for longer than the grace
// period. Within the time after SIGTERM in which the edge still accepts requests, it reads one
// more, which waits for a slot. The edge exits before the end of the grace period and closes that
// connection without an answer, though its client still waits.

#include "../harness/harness.hh"

#include <csignal>

using namespace review;

namespace {

constexpr int slots = 12;
// A long stream has 24 events, one each 400 ms.
constexpr int longEvents = 24;
constexpr int eventPauseMs = 400;
constexpr int deadlineMs = 15000;
// A client leaves a stream after a gap of 2 s, four times the objective (1.2 s) or eight times the
// pause (0.8 s), whichever is longest.
constexpr int patienceMs = 6400;
constexpr int graceMs = 8000;
constexpr int lossSlackMs = 200;
// When the waiting request is sent, after SIGTERM, on a connection that was open before.
constexpr int sentAfterMs = 1500;

const std::string route
    = R"({"name":"digest","host":"shop.example","path_prefix":"/digest/","type":"streaming",)"
      R"("timeout_ms":15000,"latency_goal_ms":1200,"gap_target_ms":800,"priority":2,)"
      R"("service":"hardal-llm","max_attempts":2,"public":false,"sticky":true,"resumable":true})";

const std::string services
    = R"({"name":"hardal-llm","health_path":"/healthz","max_conns":630,"cold_period_s":3.0,)"
      R"("cold_per_s":24.0,"engine":{"slots":12,"kv_capacity":1002848}})";

struct pending_attempt
{
    std::string id;
    attempt_result result;
    std::thread thread;
};

// Sends a stream of events; the number of them is in the request's body.
auto serveStream(recorder &record, connection &peer, const message &request) -> bool
{
    const auto id = request.header("Attempt-Id");
    record.line("server: runs %s", id.c_str());
    if (!peer.send(answerHead(200, request, true)
                   + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    const auto events = std::atoi(request.body.c_str());
    for (auto number = 1; number <= events; ++number) {
        if (number > 1)
            sleepMs(eventPauseMs);
        const auto event = "id: " + std::to_string(number) + "\ndata: word\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!peer.send(size + event + "\r\n")) {
            record.line("server: %s was broken off", id.c_str());
            return false;
        }
    }
    record.line("server: ends %s", id.c_str());
    return peer.send("0\r\n\r\n");
}

auto streamRequest(const std::string &id, int events) -> attempt
{
    return {.path = "/digest/1",
            .id = id,
            .deadlineMs = deadlineMs,
            .patienceMs = patienceMs,
            .headers = "Model: m\r\nToken-Usage: 1200,400\r\n",
            .body = std::to_string(events)};
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto folder = caseFolder(argc, argv);
    recorder record(folder);
    store log(record);
    duty_service duties(record);
    log.put("keyed.op", "config", desiredState(1, route, services, "\"key-one\""));
    std::mutex mutex;
    std::set<std::string> sent;

    server engine(log, {.id = "i-model-1", .service = "hardal-llm", .slots = slots},
                  [&](server &, connection &peer, const message &request) {
                      {
                          const std::lock_guard lock(mutex);
                          sent.insert(request.header("Attempt-Id"));
                      }
                      return serveStream(record, peer, request);
                  });

    std::vector<std::unique_ptr<pending_attempt>> attempts;
    {
        edge entry(log, duties, "edge-tuzla-1", "tuzla");
        entry.start();
        entry.awaitReady();
        sleepMs(4000);
        const auto kept = connection::to(entry.port());
        if (!kept || !ask(*kept, streamRequest("first", 2)).isComplete)
            giveUp("a short stream was not served");
        for (auto number = 0; number < slots; ++number) {
            attempts.push_back(std::make_unique<pending_attempt>());
            auto &item = *attempts.back();
            item.id = "long" + std::to_string(number);
            record.line("client: sends %s", item.id.c_str());
            item.thread = std::thread([&item, port = entry.port()] {
                item.result = ask(port, streamRequest(item.id, longEvents));
            });
            sleepMs(30);
        }
        sleepMs(1000);
        const auto stoppedAt = nowMs();
        if (isTroubled()) {
            record.line("platform: SIGTERM to the edge");
            entry.signal(SIGTERM);
        }
        sleepMs(sentAfterMs);
        attempts.push_back(std::make_unique<pending_attempt>());
        auto &late = *attempts.back();
        late.id = "waiting";
        record.line("client: sends waiting, on a connection that it has kept");
        late.thread = std::thread([&] { late.result = ask(*kept, streamRequest(late.id, 2)); });
        if (isTroubled()) {
            const auto endedAt = entry.awaitEnd(stoppedAt + graceMs);
            if (endedAt < 0)
                entry.signal(SIGKILL);
            else
                record.line("platform: the edge's process has ended %lld ms after SIGTERM",
                            static_cast<long long>(endedAt - stoppedAt));
        }
        for (auto &item : attempts)
            item->thread.join();
    }
    int lost = 0;
    int answered = 0;
    for (const auto &item : attempts) {
        const auto &result = item->result;
        const auto *how = result.isComplete    ? "complete"
                          : result.isClosed    ? "closed"
                          : result.isAbandoned ? "the client left"
                                               : "time out";
        record.line("client: %s, sent at %.3f, ended at %.3f: status %d, %s, %s a server",
                    item->id.c_str(), static_cast<double>(result.sentAtMs) / 1000,
                    static_cast<double>(result.endedAtMs) / 1000, result.status, how,
                    sent.contains(item->id) ? "sent to" : "never sent to");
        answered += result.isComplete ? 1 : 0;
        // Those that a server works on in the last sixth of the grace period are excused.
        const auto waited = result.endedAtMs - result.sentAtMs;
        if (!result.isClosed || sent.contains(item->id) || waited <= lossSlackMs)
            continue;
        ++lost;
        record.line("LOST: %s was read, waited %lld ms, and its connection ended unanswered",
                    item->id.c_str(), static_cast<long long>(waited));
    }
    record.line("%d attempts with a complete answer; LOST broken by %d", answered, lost);
    std::fflush(nullptr);
    std::_Exit(lost > 0 ? ruleBroken : ruleHeld);
}
