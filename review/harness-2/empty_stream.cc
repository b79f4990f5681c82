// ORDER: a server crashes after the head of a stream that has neither a length nor chunks, and
// before its first event.
#include "rig.hh"

using namespace rig;

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    constexpr int events = 12;
    std::mutex mutex;
    std::set<std::string> begunAtCrashed; // the head was sent, and no event
    std::vector<std::unique_ptr<Server>> servers;
    const auto serve = [&](Server &self, Conn &conn, const Message &request) {
        const auto id = request.header("Attempt-Id");
        const auto last = request.header("Last-Event-Id");
        sleepMs(30);
        if (!conn.send("HTTP/1.1 200 OK\r\n" + sealed(self, request)
                       + "Content-Type: text/event-stream\r\n\r\n"))
            return false;
        sleepMs(400); // the prompt is read
        if (self.hasEnded) {
            const std::lock_guard lock(mutex);
            begunAtCrashed.insert(id);
            record().line(self.id + " crashed after the head of " + id
                          + ", before its first event");
            return false;
        }
        for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= events; ++event) {
            if (self.hasEnded
                || !conn.send("id: " + std::to_string(event) + "\ndata: " + id + "\n\n"))
                return false;
            sleepMs(5);
        }
        return false; // its end is the end of the connection
    };
    for (int n = 1; n <= 7; ++n)
        servers.push_back(std::make_unique<Server>(store, "i-llm" + std::to_string(n), "hardal-llm",
                                                   "tuzla", 128, serve));
    store.put(
        "keyed.op", "config",
        desiredState(7, {{"digest", "/digest/", "streaming", "hardal-llm", 15000, 1200, 2, true}},
                     {"hardal-llm"}, 1002848));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(1000);
    std::atomic<bool> stop = false;
    std::atomic<int> whole = 0;
    std::atomic<int> empty = 0;
    std::atomic<int> other = 0;
    std::vector<std::thread> clients;
    for (int n = 0; n < 40; ++n) {
        clients.emplace_back([&, n] {
            for (int k = 0; !stop; ++k) {
                const auto id = "a" + std::to_string(n) + "-" + std::to_string(k);
                auto conn = connectTo(edge.front);
                const auto reply = call(
                    conn,
                    requestText("POST", "/digest/x", id, 15000, std::string(400, 'q'),
                                "Model: m\r\nToken-Usage: 900,72\r\nPrefix-Hash: c0ffee01:300,b"
                                    + std::to_string((n + k) % 20) + ":300,e" + id + ":300\r\n"),
                    15000);
                conn.close();
                const bool isLast
                    = reply.body.find("id: " + std::to_string(events) + "\n") != std::string::npos;
                if (reply.status == 200 && reply.complete && isLast) {
                    ++whole;
                } else if (reply.status == 200 && reply.complete && reply.body.empty()) {
                    ++empty;
                    record().line("answer " + id + " 200, Content-Length "
                                  + reply.header("Content-Length") + ", complete, seal "
                                  + reply.header("Server-Seal") + ": no event of "
                                  + std::to_string(events));
                } else {
                    ++other;
                    record().line("answer " + id + " " + std::to_string(reply.status)
                                  + (reply.complete ? " complete, " : " not whole, ")
                                  + std::to_string(reply.body.size()) + " bytes");
                }
                sleepMs(50);
            }
        });
    }
    sleepMs(4000);
    if (isTroubled()) {
        record().line("i-llm1 crashes");
        servers[0]->exit();
        store.put("keyed.servers", "i-llm1", std::nullopt);
    }
    sleepMs(4000);
    stop = true;
    for (auto &each : clients)
        each.join();
    record().line("whole " + std::to_string(whole) + ", complete without an event "
                  + std::to_string(empty) + ", other " + std::to_string(other));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(empty > 0 ? 1 : whole > 100 ? 0 : 2);
}
