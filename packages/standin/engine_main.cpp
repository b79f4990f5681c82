// The program `standin-engine`.

#include "standin/arguments.h"
#include "standin/engine_server.h"

auto main(int argc, char **argv) -> int
{
    using namespace mustardline::standin;
    using std::chrono::milliseconds;

    arguments line("A model engine that answers with made-up tokens, for tests and the demo.");
    const auto &port = line.number("port", "Port on 127.0.0.1; 0 lets the kernel choose.", 0);
    const auto &model = line.text("model", "The model that it serves.", "small");
    const auto &firstTokenMs = line.number("first-token-ms", "Time to the first token.", 20);
    const auto &tokenMs = line.number("token-ms", "Time between tokens.", 5);
    const auto &tokens = line.number("tokens", "Tokens of an answer without max_tokens.", 16);
    const auto &capacity = line.number("capacity", "Requests that it bears when warm.", 32);
    const auto &cold = line.flag("cold", "Starts cold.");
    const auto &bearable = line.number("bearable", "Requests that it bears when cold.", 2);
    const auto &maxRunning = line.number("max-running", "Requests beyond this wait.", 256);
    const auto &lagMs = line.number("report-lag-ms", "Lag of load reports and cache events.", 500);
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
                                        .bearable = bearable.getValue()},
                          .maxRunning = maxRunning.getValue(),
                          .reportLag = milliseconds(lagMs.getValue())});
    return program.run(engine.server());
}
