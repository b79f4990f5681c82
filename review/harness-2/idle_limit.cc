// LOST: a new desired state shortens idle_timeout_ms while clients read their answers.
#include "rig.hh"

using namespace rig;

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    const std::string body(7'800'000, 'x');
    Server app(store, "i-app1", "siparis-app", "tuzla", 6,
               [&](Server &self, Conn &conn, const Message &request) {
                   record().line("run " + request.header("Attempt-Id") + " at " + self.id);
                   sleepMs(60);
                   return conn.send(answer(200, sealed(self, request), body));
               });
    const auto state = [](int version, int idleMs) {
        return desiredState(version, {{"read", "/read/", "safe", "siparis-app", 15000, 8000, 2}},
                            {"siparis-app"}, 0,
                            R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
                            R"("header_timeout_ms":3000,"idle_timeout_ms":)"
                                + std::to_string(idleMs) + "}");
    };
    store.put("keyed.op", "config", state(7, 15000));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(500);
    constexpr int clients = 4;
    std::atomic<int> lost = 0;
    std::atomic<int> whole = 0;
    std::atomic<std::int64_t> changedAt = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            const auto id = "a" + std::to_string(n);
            auto conn = connectTo(edge.front, 65536);
            record().line("send " + id);
            conn.send(requestText("GET", "/read/x", id, 14000));
            Message reply;
            if (!readHead(conn, reply, 10000)) {
                record().line("no head " + id);
                ++lost;
                return;
            }
            // A link of 20 Mbit/s, read without a pause.
            auto total = conn.buffer.size();
            const auto begun = nowMs();
            bool ended = false;
            while (total < body.size()) {
                conn.buffer.clear();
                if (!conn.fill(3000, 16384)) {
                    ended = true;
                    break;
                }
                total += conn.buffer.size();
                const auto due = begun + std::int64_t(total) / 2500;
                if (due > nowMs())
                    sleepMs(due - nowMs());
            }
            record().line((ended ? "cut " : "whole ") + id + " status "
                          + std::to_string(reply.status) + ": " + std::to_string(total) + " of "
                          + reply.header("content-length") + " bytes, "
                          + std::to_string(nowMs() - begun) + " ms after its head"
                          + (changedAt > 0 ? ", " + std::to_string(nowMs() - changedAt)
                                                 + " ms after the new desired state"
                                           : ""));
            ++(ended ? lost : whole);
        });
    }
    sleepMs(150);
    if (isTroubled()) {
        store.put("keyed.op", "config", state(8, 1000));
        changedAt = nowMs();
        record().line("desired state 8 is acknowledged: idle_timeout_ms 1,000 in place of 15,000");
    }
    for (auto &each : threads)
        each.join();
    record().line("whole " + std::to_string(whole) + ", lost " + std::to_string(lost));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(lost > 0 ? 1 : whole == clients ? 0 : 2);
}
