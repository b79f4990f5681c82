#include "agent/fencing_gate.h"

#include <fmt/format.h>

namespace mustardline {

auto fencing_gate::admit(std::string_view duty, std::uint64_t fencing) -> status
{
    const auto found = m_highestTokens.find(duty);
    if (found == m_highestTokens.end()) {
        if (m_highestTokens.size() >= m_options.maxDuties) {
            return error{.code = result_code::overloaded,
                         .message = "too many duties have sent orders"};
        }
        m_highestTokens.emplace(duty, fencing);
        return std::monostate();
    }
    if (fencing < found->second) {
        return error{.code = result_code::stale_fencing,
                     .message = fmt::format("the order carries {}, but {} was seen", fencing,
                                            found->second)};
    }
    found->second = fencing;
    return std::monostate();
}

} // namespace mustardline
