// Main program of mustardline-agent; docs/settings-agent.md describes its settings and exit
// statuses.

#include <csignal>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "agent/agent_process.h"
#include "net/held_signals.h"

namespace mustardline {
namespace {

constexpr auto agentVersion = MUSTARDLINE_VERSION;

auto exitWith(agent_exit exit) -> int
{
    return static_cast<int>(exit);
}

auto runAgent(int argc, const char *const *argv) -> int
{
    holdSignals({SIGTERM, SIGINT});
    TCLAP::CmdLine line("Agent process of one model engine or plain service; forwards all requests "
                        "to it.",
                        ' ', agentVersion);
    const TCLAP::ValueArg<std::string> file("", "settings", "Settings file, in JSON.", true, "",
                                            "FILE", line);
    const TCLAP::SwitchArg checkOnly("", "check-settings",
                                     "Checks the settings file and stops: status 0 or 3.", line);
    line.setExceptionHandling(false);
    try {
        line.parse(argc, argv);
    } catch (const TCLAP::ExitException &done) {
        return done.getExitStatus();
    } catch (const TCLAP::ArgException &failure) {
        fmt::print(stderr, "mustardline-agent: {} {}\n", failure.error(), failure.argId());
        return exitWith(agent_exit::bad_command_line);
    }
    const auto settings = readAgentSettings(file.getValue());
    if (const auto *failure = failed(settings)) {
        fmt::print(stderr, "mustardline-agent: {}: {} ({} {})\n", file.getValue(), failure->message,
                   number(failure->code), describe(failure->code).name);
        return exitWith(agent_exit::bad_settings);
    }
    if (checkOnly.getValue())
        return exitWith(agent_exit::ok);
    // Writing to a connection that the peer has closed must fail that call, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    agent_process agent(std::get<agent_settings>(settings));
    return exitWith(agent.run());
}

} // namespace
} // namespace mustardline

auto main(int argc, char **argv) -> int
{
    return mustardline::runAgent(argc, argv);
}
