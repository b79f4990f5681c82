// The program `standin-engine`.

#include "standin/arguments.h"
#include "standin/engine_server.h"

auto main(int argc, char **argv) -> int
{
    using namespace mustardline::standin;
    using std::chrono::milliseconds;

    arguments line(
        "A stand-in model engine that generates placeholder tokens, for tests and the demo.");
    const auto &port = line.number("port", "Port on 127.0.0.1; 0 lets the kernel choose.", 0);
    const auto &model = line.text("model", "Name of the served model.", "small");
    const auto &firstTokenMs
        = line.number("first-token-ms", "Milliseconds to the first token, unloaded.", 20);
    const auto &tokenMs = line.number("token-ms", "Milliseconds between tokens, unloaded.", 5);
    const auto &tokens
        = line.number("tokens", "Response length when a request has no max_tokens.", 16);
    const auto &capacity
        = line.number("capacity", "Concurrent requests without overload when warm.", 32);
    const auto &cold = line.flag("cold", "Start with a cold engine.");
    const auto &coldCapacity
        = line.number("bearable", "Concurrent requests without overload when cold.", 2);
    const auto &maxRunning
        = line.number("max-running", "Running requests; further ones queue.", 256);
    const auto &lagMs = line.number(
        "report-lag-ms", "Milliseconds by which load reports and cache events lag.", 500);
    line.parse(argc, argv);

    program program("standin-engine");
    engine_server engine(program,
                         {.port = static_cast<std::uint16_t>(port.getValue()),
                          .model = model.getValue(),
                          .behaviour = {.firstToken = milliseconds(firstTokenMs.getValue()),
                                        .token = milliseconds(tokenMs.getValue()),
                                        .tokens = tokens.getValue(),
                                        .capacity = capacity.getValue(),
                                        .cold = cold.getValue(),
                                        .coldCapacity = coldCapacity.getValue()},
                          .maxRunning = maxRunning.getValue(),
                          .reportLag = milliseconds(lagMs.getValue())});
    return program.run(engine.server());
}
