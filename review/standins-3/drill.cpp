// Two edges, the store, the platform's API and one server. The store goes through one drill. Judges
// the rule ONE by the calls of the duty `usage` that the platform's API receives.
//
//     drill FOLDER EDGE... (the command of an edge)

#include <atomic>
#include <cmath>
#include <set>

#include "site.h"

using namespace review;

namespace {

constexpr double contactS = 3;
constexpr double copyAgeS = 6;
constexpr double awayS = 1;

struct usage_call
{
    double at = 0;
    std::string holder;
    unsigned long long fence = 0;
    std::string window;
    std::string body;
};

std::mutex callsMutex;
std::vector<usage_call> calls;

auto windowOf(const std::string &body) -> std::string
{
    const auto at = body.find("\"window_id\":");
    return at == std::string::npos ? "" : std::to_string(std::atoll(body.c_str() + at + 12));
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[1];
    const std::string scratch = std::getenv("SCRATCH");
    const std::vector<std::string> command(argv + 2, argv + argc);
    const bool isTroubled
        = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    record_file record(folder + "/record.txt");

    store platform(record);
    int cloudPort = 0;
    serve(listenOn(cloudPort), [&](int fd) {
        message_reader reader(fd);
        message call;
        while (reader.read(call, false) && call.complete) {
            const usage_call received{
                seconds(), call.header("Duty-Holder"),
                std::strtoull(call.header("Fencing-Token").c_str(), nullptr, 10),
                windowOf(call.body), call.body};
            {
                const std::lock_guard lock(callsMutex);
                calls.push_back(received);
            }
            record.line("cloud: " + call.first + " Duty-Holder=" + received.holder
                        + " Fencing-Token=" + std::to_string(received.fence) + " " + call.body);
            pause(0.004);
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                return;
        }
    });
    std::atomic<int> runs = 0;
    int serverPort = 0;
    serve(listenOn(serverPort), [&](int fd) {
        message_reader reader(fd);
        message call;
        while (reader.read(call, false) && call.complete) {
            ++runs;
            pause(0.02);
            if (!sendAll(fd, sealedAnswer(call.header("Attempt-Id"), "stock")))
                return;
        }
    });

    platform.put(
        "keyed.op", "config",
        configText(1, routeText("stock", "safe", 4000, 300, "siparis-app", ",\"max_attempts\":2"),
                   serviceText("siparis-app", 110)));
    const server_entry entry(platform, "i-1", "siparis-app", serverPort, 6);

    const edge_ports ports[2];
    const auto seeds = "\"" + address(ports[0].peers) + "\",\"" + address(ports[1].peers) + "\"";
    std::vector<std::unique_ptr<child>> edges;
    for (int number = 0; number < 2; ++number) {
        const auto name = "edge-tuzla-" + std::to_string(number + 1);
        auto base = scratch;
        base.append("/").append(name);
        const auto file = base + ".json";
        writeFile(file, edgeSettings(name, ports[number], seeds, platform.port(), cloudPort));
        edges.push_back(std::make_unique<child>(command, file, base + ".log"));
    }
    for (const auto &each : ports) {
        if (!awaitReady(each, 15)) {
            record.line("an edge did not become ready");
            return 2;
        }
    }
    record.line("both edges are ready");

    std::atomic<bool> ends = false;
    std::atomic<int> sent = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> clients;
    clients.reserve(2);
    for (int number = 0; number < 2; ++number) {
        clients.emplace_back([&, number] {
            while (!ends) {
                const int fd = connectTo(ports[number].callers);
                message answer;
                message_reader reader(fd);
                const auto id = "c" + std::to_string(number) + "-" + std::to_string(++sent);
                if (fd >= 0 && sendAll(fd, requestText("GET", "/stock/a", id, 4000))
                    && reader.read(answer, true) && answer.status() == 200 && answer.complete)
                    ++answered;
                if (fd >= 0)
                    close(fd);
                pause(0.2);
            }
        });
    }

    const auto callCount = [] {
        const std::lock_guard lock(callsMutex);
        return calls.size();
    };
    const auto awaitCalls = [&](std::size_t count, double limit) {
        const auto until = seconds() + limit;
        while (callCount() < count && seconds() < until)
            pause(0.02);
        return callCount() >= count;
    };
    int result = 0;
    double drillEnd = -1;
    if (!awaitCalls(4, 45)) {
        record.line("the usage of four windows was not reported in 45 s");
        result = 2;
    } else {
        pause(0.5);
        if (isTroubled) {
            platform.drill(awayS, copyAgeS);
            drillEnd = seconds();
        }
        pause(28);
    }
    ends = true;
    for (auto &each : clients)
        each.join();
    record.line("requests sent " + std::to_string(sent) + ", answered " + std::to_string(answered)
                + ", run " + std::to_string(runs));

    const std::lock_guard lock(callsMutex);
    unsigned long long highest = 0;
    std::map<std::string, std::string> bodies;
    std::map<unsigned long long, std::string> holders;
    for (const auto &each : calls) {
        // Calls during an impairment of the store, or in `contact_ms` after it, are left out.
        const bool isExcused
            = drillEnd >= 0 && each.at > drillEnd - awayS && each.at < drillEnd + contactS;
        const auto what = " (holder " + each.holder + ", fence " + std::to_string(each.fence)
                          + ", window " + each.window + ")";
        if (isExcused) {
            record.line("left out, too near to the drill:" + what);
            continue;
        }
        if (each.fence < highest) {
            record.line("ONE is broken: a call with a lower fence number than "
                        + std::to_string(highest) + ", seen before" + what);
            result = 1;
        }
        highest = std::max(highest, each.fence);
        const auto holder = each.holder.substr(0, each.holder.find('/'));
        if (holders.try_emplace(each.fence, holder).first->second != holder) {
            record.line("ONE is broken: two holders with one fence number" + what);
            result = 1;
        }
        if (bodies.try_emplace(each.window, each.body).first->second != each.body) {
            record.line("ONE is broken: other counts for a window" + what);
            result = 1;
        }
    }
    if (calls.size() < 5 && result == 0)
        result = 2;
    record.line(result == 1 ? "the rule was broken" : result == 0 ? "the rule held" : "not run");
    edges.clear();
    std::_Exit(result);
}
