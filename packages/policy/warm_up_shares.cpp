#include "policy/warm_up_shares.h"

#include <algorithm>

#include "base/hashing.h"
#include "policy/random.h"

namespace mustardline {

namespace {

// The place of an entry in the order of an endpoint; the highest goes first.
auto rankOf(std::uint64_t entry, std::uint64_t endpoint) -> std::uint64_t
{
    return random_source(entry ^ endpoint).next();
}

} // namespace

warm_up_shares::warm_up_shares(warm_up_options options) : m_options(std::move(options)) {}

auto warm_up_shares::setOthers(std::vector<std::string> names) -> bool
{
    std::ranges::sort(names);
    if (m_known && names == m_others)
        return false;
    m_known = true;
    m_others = std::move(names);
    m_otherHashes.clear();
    for (const auto &name : m_others)
        m_otherHashes.push_back(fastHash(name));
    return true;
}

auto warm_up_shares::partOf(std::string_view endpoint) const -> double
{
    if (!m_known)
        return 0;
    const auto place = fastHash(endpoint);
    const auto own = rankOf(fastHash(m_options.self), place);
    std::uint32_t before = 0;
    for (const auto other : m_otherHashes) {
        if (rankOf(other, place) > own && ++before == m_options.senders)
            return 0;
    }
    const auto entries = static_cast<std::uint32_t>(m_otherHashes.size()) + 1;
    return 1.0 / std::min(m_options.senders, entries);
}

} // namespace mustardline
