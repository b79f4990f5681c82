#pragma once

// Properties that the parsers of input from callers, endpoints and the log must have for any bytes.
// Property tests feed them seeded mutations, and a libFuzzer program feeds them what it generates.
//
//     const auto failure = parser_properties().callerRequest(bytes);
//     EXPECT_EQ(failure, "");
//
// Each function returns a description of the property that does not hold, or an empty string.

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/configuration.h"

namespace mustardline::proofs {

class parser_properties
{
public:
    parser_properties();

    // Bytes: lines of method, path, query and headers up to an empty line, then the body. A request
    // is admitted only for the account of the key in its header, and no key is passed on.
    [[nodiscard]] auto callerRequest(std::string_view bytes) const -> std::string;
    // Bytes: lines of headers. Accepted values are within their ranges.
    [[nodiscard]] static auto runRequest(std::string_view bytes) -> std::string;
    // Bytes of an event stream. How it is split into reads changes nothing, and it counts as ended
    // only after its last event.
    [[nodiscard]] static auto stream(std::string_view bytes) -> std::string;
    // Bytes of records, each preceded by its length in two bytes. Two states built from the same
    // records are equal, a duplicate record changes nothing, and a snapshot restores the state.
    [[nodiscard]] static auto records(std::string_view bytes) -> std::string;

    // Well-formed input for a function, numbered in the order above.
    [[nodiscard]] auto sample(std::size_t function) const -> std::string;
    // Calls one of the functions by number.
    [[nodiscard]] auto check(std::size_t function, std::string_view bytes) const -> std::string;

    static constexpr std::size_t functionCount = 4;

private:
    configuration m_config;
    std::string m_key;
};

} // namespace mustardline::proofs
