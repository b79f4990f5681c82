// BUDGET: a part of prompts crashes servers whose streams have neither a length nor chunks and are
// cut off in the middle of an event.
#include "rig.hh"

using namespace rig;

namespace {

constexpr int contactMs = 3000;
constexpr int backAfterMs = 3000;
const std::string poison = "dead0001";

// The address of a server that crashes and comes back: a listener for each start.
struct Host
{
    std::string id;
    std::int64_t born = 0;
    int sequence = 0;
    std::atomic<bool> isUp = false;
    std::atomic<int> start = 0;
    std::unique_ptr<Listener> listener;
};

} // namespace

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    const bool isFramed = std::getenv("FRAMED") != nullptr;
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    std::mutex mutex;
    int crashes = 0;
    std::int64_t fifthAt = 0;
    int arrivedLate = 0;
    std::map<std::string, std::int64_t> sentAt;
    constexpr int hostCount = 9;
    std::vector<std::unique_ptr<Host>> hosts;

    const auto beat = [&](Host &host) {
        store.put(
            "keyed.servers", host.id,
            "{\"service\":\"hardal-llm\",\"address\":\"" + host.listener->address()
                + "\",\"zone\":\"tuzla\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\","
                  "\"cold_remaining_ms\":0,\"sequence\":"
                + std::to_string(++host.sequence) + ",\"born\":" + std::to_string(host.born) + "}");
    };
    std::function<void(Host &)> crash;
    const auto serve = [&](Host &host, Conn &conn) {
        const int start = host.start;
        for (;;) {
            Message request;
            if (!readHead(conn, request, 60000))
                break;
            readBody(conn, request, 5000);
            if (!host.isUp || host.start != start)
                break;
            const auto id = request.header("Attempt-Id");
            const auto parts = request.header("Prefix-Hash");
            const bool crashes_ = parts.find(poison) != std::string::npos;
            if (crashes_) {
                const std::lock_guard lock(mutex);
                const bool isLate = fifthAt > 0 && sentAt[id] > fifthAt + contactMs;
                arrivedLate += isLate ? 1 : 0;
                record().line("request " + id + " with the part reaches " + host.id
                              + (isLate ? ", sent " + std::to_string(sentAt[id] - fifthAt)
                                              + " ms after the fifth crash"
                                        : ""));
            }
            const auto head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal."
                              + host.id + "\r\nContent-Type: text/event-stream\r\n"
                              + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
            const auto piece = [&](const std::string &text) {
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                return conn.send(isFramed ? size + text + "\r\n" : text);
            };
            record().line("run " + id + " at " + host.id);
            sleepMs(30);
            if (!conn.send(head))
                break;
            if (crashes_ && isTroubled()) {
                piece("id: 1\ndata: begins");
                crash(host);
                break;
            }
            bool isSent = true;
            for (int event = 1; event <= 12 && isSent; ++event) {
                isSent = piece("id: " + std::to_string(event) + "\ndata: " + id + "\n\n");
                sleepMs(20);
                isSent = isSent && host.isUp && host.start == start;
            }
            if (!isSent)
                break;
            if (!isFramed)
                break; // its end is the end of the connection
            conn.send("0\r\n\r\n");
        }
    };
    const auto begin = [&](Host &host) {
        host.born = unixMs();
        ++host.start;
        host.isUp = true;
        host.listener = std::make_unique<Listener>([&](Conn &conn) { serve(host, conn); });
        beat(host);
    };
    crash = [&](Host &host) {
        if (!host.isUp.exchange(false))
            return;
        {
            const std::lock_guard lock(mutex);
            ++crashes;
            if (crashes == 5)
                fifthAt = nowMs();
            record().line(host.id + " crashes (" + std::to_string(crashes) + ")");
        }
        host.listener->stop();
        static_cast<void>(host.listener.release()); // its threads still use it
        std::thread([&host, &begin] {
            sleepMs(backAfterMs);
            begin(host);
        }).detach();
    };
    for (int n = 1; n <= hostCount; ++n) {
        hosts.push_back(std::make_unique<Host>());
        hosts.back()->id = "i-llm" + std::to_string(n);
        begin(*hosts.back());
    }
    std::thread([&] {
        for (;;) {
            sleepMs(1200);
            for (auto &host : hosts)
                if (host->isUp)
                    beat(*host);
        }
    }).detach();
    store.put(
        "keyed.op", "config",
        desiredState(7, {{"digest", "/digest/", "streaming", "hardal-llm", 15000, 1200, 1, false}},
                     {"hardal-llm"}, 1002848));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(4000);
    std::atomic<bool> stop = false;
    std::atomic<int> sound = 0;
    std::atomic<int> soundWhole = 0;
    std::vector<std::thread> clients;
    const auto send = [&](const std::string &id, const std::string &parts) {
        {
            const std::lock_guard lock(mutex);
            sentAt[id] = nowMs();
        }
        record().line("send " + id + " parts " + parts);
        auto conn = connectTo(edge.front);
        const auto reply
            = call(conn,
                   requestText("POST", "/digest/x", id, 15000, std::string(400, 'q'),
                               "Model: m\r\nToken-Usage: 900,80\r\nPrefix-Hash: " + parts + "\r\n"),
                   15000);
        conn.close();
        return reply;
    };
    for (int n = 0; n < 12; ++n) {
        clients.emplace_back([&, n] {
            for (int k = 0; !stop; ++k) {
                const auto id = "a" + std::to_string(n) + "-" + std::to_string(k);
                const auto reply
                    = send(id, "c0ffee01:300,b" + std::to_string((n + k) % 20) + ":300,e"
                                   + id.substr(1, 1) + std::to_string(k) + ":300");
                const bool isWhole = reply.status == 200 && reply.complete
                                     && reply.body.find("id: 12\n") != std::string::npos;
                record().line("answer " + id + " " + std::to_string(reply.status)
                              + (isWhole ? ", whole" : ", not whole"));
                ++sound;
                soundWhole += isWhole ? 1 : 0;
                sleepMs(60);
            }
        });
    }
    sleepMs(5000);
    const int calm = sound;
    const int calmWhole = soundWhole;
    record().line("calm: " + std::to_string(calmWhole) + " of " + std::to_string(calm)
                  + " sound streams whole");
    clients.emplace_back([&] {
        for (int k = 0; !stop; ++k) {
            const auto id = "p" + std::to_string(k);
            const auto reply
                = send(id, "c0ffee01:300," + poison + ":200,f" + std::to_string(k) + ":300");
            record().line("answer " + id + " " + std::to_string(reply.status)
                          + (reply.complete ? "" : ", not whole"));
            sleepMs(500);
        }
    });
    sleepMs(25000);
    stop = true;
    const int later = sound - calm;
    const int laterWhole = soundWhole - calmWhole;
    sleepMs(1500); // the last answers are written down
    record().line("then: " + std::to_string(laterWhole) + " of " + std::to_string(later)
                  + " sound streams whole, " + std::to_string(crashes)
                  + " crashes, requests with the part that reached servers, sent later than "
                  + std::to_string(contactMs)
                  + " ms after the fifth crash: " + std::to_string(arrivedLate));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(arrivedLate > 3 ? 1 : calmWhole > 50 ? 0 : 2);
}
