// The program `standin-platform`.

#include "standin/arguments.h"
#include "standin/platform_server.h"
#include "standin/program.h"

auto main(int argc, char **argv) -> int
{
    using namespace mustardline::standin;
    using std::chrono::milliseconds;

    arguments line(
        "A stand-in for the platform's interfaces with in-memory state, for tests and the demo.");
    const auto &port = line.number("port", "Port on 127.0.0.1; 0 lets the kernel choose.", 0);
    const auto &startMs
        = line.number("start-ms", "Milliseconds from a start order until the endpoint runs.", 200);
    const auto &stopMs
        = line.number("stop-ms", "Milliseconds from a stop order until the endpoint is gone.", 200);
    const auto &loads = line.number("loads-at-once",
                                    "Limit on concurrent loads reported by the weight store.", 2);
    line.parse(argc, argv);

    program program("standin-platform");
    platform_server platform(program.loop(), program.log(),
                             {.port = static_cast<std::uint16_t>(port.getValue()),
                              .startDelay = milliseconds(startMs.getValue()),
                              .stopDelay = milliseconds(stopMs.getValue()),
                              .loadsAtOnce = loads.getValue()});
    return program.run(platform.server());
}
