// REFUSED: a server runs an unsafe request and answers 503 without Not-Executed.
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
    std::set<std::string> ran;
    std::map<std::string, int> orders; // runs by order, over the client's attempts
    int count = 0;
    std::vector<std::unique_ptr<Server>> servers;
    for (int n = 1; n <= 7; ++n) {
        servers.push_back(std::make_unique<Server>(
            store, "i-app" + std::to_string(n), "siparis-app", "tuzla", 6,
            [&](Server &self, Conn &conn, const Message &request) {
                bool fails = false;
                {
                    const std::lock_guard lock(mutex);
                    ran.insert(request.header("Attempt-Id"));
                    ++orders[request.body];
                    // srv_grey: one server in seven fails two in five of its requests.
                    fails = isTroubled() && self.id == "i-app1" && ++count % 5 < 2;
                }
                sleepMs(20);
                record().line("run " + request.header("Attempt-Id") + " order " + request.body
                              + " at " + self.id + (fails ? ", fails with its own 503" : ""));
                return conn.send(answer(fails ? 503 : 200, sealed(self, request), "body"));
            }));
    }
    store.put("keyed.op", "config",
              desiredState(7, {{"order", "/order/", "unsafe", "siparis-app", 2000, 300, 1}},
                           {"siparis-app"}));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    std::atomic<int> refused = 0;
    std::atomic<int> answered = 0;
    int twice = 0;
    constexpr int clients = 16;
    constexpr int ordersEach = 40;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int n = 0; n < ordersEach; ++n) {
                const auto order = std::to_string(client) + "-" + std::to_string(n);
                for (int attempt = 0; attempt < 2; ++attempt) {
                    const auto id = "a" + order + "-" + std::to_string(attempt);
                    record().line("send " + id + " order " + order);
                    auto conn = connectTo(edge.front);
                    const auto reply
                        = call(conn, requestText("POST", "/order/new", id, 4000, order), 6000);
                    conn.close();
                    const std::lock_guard lock(mutex);
                    const bool hasRun = ran.contains(id);
                    const bool promises = reply.status == 503 || reply.status == 429
                                          || reply.status == 408 || reply.status == 421;
                    record().line("answer " + id + " " + std::to_string(reply.status) + " seal '"
                                  + reply.header("Server-Seal") + "', "
                                  + (hasRun ? "has run" : "has not run")
                                  + (promises && hasRun ? ": REFUSED" : ""));
                    answered += reply.status == 200 ? 1 : 0;
                    refused += promises && hasRun ? 1 : 0;
                    if (!promises)
                        break; // clients repeat unsafe requests only after a promise
                }
            }
        });
    }
    for (auto &each : threads)
        each.join();
    for (const auto &[order, runs] : orders)
        twice += runs > 1 ? 1 : 0;
    record().line("refused though run: " + std::to_string(refused)
                  + ", orders that ran more than once: " + std::to_string(twice));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(refused > 0 ? 1 : answered > clients * ordersEach * 9 / 10 ? 0 : 2);
}
