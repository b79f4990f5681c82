// Two edges, the store and one server each of two services. The operator writes an evacuation; the
// store goes through one drill, in which that record is lost; the operator, whose next desired
// state waits for the store, writes it as soon as the store answers, learns of the drill by its
// answer and writes the evacuation again. The desired state moves the route to the other service.
//
//     moved FOLDER EDGE... (the command of an edge)

#include <atomic>

#include "site.h"

using namespace review;

namespace {

// Bounds of kalkan-hat.
constexpr double configApplyS = 2;
constexpr double stretchS = 5;
constexpr double contactS = 3;

constexpr double copyAgeS = 4;
constexpr double awayS = 1;

struct run
{
    double sentAt = 0;
    int edge = 0;
    std::string service;
    int status = 0;
};

std::mutex runsMutex;
std::vector<run> runs;

// A server of the service, which names it in its answers.
auto startServer(const std::string &service) -> int
{
    int port = 0;
    serve(listenOn(port), [service](int fd) {
        message_reader reader(fd);
        message call;
        while (reader.read(call, false) && call.complete) {
            pause(0.02);
            if (!sendAll(fd, sealedAnswer(call.header("Attempt-Id"), service)))
                return;
        }
    });
    return port;
}

auto stateText(int version, const std::string &service) -> std::string
{
    return configText(version,
                      routeText("stock", "safe", 4000, 300, service, ",\"max_attempts\":2"),
                      serviceText("siparis-app", 110) + "," + serviceText("siparis-next", 110));
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
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                return;
        }
    });
    platform.put("keyed.op", "config", stateText(1, "siparis-app"));
    const server_entry first(platform, "i-1", "siparis-app", startServer("siparis-app"), 6);
    const server_entry second(platform, "i-2", "siparis-next", startServer("siparis-next"), 6);

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
    std::vector<std::thread> clients;
    clients.reserve(2);
    for (int number = 0; number < 2; ++number) {
        clients.emplace_back([&, number] {
            for (int count = 0; !ends; ++count) {
                run one{.sentAt = seconds(), .edge = number + 1};
                const int fd = connectTo(ports[number].callers);
                message answer;
                message_reader reader(fd);
                const auto id = "c" + std::to_string(number) + "-" + std::to_string(count);
                if (fd >= 0 && sendAll(fd, requestText("GET", "/stock/a", id, 4000))
                    && reader.read(answer, true) && answer.complete) {
                    one.status = answer.status();
                    one.service = one.status == 200 ? answer.body : "";
                }
                if (fd >= 0)
                    close(fd);
                {
                    const std::lock_guard lock(runsMutex);
                    runs.push_back(one);
                }
                pause(0.2);
            }
        });
    }

    pause(5);
    // A zone without servers here.
    platform.put("keyed.op", "evacuate/hadimkoy", "{}");
    pause(3);
    std::thread drill;
    if (isTroubled) {
        drill = std::thread([&] { platform.drill(awayS, copyAgeS, false); });
        pause(awayS / 2);
    }
    while (!platform.put("keyed.op", "config", stateText(2, "siparis-next")))
        pause(0.02);
    const auto acknowledgedAt = seconds();
    record.line("operator: version 2 is acknowledged");
    if (isTroubled) {
        drill.join();
        pause(0.02);
        platform.put("keyed.op", "evacuate/hadimkoy", "{}");
        record.line("operator: the evacuation is written again");
    }
    pause(25);
    ends = true;
    for (auto &each : clients)
        each.join();

    const auto appliesAt = acknowledgedAt + configApplyS + stretchS + contactS;
    int result = 0;
    for (int number = 1; number <= 2; ++number) {
        std::map<std::string, int> counts;
        double lastOld = 0;
        for (const auto &each : runs) {
            if (each.edge != number)
                continue;
            if (each.service == "siparis-app")
                lastOld = each.sentAt;
            if (each.sentAt > appliesAt)
                ++counts[each.service.empty() ? "failed" : each.service];
        }
        for (const auto &[service, count] : counts)
            record.line("edge " + std::to_string(number) + ", sent over "
                        + std::to_string(appliesAt - acknowledgedAt)
                        + " s after the acknowledgement: " + service + " " + std::to_string(count));
        record.line("edge " + std::to_string(number) + ": the last request that the old service "
                    + "ran was sent " + std::to_string(lastOld - acknowledgedAt)
                    + " s after the acknowledgement");
        if (counts["siparis-app"] > 0)
            result = 1;
        if (counts.empty())
            result = 2;
    }
    record.line(result == 1 ? "the rule was broken" : result == 0 ? "the rule held" : "not run");
    edges.clear();
    std::_Exit(result);
}
