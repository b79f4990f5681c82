// LOST: answers that a client still reads when the machine gets SIGTERM.
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
                   sleepMs(700);
                   return conn.send(answer(200, sealed(self, request), body));
               });
    store.put("keyed.op", "config",
              desiredState(7, {{"read", "/read/", "safe", "siparis-app", 15000, 8000, 2}},
                           {"siparis-app"}));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(500);
    constexpr int clients = 4;
    std::atomic<int> lost = 0;
    std::atomic<int> whole = 0;
    std::atomic<std::int64_t> termAt = 0;
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
            // A link of 10 Mbit/s.
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
                const auto due = begun + std::int64_t(total) / 1250;
                if (due > nowMs())
                    sleepMs(due - nowMs());
            }
            const auto after = termAt > 0 ? nowMs() - termAt : 0;
            record().line((ended ? "cut " : "whole ") + id + " status "
                          + std::to_string(reply.status) + ": " + std::to_string(total) + " of "
                          + reply.header("content-length") + " bytes, "
                          + std::to_string(nowMs() - begun) + " ms after its head, "
                          + std::to_string(after) + " ms after SIGTERM");
            ++(ended ? lost : whole);
        });
    }
    sleepMs(300);
    if (isTroubled()) {
        record().line("SIGTERM to the edge (grace 8 s)");
        termAt = nowMs();
        edge.kill(SIGTERM);
        std::thread([&] {
            while (!edge.ended())
                sleepMs(10);
            record().line("the edge has ended by itself, "
                          + std::to_string(nowMs() - termAt) + " ms after SIGTERM");
        }).detach();
    }
    for (auto &each : threads)
        each.join();
    record().line("whole " + std::to_string(whole) + ", lost " + std::to_string(lost));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(lost > 0 ? 1 : whole == clients ? 0 : 2);
}
