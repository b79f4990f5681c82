// Case 1: an order is answered with 503, which says "not run and never will be", and it runs.
//
// A server sheds an attempt (503 with Not-Executed) and later sends that answer a second time, at
// the point where the next response on the connection is expected. The edge has sent the same
// attempt again on the same connection, so the extra answer bears its id.

#include "../harness/harness.hh"

#include <algorithm>
#include <cstdlib>
#include <random>

using namespace review;

namespace {

constexpr int orders = 330;
constexpr int pauseMs = 20;
// Share of the requests that the server sheds, and of its answers that it sends a second time.
constexpr double shedShare = 0.45;
constexpr double extraShare = 0.03;
constexpr int workMs = 60;
constexpr unsigned seed = 4;

// The sites' sheets set 1; MAX_ATTEMPTS=2 shows what a route with 2 does.
auto maxAttempts() -> std::string
{
    const char *value = std::getenv("MAX_ATTEMPTS");
    return value == nullptr ? "1" : value;
}

auto routes() -> std::string
{
    return R"({"name":"order-place","host":"shop.example","path_prefix":"/order/","type":"unsafe",)"
           R"("timeout_ms":2000,"latency_goal_ms":300,"priority":2,"service":"siparis-app",)"
           R"("public":false,"max_attempts":)"
           + maxAttempts() + "}";
}

const std::string services
    = R"({"name":"siparis-app","health_path":"/healthz","max_conns":110,"cold_period_s":0.0,)"
      R"("cold_per_s":0.0})";

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto folder = caseFolder(argc, argv);
    recorder record(folder);
    store log(record);
    duty_service duties(record);
    log.put("keyed.op", "config", desiredState(1, routes(), services, "\"key-one\""));

    std::mutex mutex;
    std::mt19937 random(seed);
    std::map<std::string, int> ran;
    // By the order that the body names.
    std::map<std::string, int> placed;
    int answers = 0;
    int extras = 0;
    const auto draw = [&] { return std::uniform_real_distribution<>()(random); };

    server orderServer(
        log, {.id = "i-orders-1", .service = "siparis-app"},
        [&](server &, connection &peer, const message &request) {
            const auto id = request.header("Attempt-Id");
            bool isShed = false;
            bool isRepeated = false;
            {
                const std::lock_guard lock(mutex);
                isShed = draw() < shedShare;
                isRepeated = draw() < extraShare && isTroubled();
                ++answers;
            }
            if (!peer.note.empty()) {
                record.line("server: sends its last answer on this connection again");
                if (!peer.send(std::exchange(peer.note, {})))
                    return false;
            }
            std::string bytes;
            if (isShed) {
                record.line("server: sheds %s", id.c_str());
                bytes = wholeAnswer(503, request, false, "", "Not-Executed: 1\r\n");
            } else {
                {
                    const std::lock_guard lock(mutex);
                    ++ran[id];
                    ++placed[request.body];
                }
                record.line("server: runs %s", id.c_str());
                sleepMs(workMs);
                bytes = wholeAnswer(200, request, true, "order " + id + " is placed");
            }
            if (isRepeated) {
                const std::lock_guard lock(mutex);
                ++extras;
                peer.note = bytes;
            }
            return peer.send(bytes);
        });

    std::map<std::string, int> promised;
    std::map<int, int> statuses;
    {
        edge entry(log, duties, "edge-tuzla-1", "tuzla");
        entry.start();
        entry.awaitReady();
        sleepMs(4000);
        // Sends an attempt; returns whether the answer promises that it has not run and never will.
        const auto place = [&](const std::string &id, const std::string &order) {
            const auto answer = ask(entry.port(), {.path = "/order/new", .id = id, .body = order});
            const auto status = answer.isComplete ? answer.status : 0;
            ++statuses[status];
            record.line("client: %s for %s ends with %d", id.c_str(), order.c_str(), status);
            if (status != 503 && status != 429 && status != 408 && status != 421)
                return false;
            promised[id] = status;
            sleepMs(static_cast<std::int64_t>(
                std::min(1.0, std::atof(answer.header("Retry-After").c_str())) * 1000));
            return true;
        };
        for (auto number = 0; number < orders; ++number) {
            const auto order = "order" + std::to_string(number);
            // A client tries once more after such a promise.
            if (place("attempt" + std::to_string(number) + "a", order))
                place("attempt" + std::to_string(number) + "b", order);
            sleepMs(pauseMs);
        }
        // What was sent to the server may run later.
        sleepMs(1000);
    }
    const std::lock_guard lock(mutex);
    int broken = 0;
    int twice = 0;
    int doubled = 0;
    for (const auto &[order, count] : placed) {
        doubled += count > 1 ? 1 : 0;
        if (count > 1)
            record.line("server: has run %s %d times", order.c_str(), count);
    }
    for (const auto &[id, count] : ran) {
        twice += count > 1 ? 1 : 0;
        if (!promised.contains(id))
            continue;
        ++broken;
        record.line("REFUSED: %s was answered %d and has run", id.c_str(), promised[id]);
    }
    for (const auto &[status, count] : statuses)
        record.line("answers with %d: %d", status, count);
    record.line("server: %d answers, %d of them sent again; orders that were placed twice: %d",
                answers, extras, doubled);
    record.line("TWICE broken by %d attempts", twice);
    record.line("REFUSED broken by %d attempts", broken);
    if (statuses[200] == 0 || (isTroubled() && extras == 0))
        giveUp("no order was served, or no answer was sent again");
    std::fflush(nullptr);
    std::_Exit(broken > 0 || twice > 0 ? ruleBroken : ruleHeld);
}
