#include "agent/fencing_gate.h"

#include <fmt/format.h>

namespace mustardline {

auto fencing_gate::pass(std::string_view duty, std::uint64_t fencing) -> status
{
    const auto found = m_highest.find(duty);
    if (found == m_highest.end()) {
        if (m_highest.size() >= m_options.maxDuties) {
            return error{.code = result_code::overloaded,
                         .message = "too many duties have sent orders"};
        }
        m_highest.emplace(duty, fencing);
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
