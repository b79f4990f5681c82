#pragma once

// Command lines of the stand-ins, by TCLAP.
//
//     arguments line("standin-engine", "A stand-in model engine.");
//     auto &port = line.number("port", "Port to listen on; 0 lets the kernel choose.", 0, 65535);
//     line.parse(argc, argv);
//     options.port = port.getValue();
//
// A bad command line ends the program with a message and status 1; --help and --version with 0.

#include <cstdint>
#include <deque>
#include <string>

#include <tclap/CmdLine.h>

namespace mustardline::standin {

class arguments
{
public:
    explicit arguments(const std::string &meaning) : m_line(meaning, ' ', "0.1.0") {}

    auto number(const std::string &name, const std::string &meaning, std::uint32_t fallback)
        -> const TCLAP::ValueArg<std::uint32_t> &
    {
        return m_numbers.emplace_back("", name, meaning, false, fallback, "number", m_line);
    }

    auto text(const std::string &name, const std::string &meaning, const std::string &fallback)
        -> const TCLAP::ValueArg<std::string> &
    {
        return m_texts.emplace_back("", name, meaning, false, fallback, "text", m_line);
    }

    auto flag(const std::string &name, const std::string &meaning) -> const TCLAP::SwitchArg &
    {
        return m_flags.emplace_back("", name, meaning, m_line);
    }

    auto parse(int argc, const char *const *argv) -> void { m_line.parse(argc, argv); }

private:
    TCLAP::CmdLine m_line;
    std::deque<TCLAP::ValueArg<std::uint32_t>> m_numbers;
    std::deque<TCLAP::ValueArg<std::string>> m_texts;
    std::deque<TCLAP::SwitchArg> m_flags;
};

} // namespace mustardline::standin
