// Case 3: streams at a sound server are cut in their middle because the server paused.
//
// A model server makes a pause of 1.2 s between two events of all streams that it runs, and goes
// on. The edge takes a pause of over three times the route's `gap_target_ms` for a stall and closes
// its connections to the server before it knows that it may send the requests elsewhere. Where a
// retry budget then says no, it closes the clients' connections, too. The settings file was read
// again (SIGHUP) just before, which is planned work.

#include "../harness/harness.hh"

#include <csignal>

using namespace review;

namespace {

constexpr int streams = 60;
constexpr int rounds = 4;
constexpr int events = 8;
constexpr int eventPauseMs = 100;
constexpr int longPauseMs = 1200;
// The event after which the server pauses.
constexpr int pauseAfter = 3;
constexpr int deadlineMs = 3000;
// Four times the objective of 1 s is the longest of the gaps after which a client leaves.
constexpr int patienceMs = 4000;
constexpr int configApplyMs = 2000;

const std::string routes
    = R"({"name":"stock-tag","host":"shop.example","path_prefix":"/tag/","type":"streaming",)"
      R"("timeout_ms":3000,"latency_goal_ms":1000,"gap_target_ms":300,"priority":1,)"
      R"("service":"hardal-llm","max_attempts":2,"public":false,"sticky":true,"resumable":true})";
const std::string services
    = R"({"name":"hardal-llm","health_path":"/healthz","max_conns":630,"cold_period_s":3.0,)"
      R"("cold_per_s":24.0,"engine":{"slots":128,"kv_capacity":1002848}})";

// A request for a stream of so many events.
auto streamRequest(const std::string &id, int number, int length) -> attempt
{
    return {.path = "/tag/1",
            .id = id,
            .deadlineMs = deadlineMs,
            .patienceMs = patienceMs,
            .headers = "Model: m\r\nToken-Usage: 600,48\r\nPrefix-Hash: a" + std::to_string(number)
                       + ":100,b" + std::to_string(number) + ":500\r\n",
            .body = std::to_string(length)};
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto folder = caseFolder(argc, argv);
    recorder record(folder);
    store log(record);
    duty_service duties(record);
    log.put("keyed.op", "config", desiredState(1, routes, services, "\"key-one\""));

    std::mutex mutex;
    std::map<std::string, int> runs;
    // Until when the pausing server makes no events.
    std::atomic<std::int64_t> pausedUntil{0};
    const auto serve = [&](server &self, connection &peer, const message &request) {
        const auto id = request.header("Attempt-Id");
        {
            const std::lock_guard lock(mutex);
            ++runs[id];
        }
        const auto last = request.header("Last-Event-Id");
        const auto length = std::atoi(request.body.c_str());
        const auto first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        record.line("%s: runs %s from event %d", self.id().c_str(), id.c_str(), first);
        if (!peer.send(answerHead(200, request, true)
                       + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (auto number = first; number <= length; ++number) {
            sleepMs(eventPauseMs);
            if (self.id() == "i-model-1")
                sleepMs(pausedUntil - nowMs());
            if (peer.isClosedByPeer()) {
                record.line("%s: %s was closed by the edge before event %d", self.id().c_str(),
                            id.c_str(), number);
                return false;
            }
            const auto event = "id: " + std::to_string(number) + "\ndata: word\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!peer.send(size + event + "\r\n"))
                return false;
        }
        return peer.send("0\r\n\r\n");
    };
    server first(log, {.id = "i-model-1", .service = "hardal-llm", .slots = 128}, serve);
    server second(log, {.id = "i-model-2", .service = "hardal-llm", .slots = 128}, serve);

    int lost = 0;
    int complete = 0;
    {
        edge entry(log, duties, "edge-tuzla-1", "tuzla");
        entry.start();
        entry.awaitReady();
        sleepMs(4000);
        for (auto round = 0; round < rounds; ++round) {
            // The clients' connections have carried a request before.
            std::vector<std::shared_ptr<connection>> kept;
            for (auto number = 0; number < streams; ++number) {
                kept.push_back(connection::to(entry.port()));
                const auto id = "r" + std::to_string(round) + "k" + std::to_string(number);
                if (!kept.back() || !ask(*kept.back(), streamRequest(id, number, 0)).isComplete)
                    giveUp("a short request was not served");
            }
            record.line("operator: SIGHUP to the edge");
            const auto signalledAt = nowMs();
            entry.signal(SIGHUP);
            sleepMs(100);
            std::vector<attempt_result> results(streams);
            std::vector<std::thread> clients;
            for (auto number = 0; number < streams; ++number) {
                clients.emplace_back([&, number] {
                    const auto id = "r" + std::to_string(round) + "s" + std::to_string(number);
                    results[static_cast<std::size_t>(number)] = ask(
                        *kept[static_cast<std::size_t>(number)], streamRequest(id, number, events));
                });
                sleepMs(3);
            }
            sleepMs(pauseAfter * eventPauseMs);
            if (isTroubled()) {
                record.line("i-model-1: pauses for %d ms", longPauseMs);
                pausedUntil = nowMs() + longPauseMs;
            }
            for (auto &each : clients)
                each.join();
            for (auto number = 0; number < streams; ++number) {
                const auto &result = results[static_cast<std::size_t>(number)];
                const auto id = "r" + std::to_string(round) + "s" + std::to_string(number);
                const std::lock_guard lock(mutex);
                complete += result.isComplete && result.status == 200 ? 1 : 0;
                const auto *how = result.isComplete ? "complete"
                                  : result.isClosed ? "closed"
                                                    : "left";
                record.line("client: %s, sent at %.3f, ended at %.3f: status %d, %s, %d runs",
                            id.c_str(), static_cast<double>(result.sentAtMs) / 1000,
                            static_cast<double>(result.endedAtMs) / 1000, result.status, how,
                            runs[id]);
                const bool isPlanned = result.sentAtMs - signalledAt <= configApplyMs;
                if (!result.isClosed || runs[id] == 0 || !isPlanned)
                    continue;
                ++lost;
                record.line("LOST: %s was passed on to a sound server, and its connection ended "
                            "after %lld ms without a complete answer",
                            id.c_str(), static_cast<long long>(result.endedAtMs - result.sentAtMs));
            }
            sleepMs(4000);
        }
    }
    record.line("%d complete streams; LOST broken by %d", complete, lost);
    if (complete == 0)
        giveUp("nothing was served");
    std::fflush(nullptr);
    std::_Exit(lost > 0 ? ruleBroken : ruleHeld);
}
