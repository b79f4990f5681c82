#pragma once

// Refuses endpoint orders of a lease holder that has been succeeded, for endpoints that do not
// check fencing tokens themselves.
//
//     fencing_gate gate;
//     const auto outcome = gate.admit("orders/tuzla", 17);   // `stale_fencing` if 18 was seen
//
// The highest token of each duty is kept in memory only: after a restart the first order of a duty
// is accepted whatever its token is.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"

namespace mustardline {

struct fencing_gate_options
{
    // Maximum number of duties tracked; an order of a further duty is refused.
    std::size_t maxDuties = 256;
};

class fencing_gate
{
public:
    explicit fencing_gate(fencing_gate_options options = {}) : m_options(options) {}

    // Checks whether an order with this fencing token may go to the endpoint, and records the
    // token. Fails with `stale_fencing` for a token below the highest one of the duty.
    [[nodiscard]] auto admit(std::string_view duty, std::uint64_t fencing) -> status;

private:
    fencing_gate_options m_options;
    std::map<std::string, std::uint64_t, std::less<>> m_highestTokens;
};

} // namespace mustardline
