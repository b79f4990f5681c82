#pragma once

// The part that every stand-in program has in common: its event loop, its log, the line that says
// which port it listens on, and a clean end by SIGTERM or SIGINT.
//
//     program program("standin-engine");
//     engine_server engine(program, options);
//     return program.run(engine.server());

#include <string>

#include "base/log.h"
#include "net/event_loop.h"
#include "net/http_server.h"

namespace mustardline::standin {

class program
{
public:
    explicit program(std::string name);

    [[nodiscard]] auto loop() -> event_loop & { return m_loop; }
    [[nodiscard]] auto log() -> logger & { return m_log; }

    // Opens the server and writes the `listening` line. False if the port cannot be had.
    [[nodiscard]] auto listen(http_server &server) -> bool;

    // Serves until a signal ends the program; the exit status of `main`.
    [[nodiscard]] auto run(http_server &server) -> int;

    // Ends the process at once, as a crash would: nothing is flushed and no connection is ended.
    [[noreturn]] auto die() -> void;

private:
    event_loop m_loop;
    logger m_log;
};

} // namespace mustardline::standin
