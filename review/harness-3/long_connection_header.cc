// Hang: requests inside max_header_bytes whose Connection header names many headers.
#include "rig.hh"

using namespace rig;

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    Server app(store, "i-app1", "siparis-app", "tuzla", 60,
               [&](Server &self, Conn &conn, const Message &request) {
                   sleepMs(20);
                   return conn.send(answer(200, sealed(self, request), "stock"));
               });
    constexpr std::size_t maxHeaderBytes = 16384;
    store.put(
        "keyed.op", "config",
        desiredState(
            7, {{"read", "/read/", "safe", "siparis-app", 4000, 300, 2}}, {"siparis-app"}, 0,
            R"({"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000})"));
    Edge edge({.store = store.address(), .cloud = cloud.address(), .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(500);
    std::atomic<bool> stop = false;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < 8; ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; !stop; ++k) {
                const auto id = "a" + std::to_string(n) + "-" + std::to_string(k);
                auto conn = connectTo(edge.front);
                const auto begun = nowMs();
                const auto reply = call(conn, requestText("GET", "/read/x", id, 4000), 4000);
                conn.close();
                ++sent;
                served += reply.status == 200 ? 1 : 0;
                if (reply.status != 200 || nowMs() - begun > 1000)
                    record().line("answer " + id + " " + std::to_string(reply.status) + " after "
                                  + std::to_string(nowMs() - begun) + " ms");
                sleepMs(200);
            }
        });
    }
    sleepMs(4000);
    const int calmSent = sent;
    const int calmServed = served;
    record().line("calm: " + std::to_string(calmServed) + " of " + std::to_string(calmSent)
                  + " ordinary requests served");
    // The same number and size of requests in both runs; without the disruption the bytes are one
    // long header.
    std::string connection = "Connection: ";
    while (connection.size() < maxHeaderBytes / 2)
        connection += "b,";
    connection += "b\r\n";
    std::string headers;
    while (headers.size() + connection.size() < maxHeaderBytes - 400)
        headers += "a:\r\n";
    auto heavy = connection + headers;
    if (!isTroubled())
        heavy = "a: " + std::string(heavy.size() - 5, 'b') + "\r\n";
    std::atomic<int> heavySent = 0;
    for (int n = 0; n < 150; ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; !stop; ++k) {
                const auto id = "h" + std::to_string(n) + "-" + std::to_string(k);
                auto conn = connectTo(edge.front);
                ++heavySent;
                static_cast<void>(
                    call(conn, requestText("GET", "/read/x", id, 4000, "", heavy), 30000));
                conn.close();
                sleepMs(1000);
            }
        });
    }
    record().line("150 clients send a request with a head of "
                  + std::to_string(requestText("GET", "/read/x", "h00-00", 4000, "", heavy).size())
                  + " bytes each, and the next one second after its answer");
    sleepMs(4000);
    const int beginSent = sent;
    const int beginServed = served;
    int misses = 0;
    int asked = 0;
    for (int second = 0; second < 30; ++second) {
        const auto begun = nowMs();
        auto conn = connectTo(edge.ready);
        const auto reply = call(conn, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
        conn.close();
        ++asked;
        misses += reply.status == 200 ? 0 : 1;
        const auto rest = begun + 1000 - nowMs();
        if (rest > 0)
            sleepMs(rest);
    }
    const int troubledSent = sent - beginSent;
    const int troubledServed = served - beginServed;
    stop = true;
    record().line("from 4 s later on: " + std::to_string(troubledServed) + " of " + std::to_string(troubledSent)
                  + " ordinary requests served, " + std::to_string(heavySent)
                  + " long requests sent, " + std::to_string(misses) + " of "
                  + std::to_string(asked) + " readiness questions without a 200 within a second");
    edge.kill(SIGKILL);
    removeFolder(folder);
    const bool wasCalm = calmSent > 20 && calmServed * 10 >= calmSent * 9;
    _exit(!wasCalm ? 2 : troubledServed * 4 < troubledSent ? 1 : 0);
}
