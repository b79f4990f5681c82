// The program `mustardline`: the entry process (`serve`) and the operators' commands.

#include <span>

#include "entry/command_line.h"

auto main(int argumentCount, char **arguments) -> int
{
    return mustardline::runCommandLine(
        std::span<char *const>(arguments, static_cast<std::size_t>(argumentCount)));
}
