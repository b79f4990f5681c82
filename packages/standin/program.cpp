#include "standin/program.h"

#include <csignal>
#include <cstdlib>
#include <utility>

#include "standin/events.h"

namespace mustardline::standin {

namespace {

// Exit status after `die`.
constexpr int dieExitStatus = 70;

} // namespace

program::program(std::string name) : m_log({.process = std::move(name)})
{
    for (const auto number : {SIGTERM, SIGINT}) {
        m_loop.onSignal(number, [this, number] {
            m_log.write(stopped, field("signal", number));
            m_loop.stop();
        });
    }
}

auto program::listen(http_server &server) -> bool
{
    const auto port = server.listen();
    if (const auto *failure = failed(port)) {
        m_log.write(listenFailed, field("reason", failure->message));
        return false;
    }
    m_log.write(listening, field("port", std::get<std::uint16_t>(port)));
    return true;
}

auto program::run(http_server &server) -> int
{
    if (!listen(server))
        return EXIT_FAILURE;
    m_loop.run();
    return EXIT_SUCCESS;
}

auto program::die() -> void
{
    m_log.write(diedOnPurpose);
    std::_Exit(dieExitStatus);
}

} // namespace mustardline::standin
