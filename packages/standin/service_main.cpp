// The program `standin-service`.

#include "standin/arguments.h"
#include "standin/service_server.h"

auto main(int argc, char **argv) -> int
{
    using namespace mustardline::standin;

    arguments line(
        "A stand-in plain HTTP service that records each execution, for tests and the demo.");
    const auto &port = line.number("port", "Port on 127.0.0.1; 0 lets the kernel choose.", 0);
    const auto &delayMs = line.number("delay-ms", "Milliseconds from execution to response.", 0);
    line.parse(argc, argv);

    program program("standin-service");
    service_server service(program, {.port = static_cast<std::uint16_t>(port.getValue()),
                                     .delay = std::chrono::milliseconds(delayMs.getValue())});
    return program.run(service.server());
}
