#include "entry/command_line.h"

#include <csignal>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "entry/entry_process.h"
#include "entry/operator_commands.h"
#include "entry/settings.h"
#include "forwarding/edge_settings.h"
#include "net/held_signals.h"
#include "platform/edge_program.h"

namespace mustardline {

namespace {

constexpr std::string_view version = "0.1.0";

constexpr std::string_view helpText
    = R"(mustardline routes language-model traffic with service levels and priorities.

Usage: mustardline COMMAND [OPTIONS]

  serve --settings FILE          run an entry process until SIGTERM
  edge [--settings FILE]         run an edge process on the users' platform until SIGTERM
  check-settings [--edge] FILE   check a settings file; print its first error, of an edge all that is found
  --version, --help

Operator commands; each takes --entry IP:PORT --token-file FILE and --json:
{}
"mustardline COMMAND --help" lists the options of a command.
Exit status: 0 success, 1 refused, 2 bad command line or settings, 3 cannot listen,
4 entry process not reached, 5 outcome of a change not known yet, 6 history not held by the entry
process.
)";

auto printError(const std::string &fileName, const error &failure) -> void
{
    fmt::print(stderr, "{}: {} ({} {})\n", fileName, failure.message, number(failure.code),
               describe(failure.code).name);
}

// Reads the settings; prints the error and returns nothing if they are invalid.
auto loadSettings(const std::string &fileName) -> std::optional<entry_settings>
{
    auto outcome = readEntrySettings(fileName);
    if (const auto *failure = failed(outcome)) {
        printError(fileName, *failure);
        return std::nullopt;
    }
    return std::move(std::get<entry_settings>(outcome));
}

auto serve(std::vector<std::string> &arguments) -> int
{
    holdSignals({SIGTERM, SIGINT});
    TCLAP::CmdLine line("Runs an entry process until SIGTERM.", ' ', std::string(version));
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file("s", "settings", "Settings file (JSON).", true, "", "FILE",
                                      line);
    line.parse(arguments);
    auto settings = loadSettings(file.getValue());
    if (!settings)
        return exitUsage;
    return entry_process(std::move(*settings)).run();
}

auto edge(std::vector<std::string> &arguments) -> int
{
    // Besides those with a meaning, signals that some program may send to an edge, and that would
    // end it. They stay held.
    holdSignals({SIGTERM, SIGHUP, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM});
    TCLAP::CmdLine line("Runs an edge process on the users' platform until SIGTERM.", ' ',
                        std::string(version));
    line.setExceptionHandling(false);
    const auto *defaultFile = std::getenv(platform::settingsVariable);
    TCLAP::ValueArg<std::string> file(
        "s", "settings",
        fmt::format("Settings file (JSON); defaults to the value of {}.",
                    platform::settingsVariable),
        defaultFile == nullptr, defaultFile == nullptr ? "" : defaultFile, "FILE", line);
    line.parse(arguments);
    return platform::runEdge(file.getValue());
}

// Prints every finding; returns whether the settings are usable.
auto checkEdgeFile(const std::string &fileName) -> bool
{
    const auto check = checkEdgeSettings(fileName);
    for (const auto &finding : check.findings) {
        if (finding.used)
            fmt::print("{}: {}; used: {}\n", fileName, finding.message, *finding.used);
        else
            printError(fileName, {.code = finding.code, .message = finding.message});
    }
    const auto *failure = failed(check.settings);
    if (failure != nullptr && check.findings.empty())
        printError(fileName, *failure);
    return failure == nullptr;
}

auto checkSettings(std::vector<std::string> &arguments) -> int
{
    TCLAP::CmdLine line("Checks a settings file.", ' ', std::string(version));
    line.setExceptionHandling(false);
    TCLAP::SwitchArg isEdge("", "edge", "The file holds the settings of an edge process.", line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "Settings file (JSON).", true, "", "FILE",
                                               line);
    line.parse(arguments);
    if (isEdge.getValue()) {
        if (!checkEdgeFile(file.getValue()))
            return exitUsage;
    } else if (!loadSettings(file.getValue())) {
        return exitUsage;
    }
    fmt::print("{}: the settings are usable\n", file.getValue());
    return exitSuccess;
}

auto dispatchCommand(std::vector<std::string> arguments) -> int
{
    const auto command = arguments[1];
    if (command == "edge") {
        arguments.erase(arguments.begin() + 1);
        return edge(arguments);
    }
    if (command == "serve" || command == "check-settings") {
        arguments.erase(arguments.begin() + 1);
        return command == "serve" ? serve(arguments) : checkSettings(arguments);
    }
    return runOperatorCommand(std::move(arguments));
}

} // namespace

auto runCommandLine(std::span<char *const> arguments) -> int
{
    std::vector<std::string> words(arguments.begin(), arguments.end());
    if (words.size() < 2 || words[1] == "--help" || words[1] == "-h" || words[1] == "help") {
        fmt::print(helpText, operatorCommandList());
        return words.size() < 2 ? exitUsage : exitSuccess;
    }
    if (words[1] == "--version") {
        fmt::print("mustardline {}\n", version);
        return exitSuccess;
    }
    try {
        return dispatchCommand(std::move(words));
    } catch (const TCLAP::ExitException &ended) {
        return ended.getExitStatus();
    } catch (const TCLAP::ArgException &failure) {
        fmt::print(stderr, "mustardline: {} {}\n", failure.error(), failure.argId());
        return exitUsage;
    }
}

} // namespace mustardline
