// DRAIN: a server's write to the store that got no answer is executed seconds later, after the
// server has said that it is draining.
#include "rig.hh"

using namespace rig;

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::int64_t drainingAt = 0;
    std::int64_t passedOnAt = 0; // the first answer with Server-Leaving reached its client
    std::set<std::string> ran;
    int late = 0;
    std::atomic<int> lost = 0;
    constexpr int drainMs = 2000;
    const auto serve = [&](Server &self, Conn &conn, const Message &request) {
        const auto id = request.header("Attempt-Id");
        const auto arrivedAt = nowMs();
        {
            const std::lock_guard lock(mutex);
            if (self.id == "i-app1" && passedOnAt > 0 && sentAt[id] > passedOnAt + drainMs) {
                ++late;
                record().line("run " + id + " at i-app1, sent by its client "
                              + std::to_string(sentAt[id] - passedOnAt)
                              + " ms after the edge had passed on its Server-Leaving, arrived "
                              + std::to_string(arrivedAt - drainingAt)
                              + " ms after its draining was acknowledged");
            }
        }
        {
            const std::lock_guard lock(mutex);
            ran.insert(id);
        }
        sleepMs(60);
        // A server that leaves says so in all its answers too.
        const bool leaves = self.state != "ready";
        return conn.send(
            answer(200, sealed(self, request) + (leaves ? "Server-Leaving: 1\r\n" : ""), id));
    };
    Server leaver(store, "i-app1", "siparis-app", "tuzla", 6, serve);
    Server other(store, "i-app2", "siparis-app", "tuzla", 6, serve);
    store.put("keyed.op", "config",
              desiredState(7, {{"order", "/order/", "unsafe", "siparis-app", 2000, 300, 1}},
                           {"siparis-app"}));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(4000);
    std::atomic<bool> stop = false;
    std::atomic<int> answered = 0;
    std::vector<std::thread> clients;
    for (int n = 0; n < 6; ++n) {
        clients.emplace_back([&, n] {
            auto conn = connectTo(edge.front);
            for (int k = 0; !stop; ++k) {
                const auto id = "a" + std::to_string(n) + "-" + std::to_string(k);
                {
                    const std::lock_guard lock(mutex);
                    sentAt[id] = nowMs();
                }
                const auto reply
                    = call(conn, requestText("POST", "/order/new", id, 4000, id), 6000);
                if (!reply.header("Server-Leaving").empty()) {
                    const std::lock_guard lock(mutex);
                    if (passedOnAt == 0) {
                        passedOnAt = nowMs();
                        record().line("the edge passes on the first answer with Server-Leaving, to "
                                      + id);
                    }
                }
                if (reply.status == 200)
                    ++answered;
                else {
                    const std::lock_guard lock(mutex);
                    lost += ran.contains(id) ? 1 : 0;
                    record().line("answer " + id + " " + std::to_string(reply.status)
                                  + (ran.contains(id) ? ", has run" : ", has not run"));
                }
                if (reply.status == 0 || !reply.complete || reply.header("connection") == "close") {
                    conn.close();
                    conn = connectTo(edge.front);
                }
                sleepMs(20 + 7 * n);
            }
            conn.close();
        });
    }
    sleepMs(2000);
    // The write that gets no answer. The server writes again at its next interval.
    const auto lateSequence = ++leaver.sequence;
    record().line("i-app1 writes its entry, sequence " + std::to_string(lateSequence)
                  + ", state ready: no answer");
    const auto lostAt = nowMs();
    sleepMs(3300);
    {
        const std::lock_guard lock(mutex);
        leaver.state = "draining";
        leaver.beat();
        drainingAt = nowMs();
    }
    record().line("i-app1 writes state draining, sequence " + std::to_string(leaver.sequence)
                  + ": acknowledged");
    sleepMs(lostAt + 5600 - nowMs());
    if (isTroubled()) {
        store.put("keyed.servers", "i-app1",
                  "{\"service\":\"siparis-app\",\"address\":\"" + leaver.address()
                      + "\",\"zone\":\"tuzla\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                        "\"cold_remaining_ms\":0,\"sequence\":"
                      + std::to_string(lateSequence) + ",\"born\":" + std::to_string(leaver.born)
                      + "}");
        record().line("the store executes the write of sequence " + std::to_string(lateSequence)
                      + ", " + std::to_string(nowMs() - lostAt) + " ms after it was sent");
    }
    // It serves for drain_ms and a little longer, and then exits.
    sleepMs(drainingAt + drainMs + 1250 - nowMs());
    record().line("i-app1 exits");
    leaver.exit();
    store.put("keyed.servers", "i-app1", std::nullopt);
    sleepMs(2500);
    stop = true;
    for (auto &each : clients)
        each.join();
    record().line("answered " + std::to_string(answered) + ", requests sent later than "
                  + std::to_string(drainMs)
                  + " ms after Server-Leaving was passed on that reached i-app1: "
                  + std::to_string(late)
                  + ", orders that ran and got no answer of the server: " + std::to_string(lost));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(late > 0 ? 1 : answered > 50 && passedOnAt > 0 ? 0 : 2);
}
