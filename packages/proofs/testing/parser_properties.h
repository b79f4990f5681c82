#pragma once

// What must hold of our parsers for any bytes: those that callers, endpoints and the log send.
// Property tests feed them seeded mutations, and a libFuzzer program whatever it finds.
//
//     const auto fault = parser_properties().callerRequest(bytes);
//     EXPECT_EQ(fault, "");
//
// Each function describes the property that does not hold, or returns an empty text.

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
    // is admitted only for the account of the key in its header, and no key goes on.
    [[nodiscard]] auto callerRequest(std::string_view bytes) const -> std::string;
    // Bytes: lines of headers. What is accepted is within its ranges.
    [[nodiscard]] static auto runRequest(std::string_view bytes) -> std::string;
    // Bytes of a stream. Its division changes nothing, and it ends only with its last event.
    [[nodiscard]] static auto stream(std::string_view bytes) -> std::string;
    // Bytes of records, each after its length in two bytes. Folds agree, a repeated record changes
    // nothing, and a snapshot stands for what it covers.
    [[nodiscard]] static auto records(std::string_view bytes) -> std::string;

    // Well-formed bytes to start from, one for each function in the order above.
    [[nodiscard]] auto sample(std::size_t function) const -> std::string;
    // Calls one of the functions by number.
    [[nodiscard]] auto check(std::size_t function, std::string_view bytes) const -> std::string;

    static constexpr std::size_t functionCount = 4;

private:
    configuration m_config;
    std::string m_key;
};

} // namespace mustardline::proofs
