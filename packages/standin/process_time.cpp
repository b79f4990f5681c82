#include "standin/process_time.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

namespace mustardline::standin {

auto processTime(pid_t pid) -> duration
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    // The second field, the name in parentheses, may contain spaces and parentheses, so parsing
    // starts after the last one; index 0 is the process state.
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return {};
    std::istringstream rest(text.substr(nameEnd + 1));
    const std::vector<std::string> fields{std::istream_iterator<std::string>(rest), {}};
    constexpr std::size_t userField = 11;
    constexpr std::size_t systemField = 12;
    if (fields.size() <= systemField)
        return {};
    const auto ticks = std::stoll(fields[userField]) + std::stoll(fields[systemField]);
    return duration(std::chrono::seconds(1)) * ticks / sysconf(_SC_CLK_TCK);
}

} // namespace mustardline::standin
