// Case 5: a withdrawn key still works at a machine in touch, after open connections fell silent.
//
// The edge waits for the operator's records in a read that may take 2 s. Its connections to the
// store go silent for good, without a reset, while new ones work. The edge notices that only 3.5 s
// after it sent the read, and tries again 0.4 s later. A desired state that takes a key away and
// is acknowledged meanwhile is in force only then.

#include "../harness/harness.hh"

using namespace review;

namespace {

constexpr int contactMs = 3000;
constexpr int configApplyMs = 2000;
constexpr int probePauseMs = 50;
constexpr int probesMs = 8000;
constexpr int rounds = 3;

const std::string routes
    = R"({"name":"stock-read","host":"shop.example","path_prefix":"/stock/","type":"safe",)"
      R"("timeout_ms":2000,"latency_goal_ms":300,"priority":2,"service":"siparis-app",)"
      R"("max_attempts":2,"public":false})";
const std::string services
    = R"({"name":"siparis-app","health_path":"/healthz","max_conns":110,"cold_period_s":0.0,)"
      R"("cold_per_s":0.0})";

auto keyOf(int round) -> std::string
{
    return "key-" + std::to_string(round);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto folder = caseFolder(argc, argv);
    recorder record(folder);
    store log(record);
    duty_service duties(record);
    // Each round takes one key away.
    const auto publish = [&](int round) {
        std::string keys;
        for (auto number = round; number <= rounds; ++number)
            keys += (keys.empty() ? "\"" : ",\"") + keyOf(number) + "\"";
        log.put("keyed.op", "config", desiredState(round + 1, routes, services, keys));
    };
    publish(0);

    std::mutex mutex;
    std::set<std::string> ran;
    const auto serve = [&](server &, connection &peer, const message &request) {
        {
            const std::lock_guard lock(mutex);
            ran.insert(request.header("Attempt-Id"));
        }
        sleepMs(5);
        return peer.send(wholeAnswer(200, request, true, "12 boxes"));
    };
    server first(log, {.id = "i-stock-1", .service = "siparis-app"}, serve);
    server second(log, {.id = "i-stock-2", .service = "siparis-app"}, serve);

    int broken = 0;
    {
        edge entry(log, duties, "edge-tuzla-1", "tuzla");
        entry.start();
        entry.awaitReady();
        sleepMs(5000);
        for (auto round = 0; round < rounds; ++round) {
            // The key works as long as it is not withdrawn.
            const auto before = ask(entry.port(), {.method = "GET",
                                                   .path = "/stock/1",
                                                   .id = "before" + std::to_string(round),
                                                   .key = keyOf(round)});
            if (before.status != 200)
                giveUp("a request with a key that holds was not served");
            std::int64_t age = -1;
            while ((age = log.waitingReadAge("keyed.op")) < 0 || age > 100)
                sleepMs(5);
            const auto silentAt = nowMs();
            if (isTroubled()) {
                record.line("connections to the store that are open now go silent");
                log.silenceOpenConnections();
            }
            sleepMs(20);
            publish(round + 1);
            const auto acknowledgedAt = nowMs();
            std::int64_t lastAccepted = -1;
            while (nowMs() < acknowledgedAt + probesMs) {
                const auto id = "probe" + std::to_string(round) + "-" + std::to_string(nowMs());
                const auto answer
                    = ask(entry.port(),
                          {.method = "GET", .path = "/stock/1", .id = id, .key = keyOf(round)});
                bool hasRun = false;
                {
                    const std::lock_guard lock(mutex);
                    hasRun = ran.contains(id);
                }
                const auto since = answer.sentAtMs - acknowledgedAt;
                record.line(
                    "client: %s with the withdrawn %s, %lld ms after the acknowledgement: %d%s",
                    id.c_str(), keyOf(round).c_str(), static_cast<long long>(since), answer.status,
                    hasRun ? ", has run" : "");
                if (hasRun)
                    lastAccepted = since;
                const bool isInTouch = !isTroubled() || answer.sentAtMs - silentAt > contactMs;
                if (hasRun && since > configApplyMs && isInTouch) {
                    ++broken;
                    record.line("CONFIG: run with a key that was withdrawn %lld ms before, %lld ms "
                                "after the connections fell silent",
                                static_cast<long long>(since),
                                static_cast<long long>(answer.sentAtMs - silentAt));
                }
                sleepMs(probePauseMs);
            }
            record.line("round %d: the withdrawn key last worked %lld ms after the acknowledgement",
                        round + 1, static_cast<long long>(lastAccepted));
        }
    }
    record.line("CONFIG broken by %d requests", broken);
    std::fflush(nullptr);
    std::_Exit(broken > 0 ? ruleBroken : ruleHeld);
}
