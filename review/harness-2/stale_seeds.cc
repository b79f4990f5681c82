// FAILBACK: machines that are seeds are removed for good and others come at new addresses; the
// seeds in the settings are stale. Then a server comes back cold.
#include "rig.hh"

using namespace rig;

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    constexpr int coldPerSecond = 24;
    constexpr int bound = coldPerSecond * 3 / 2 + 5; // cold_burst_factor 1.5, cold_slack 5
    std::mutex mutex;
    std::deque<std::int64_t> arrivals; // of the last second, at the cold server
    std::set<std::string> ran;
    std::size_t most = 0;
    int lost = 0;
    bool hasCrashed = false;
    std::unique_ptr<Server> cold;
    const auto serve = [&](Server &self, Conn &conn, const Message &request) {
        const auto id = request.header("Attempt-Id");
        {
            const std::lock_guard lock(mutex);
            ran.insert(id);
            const auto now = nowMs();
            if (self.id == "i-app9" && now < self.coldUntil) {
                arrivals.push_back(now);
                while (arrivals.front() <= now - 1000)
                    arrivals.pop_front();
                most = std::max(most, arrivals.size());
                if (arrivals.size() > std::size_t(bound + 1) && !hasCrashed) {
                    hasCrashed = true;
                    record().line("i-app9, cold, got " + std::to_string(arrivals.size())
                                  + " requests within one second and crashes");
                    std::thread([&] { cold->exit(); }).detach();
                }
            }
        }
        sleepMs(60);
        if (self.hasEnded)
            return false;
        return conn.send(answer(200, sealed(self, request), id));
    };
    Server other(store, "i-app1", "siparis-app", "tuzla", 6, serve);
    store.put("keyed.op", "config",
              desiredState(7, {{"order", "/order/", "unsafe", "siparis-app", 2000, 300, 1}},
                           {"siparis-app"}));
    const auto makeEdge = [&](const std::string &name) {
        return std::make_unique<Edge>(Edge::Options{
            .name = name, .store = store.address(), .cloud = cloud.address(), .folder = folder});
    };
    std::vector<std::unique_ptr<Edge>> edges;
    for (int n = 1; n <= 5; ++n)
        edges.push_back(makeEdge("edge-" + std::to_string(n)));
    const std::vector<std::string> seeds{edges[0]->controlAddress(), edges[1]->controlAddress(),
                                         edges[2]->controlAddress()};
    for (auto &each : edges) {
        each->setSeeds(seeds);
        each->start();
    }
    for (auto &each : edges)
        if (!each->waitReady())
            return 2;
    record().line("five edges, the first three are the seeds of all");
    sleepMs(6000);
    if (isTroubled()) {
        for (int n = 0; n < 5; ++n) {
            record().line("edge-" + std::to_string(n + 1) + " is removed for good; edge-"
                          + std::to_string(n + 6)
                          + " comes at another address with the same seeds");
            edges[std::size_t(n)]->kill(SIGKILL);
            sleepMs(1000);
            auto added = makeEdge("edge-" + std::to_string(n + 6));
            added->setSeeds(seeds);
            added->start();
            if (!added->waitReady())
                return 2;
            edges[std::size_t(n)] = std::move(added);
            sleepMs(4000);
        }
    } else {
        sleepMs(25000);
    }
    sleepMs(5000);
    for (auto &each : edges) {
        auto conn = connectTo(each->metrics);
        const auto page = call(conn, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 1000).body;
        const auto at = page.find("\nmustardline_edges_live ");
        record().line("an edge says: " + page.substr(at + 1, page.find('\n', at + 1) - at - 1));
    }
    std::atomic<bool> stop = false;
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> clients;
    for (int n = 0; n < 40; ++n) {
        clients.emplace_back([&, n] {
            auto &edge = *edges[std::size_t(n) % edges.size()];
            sleepMs(n * 5);
            for (int k = 0; !stop; ++k) {
                const auto id = "a" + std::to_string(n) + "-" + std::to_string(k);
                auto conn = connectTo(edge.front);
                const auto reply
                    = call(conn, requestText("POST", "/order/new", id, 4000, id), 6000);
                conn.close();
                if (reply.status == 200)
                    ++answered;
                else if (reply.status == 503)
                    ++refused;
                else {
                    const std::lock_guard lock(mutex);
                    lost += ran.contains(id) ? 1 : 0;
                    record().line("answer " + id + " " + std::to_string(reply.status)
                                  + (ran.contains(id) ? ", has run" : ", has not run"));
                }
                sleepMs(120);
            }
        });
    }
    sleepMs(2000);
    record().line("i-app9 starts, cold for 3 s: " + std::to_string(coldPerSecond)
                  + " requests a second; the bound is " + std::to_string(bound));
    const auto begun = nowMs();
    cold = std::make_unique<Server>(store, "i-app9", "siparis-app", "tuzla", 60, serve, 3000);
    sleepMs(begun + 6000 - nowMs());
    stop = true;
    for (auto &each : clients)
        each.join();
    record().line("answered " + std::to_string(answered) + ", refused " + std::to_string(refused)
                  + ", most requests in one second at the cold server: " + std::to_string(most)
                  + ", orders that ran and got no answer of the server: " + std::to_string(lost));
    for (auto &each : edges)
        each->kill(SIGKILL);
    removeFolder(folder);
    _exit(most > std::size_t(bound) ? 1 : most > 5 ? 0 : 2);
}
