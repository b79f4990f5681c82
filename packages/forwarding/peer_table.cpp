#include "forwarding/peer_table.h"

#include <algorithm>

namespace mustardline {

peer_table::peer_table(peer_table_options options, time_point now)
    : m_options(std::move(options)), m_startedAt(now)
{
    for (const auto &seed : m_options.seeds)
        learnt(seed, now);
}

auto peer_table::heard(const v1::EdgeState &state, time_point now) -> bool
{
    if (state.name().empty() || state.name() == m_options.name)
        return false;
    auto &row = m_rows[state.name()];
    if (row.boot == state.boot() && state.sequence() <= row.sequence)
        return false;
    row.boot = state.boot();
    row.sequence = state.sequence();
    row.address = parseAddress(state.address());
    row.heardAt = now;
    row.leaving = state.leaving();
    row.configurationVersion = state.configuration_version();
    row.uses.clear();
    for (const auto &use : state.uses())
        row.uses[use.endpoint()]
            = {.inFlight = use.in_flight(), .promptTokens = use.prompt_tokens()};
    if (row.address.port != 0)
        m_addresses[row.address] = now;
    for (const auto &peer : state.peers())
        learnt(parseAddress(peer), now);
    return true;
}

auto peer_table::learnt(const socket_address &address, time_point now) -> void
{
    if (address.port != 0)
        m_addresses.try_emplace(address, now);
}

auto peer_table::addresses(time_point now) -> std::vector<socket_address>
{
    std::erase_if(m_addresses, [this, now](const auto &item) {
        return now - item.second > m_options.forgetting;
    });
    for (const auto &seed : m_options.seeds)
        learnt(seed, now);
    std::vector<socket_address> addresses;
    for (const auto &[address, at] : m_addresses)
        addresses.push_back(address);
    return addresses;
}

auto peer_table::liveCount(time_point now) const -> std::uint32_t
{
    const auto live = std::ranges::count_if(
        m_rows, [this, now](const auto &item) { return isLive(item.second, now); });
    return static_cast<std::uint32_t>(live) + 1;
}

auto peer_table::sharingCount(time_point now) const -> std::uint32_t
{
    const auto sharing = std::ranges::count_if(m_rows, [this, now](const auto &item) {
        return now - item.second.heardAt <= m_options.sharing;
    });
    const auto count = static_cast<std::uint32_t>(sharing) + 1;
    const bool settled = now - m_startedAt > m_options.settling;
    return settled ? count : std::max(count, m_options.assumedCount);
}

auto peer_table::usesOf(const std::string &endpoint, time_point now) const -> endpoint_use
{
    endpoint_use sum;
    for (const auto &[name, row] : m_rows) {
        if (now - row.heardAt > m_options.silence)
            continue;
        const auto use = row.uses.find(endpoint);
        if (use == row.uses.end())
            continue;
        sum.inFlight += use->second.inFlight;
        sum.promptTokens += use->second.promptTokens;
    }
    return sum;
}

} // namespace mustardline
