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
    row.lanes.clear();
    for (const auto &needs : state.lanes()) {
        row.lanes[needs.target()]
            = {.lanes = {{{.reading = needs.short_reading(), .holding = needs.short_holding()},
                          {.reading = needs.long_reading(), .holding = needs.long_holding()}}}};
    }
    clearUses(row);
    for (const auto &use : state.uses()) {
        const endpoint_use used{.inFlight = use.in_flight(), .promptTokens = use.prompt_tokens()};
        row.uses.emplace_back(use.endpoint(), used);
        auto &sum = m_sums[use.endpoint()];
        sum.inFlight += used.inFlight;
        sum.promptTokens += used.promptTokens;
        m_changed.insert(use.endpoint());
    }
    if (row.address.port != 0)
        m_addresses[row.address] = now;
    for (const auto &peer : state.peers())
        learnt(parseAddress(peer), now);
    return true;
}

auto peer_table::clearUses(peer_row &row) -> void
{
    for (const auto &[endpoint, used] : row.uses) {
        // An edge may have told of no use at all, which leaves no sum.
        const auto sum = m_sums.find(endpoint);
        if (sum == m_sums.end())
            continue;
        sum->second.inFlight -= used.inFlight;
        sum->second.promptTokens -= used.promptTokens;
        if (sum->second.inFlight == 0 && sum->second.promptTokens == 0)
            m_sums.erase(sum);
        m_changed.insert(endpoint);
    }
    row.uses.clear();
}

auto peer_table::tick(time_point now) -> void
{
    for (auto &[name, row] : m_rows) {
        if (now - row.heardAt > silence())
            clearUses(row);
    }
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
    const auto rounds = (addresses.size() + m_options.roundSize - 1) / m_options.roundSize;
    m_rounds = std::clamp<std::size_t>(rounds, 1, mostRounds);
    return addresses;
}

auto peer_table::addressesInTurn(time_point now) -> std::vector<socket_address>
{
    const auto all = addresses(now);
    const auto turn = m_round++ % m_rounds;
    std::vector<socket_address> chosen;
    for (auto at = turn; at < all.size(); at += m_rounds)
        chosen.push_back(all[at]);
    return chosen;
}

auto peer_table::liveCount(time_point now) const -> std::uint32_t
{
    const auto live = std::ranges::count_if(
        m_rows, [this, now](const auto &item) { return isLive(item.second, now); });
    return static_cast<std::uint32_t>(live) + 1;
}

auto peer_table::bestInformed(time_point now) -> const peer_row *
{
    std::vector<const peer_row *> best;
    for (const auto &[name, row] : m_rows) {
        if (!isLive(row, now) || row.configurationVersion == 0)
            continue;
        if (!best.empty() && row.configurationVersion > best.front()->configurationVersion)
            best.clear();
        if (best.empty() || row.configurationVersion == best.front()->configurationVersion)
            best.push_back(&row);
    }
    return best.empty() ? nullptr : best[m_asked++ % best.size()];
}

auto peer_table::rank(time_point now) const -> std::uint32_t
{
    const auto before = std::ranges::count_if(m_rows, [this, now](const auto &item) {
        return item.first < m_options.name && isLive(item.second, now);
    });
    return static_cast<std::uint32_t>(before);
}

auto peer_table::sharingCount(time_point now) const -> std::uint32_t
{
    const auto sharing = std::ranges::count_if(m_rows, [this, now](const auto &item) {
        return now - item.second.heardAt <= m_options.sharing;
    });
    const auto count = static_cast<std::uint32_t>(sharing) + 1;
    return isSettled(now) ? count : std::max(count, m_options.assumedCount);
}

auto peer_table::knownNames(time_point now) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, row] : m_rows) {
        if (now - row.heardAt <= m_options.forgetting)
            names.push_back(name);
    }
    return names;
}

auto peer_table::usesOf(const std::string &endpoint) const -> endpoint_use
{
    const auto sum = m_sums.find(endpoint);
    return sum == m_sums.end() ? endpoint_use() : sum->second;
}

auto peer_table::laneDemand(time_point now) const -> std::map<std::string, lane_needs>
{
    std::map<std::string, lane_needs> sums;
    for (const auto &[name, row] : m_rows) {
        if (!isLive(row, now))
            continue;
        for (const auto &[target, needs] : row.lanes)
            sums[target] += needs;
    }
    return sums;
}

auto peer_table::someAddresses(std::size_t most, time_point now) -> std::vector<socket_address>
{
    std::vector<socket_address> addresses;
    auto next = m_rows.upper_bound(m_lastNamed);
    for (std::size_t seen = 0; seen < m_rows.size() && addresses.size() < most; ++seen, ++next) {
        if (next == m_rows.end())
            next = m_rows.begin();
        m_lastNamed = next->first;
        if (isLive(next->second, now))
            addresses.push_back(next->second.address);
    }
    return addresses;
}

} // namespace mustardline
