#pragma once

// Command-line parsing for the stand-ins; wraps TCLAP.
//
//     arguments line("standin-engine", "A stand-in model engine.");
//     auto &port = line.number("port", "Port to listen on; 0 lets the kernel choose.", 0, 65535);
//     line.parse(argc, argv);
//     options.port = port.getValue();
//
// An invalid command line exits with a message and status 1; --help and --version exit with 0.

#include <cstdint>
#include <deque>
#include <string>

#include <tclap/CmdLine.h>

namespace mustardline::standin {

class arguments
{
public:
    explicit arguments(const std::string &description) : m_line(description, ' ', "0.1.0") {}

    auto number(const std::string &name, const std::string &description, std::uint32_t defaultValue)
        -> const TCLAP::ValueArg<std::uint32_t> &
    {
        return m_numbers.emplace_back("", name, description, false, defaultValue, "number", m_line);
    }

    auto text(const std::string &name, const std::string &description,
              const std::string &defaultValue) -> const TCLAP::ValueArg<std::string> &
    {
        return m_texts.emplace_back("", name, description, false, defaultValue, "text", m_line);
    }

    auto flag(const std::string &name, const std::string &description) -> const TCLAP::SwitchArg &
    {
        return m_flags.emplace_back("", name, description, m_line);
    }

    auto parse(int argc, const char *const *argv) -> void { m_line.parse(argc, argv); }

private:
    TCLAP::CmdLine m_line;
    std::deque<TCLAP::ValueArg<std::uint32_t>> m_numbers;
    std::deque<TCLAP::ValueArg<std::string>> m_texts;
    std::deque<TCLAP::SwitchArg> m_flags;
};

} // namespace mustardline::standin
