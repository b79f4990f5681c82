#pragma once

// Holds back endpoint orders of a lease holder that has been succeeded, for endpoints that do not
// check fencing numbers themselves.
//
//     fencing_gate gate;
//     const auto verdict = gate.pass("orders/tuzla", 17);   // `stale_fencing` if 18 was seen
//
// The numbers are remembered per duty for the life of the process. After a restart the first order
// of a duty passes whatever its number is.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"

namespace mustardline {

struct fencing_gate_options
{
    // Duties remembered; an order of a further duty is refused.
    std::size_t maxDuties = 256;
};

class fencing_gate
{
public:
    explicit fencing_gate(fencing_gate_options options = {}) : m_options(options) {}

    // Whether an order with this number may go to the endpoint.
    [[nodiscard]] auto pass(std::string_view duty, std::uint64_t fencing) -> status;

private:
    fencing_gate_options m_options;
    std::map<std::string, std::uint64_t, std::less<>> m_highest;
};

} // namespace mustardline
