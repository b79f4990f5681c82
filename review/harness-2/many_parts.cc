// Memory: requests inside max_header_bytes whose Prefix-Hash lists thousands of parts.
#include "rig.hh"

#include <sys/resource.h>

using namespace rig;

namespace {

constexpr long memoryMb = 160;

auto residentKb(pid_t pid) -> long
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line))
        if (line.rfind("VmRSS:", 0) == 0)
            return std::atol(line.c_str() + 6);
    return 0;
}

} // namespace

int main(int, char **argv)
{
    startMs();
    record().open(std::string(argv[1]) + "/record.txt");
    // This program holds some thousand sockets.
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_max < 4100)
        return 2;
    descriptors.rlim_cur = 4100;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    const auto folder = temporaryFolder();
    Store store;
    Cloud cloud;
    std::vector<std::unique_ptr<Server>> servers;
    for (int n = 1; n <= 9; ++n) {
        servers.push_back(std::make_unique<Server>(
            store, "i-llm" + std::to_string(n), "hardal-llm", "tuzla", 128,
            [](Server &self, Conn &conn, const Message &request) {
                sleepMs(request.header("Attempt-Id")[0] == 'h' ? 6000 : 30);
                return conn.send(answer(200, sealed(self, request), "id: 1\ndata: x\n\n"));
            }));
    }
    store.put(
        "keyed.op", "config",
        desiredState(
            7, {{"digest", "/digest/", "streaming", "hardal-llm", 15000, 8000, 1, false}},
            {"hardal-llm"}, 1002848,
            R"({"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000})"));
    Edge edge({.store = store.address(),
               .cloud = cloud.address(),
               .extra = ",\"memory_mb\":" + std::to_string(memoryMb),
               .folder = folder});
    edge.start();
    if (!edge.waitReady())
        return 2;
    sleepMs(4000);
    std::atomic<bool> stop = false;
    std::atomic<bool> isKilled = false;
    std::atomic<long> most = 0;
    // The platform: "A process that exceeds `memory_mb` is killed."
    std::thread platform([&] {
        while (!stop && !isKilled) {
            const auto kb = residentKb(edge.pid);
            most = std::max(most.load(), kb);
            if (kb > memoryMb * 1024) {
                isKilled = true;
                record().line("the process holds " + std::to_string(kb / 1024) + " MB of "
                              + std::to_string(memoryMb) + " and is killed");
                ::kill(edge.pid, SIGKILL);
            }
            sleepMs(20);
        }
    });
    std::atomic<int> served = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> heavyAnswered = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < 8; ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; !stop; ++k) {
                const auto id = "a" + std::to_string(n) + "-" + std::to_string(k);
                auto conn = connectTo(edge.front);
                const auto reply = call(
                    conn,
                    requestText(
                        "POST", "/digest/x", id, 8000, "q",
                        "Model: m\r\nToken-Usage: 900,6\r\nPrefix-Hash: c0ffee01:300,b1:300\r\n"),
                    9000);
                conn.close();
                served += reply.status == 200 ? 1 : 0;
                if (reply.status == 0) {
                    ++lost;
                    record().line("no answer to the ordinary request " + id);
                }
                sleepMs(200);
            }
        });
    }
    sleepMs(2000);
    // The same number of requests with heads of the same size in both runs.
    auto heavy = "Prefix-Hash: " + std::string(15900, ',') + "c1:300\r\n";
    if (!isTroubled())
        heavy = "a: " + std::string(heavy.size() - 5, 'b') + "\r\n";
    constexpr int clients = 1100;
    const auto size = requestText("POST", "/digest/x", "h0000", 12000, "q", heavy).size();
    record().line(std::to_string(clients) + " clients send one request each, of "
                  + std::to_string(size) + " bytes, within 4 s");
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            auto conn = connectTo(edge.front);
            const auto reply = call(
                conn, requestText("POST", "/digest/x", "h" + std::to_string(n), 12000, "q", heavy),
                13000);
            conn.close();
            heavyAnswered += reply.status > 0 ? 1 : 0;
        });
        if (n % 3 == 0)
            sleepMs(10);
    }
    for (int tenth = 0; tenth < 140 && !isKilled; ++tenth)
        sleepMs(100);
    sleepMs(500);
    stop = true;
    for (auto &each : threads)
        each.join();
    platform.join();
    record().line("ordinary requests served " + std::to_string(served) + ", without an answer "
                  + std::to_string(lost) + "; long ones answered " + std::to_string(heavyAnswered)
                  + "; the process held " + std::to_string(most / 1024) + " MB at most of "
                  + std::to_string(memoryMb) + (isKilled ? " and was killed" : ""));
    edge.kill(SIGKILL);
    removeFolder(folder);
    _exit(isKilled ? 1 : served > 50 && heavyAnswered > clients / 2 ? 0 : 2);
}
