#include "policy/account_places.h"

namespace mustardline {

auto account_places::take(std::string_view account) -> bool
{
    const auto found = m_accounts.find(account);
    const auto own = found == m_accounts.end() ? 0 : found->second;
    if (m_taken >= m_places - m_places / keptDivisor) {
        const auto accounts = m_accounts.size() + (own == 0 ? 1 : 0);
        // The share leaves room for one more account.
        const auto share = m_places / (accounts + 1);
        if (m_taken >= m_places || own >= share)
            return false;
    }
    if (found == m_accounts.end())
        m_accounts.emplace(account, 1);
    else
        ++found->second;
    ++m_taken;
    return true;
}

auto account_places::release(std::string_view account) -> void
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        return;
    --m_taken;
    if (--found->second == 0)
        m_accounts.erase(found);
}

} // namespace mustardline
