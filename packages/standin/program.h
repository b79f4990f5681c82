#pragma once

// What all stand-in programs share: event loop, logger, the log line with the listening port, and a
// clean shutdown on SIGTERM or SIGINT.
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

    // Opens the server's port and logs `listening`. False if the port is not available.
    [[nodiscard]] auto listen(http_server &server) -> bool;

    // Serves until SIGTERM or SIGINT; returns the exit status for `main`.
    [[nodiscard]] auto run(http_server &server) -> int;

    // Exits at once, as in a crash: no buffer is flushed and no connection is shut down cleanly.
    [[noreturn]] auto die() -> void;

private:
    event_loop m_loop;
    logger m_log;
};

} // namespace mustardline::standin
