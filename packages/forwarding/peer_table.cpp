#include "forwarding/peer_table.h"

#include <algorithm>
#include <iterator>

namespace mustardline {

namespace {

// Longer names are mistakes of the sender.
constexpr std::size_t maxNameBytes = 255;
constexpr std::size_t maxHostBytes = 64;
// Memory for an item of load in a row and in the sums, without its name, which is kept twice.
constexpr std::size_t itemBytes = 200;

auto demandOf(const v1::LaneNeeds &needs) -> lane_demand
{
    lane_demand demand{.lanes
                       = {{{.prefill = needs.short_reading(), .occupancy = needs.short_holding()},
                           {.prefill = needs.long_reading(), .occupancy = needs.long_holding()}}}};
    if (needs.unplaced_tier() > 0)
        demand.unplaced = {.tier = needs.unplaced_tier(), .priority = needs.unplaced_priority()};
    return demand;
}

} // namespace

peer_table::peer_table(peer_table_options options, time_point now)
    : m_options(std::move(options)), m_startedAt(now)
{
    for (const auto &seed : m_options.seeds)
        addAddress(seed, now);
}

auto peer_table::isAcceptable(const v1::EdgeState &state) const -> bool
{
    if (state.name().empty() || state.name() == m_options.name)
        return false;
    if (state.name().size() > maxNameBytes || state.boot().size() > maxNameBytes)
        return false;
    return m_rows.size() < m_options.maxEdges || m_rows.contains(state.name());
}

auto peer_table::applyState(const v1::EdgeState &state, time_point now) -> bool
{
    if (!isAcceptable(state))
        return false;
    auto &row = m_rows[state.name()];
    if (row.boot == state.boot() && state.sequence() <= row.sequence)
        return false;
    row.boot = state.boot();
    row.sequence = state.sequence();
    row.address = parseAddress(state.address());
    row.lastMessageAt = now;
    row.leaving = state.leaving();
    row.configurationVersion = state.configuration_version();
    row.keptRecords = state.kept_records();
    setLoad(row, state);
    keepAddress(row.address, now, 2 * m_options.maxNamedAddresses);
    for (const auto &peer : state.peers())
        addAddress(parseAddress(peer), now);
    return true;
}

auto peer_table::reserve(peer_row &row, const std::string &name) -> bool
{
    const auto bytes = itemBytes + 2 * name.size();
    if (name.size() > maxNameBytes || m_loadBytes + bytes > m_options.maxLoadBytes)
        return false;
    m_loadBytes += bytes;
    row.loadBytes += bytes;
    return true;
}

auto peer_table::setLoad(peer_row &row, const v1::EdgeState &state) -> void
{
    clearLoad(row);
    for (const auto &needs : state.lanes()) {
        if (reserve(row, needs.target()))
            row.lanes[needs.target()] = demandOf(needs);
    }
    for (const auto &use : state.uses()) {
        if (!reserve(row, use.endpoint()))
            continue;
        const endpoint_use used{.inFlight = use.in_flight(), .promptTokens = use.prompt_tokens()};
        row.uses.emplace_back(use.endpoint(), used);
        auto &sum = m_useSums[use.endpoint()];
        sum.inFlight += used.inFlight;
        sum.promptTokens += used.promptTokens;
        m_changed.insert(use.endpoint());
    }
}

auto peer_table::clearLoad(peer_row &row) -> void
{
    for (const auto &[endpoint, used] : row.uses) {
        // An edge may have announced zero load, which leaves no sum.
        const auto sum = m_useSums.find(endpoint);
        if (sum == m_useSums.end())
            continue;
        sum->second.inFlight -= used.inFlight;
        sum->second.promptTokens -= used.promptTokens;
        if (sum->second.inFlight == 0 && sum->second.promptTokens == 0)
            m_useSums.erase(sum);
        m_changed.insert(endpoint);
    }
    m_loadBytes -= std::exchange(row.loadBytes, 0);
    row.lanes.clear();
    // Frees the memory of a row that was large once.
    row.uses = {};
}

auto peer_table::tick(time_point now) -> void
{
    for (auto next = m_rows.begin(); next != m_rows.end();) {
        auto &row = next->second;
        const auto silence = now - row.lastMessageAt;
        const bool isForgotten = silence > m_options.addressTtl;
        if (isForgotten || silence > livenessTimeout())
            clearLoad(row);
        next = isForgotten ? m_rows.erase(next) : std::next(next);
    }
}

auto peer_table::addAddress(const socket_address &address, time_point now) -> void
{
    if (!m_addresses.contains(address))
        keepAddress(address, now, m_options.maxNamedAddresses);
}

auto peer_table::keepAddress(const socket_address &address, time_point now,
                             std::size_t maxAddresses) -> void
{
    if (address.port == 0 || address.host.size() > maxHostBytes)
        return;
    if (m_addresses.size() < maxAddresses || m_addresses.contains(address))
        m_addresses[address] = now;
}

auto peer_table::addresses(time_point now) -> std::vector<socket_address>
{
    std::erase_if(m_addresses, [this, now](const auto &item) {
        return now - item.second > m_options.addressTtl;
    });
    for (const auto &seed : m_options.seeds)
        addAddress(seed, now);
    std::vector<socket_address> addresses;
    for (const auto &[address, at] : m_addresses)
        addresses.push_back(address);
    const auto rounds = (addresses.size() + m_options.roundSize - 1) / m_options.roundSize;
    m_rounds = std::clamp<std::size_t>(rounds, 1, maxRounds);
    return addresses;
}

auto peer_table::nextRoundAddresses(time_point now) -> std::vector<socket_address>
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

auto peer_table::newestConfiguredPeer(time_point now) -> const peer_row *
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
    return best.empty() ? nullptr : best[m_newestConfiguredCalls++ % best.size()];
}

auto peer_table::keepingPeer(time_point now) const -> const peer_row *
{
    const peer_row *best = nullptr;
    for (const auto &[name, row] : m_rows) {
        if (isLive(row, now) && row.keptRecords > (best == nullptr ? 0 : best->keptRecords))
            best = &row;
    }
    return best;
}

auto peer_table::rank(time_point now) const -> std::uint32_t
{
    const auto before = std::ranges::count_if(m_rows, [this, now](const auto &item) {
        return item.first < m_options.name && isLive(item.second, now);
    });
    return static_cast<std::uint32_t>(before);
}

auto peer_table::budgetSharerCount(time_point now) const -> std::uint32_t
{
    const auto sharing = std::ranges::count_if(m_rows, [this, now](const auto &item) {
        return now - item.second.lastMessageAt <= m_options.sharingPeriod;
    });
    const auto count = static_cast<std::uint32_t>(sharing) + 1;
    return isPastStartup(now) ? count : std::max(count, m_options.assumedEdgeCount);
}

auto peer_table::knownNames(time_point now) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, row] : m_rows) {
        if (now - row.lastMessageAt <= m_options.addressTtl)
            names.push_back(name);
    }
    return names;
}

auto peer_table::expectedPeers(time_point now) const -> std::uint32_t
{
    const auto known = static_cast<std::uint32_t>(knownNames(now).size());
    const bool hasSeeds = !m_options.seeds.empty() && !isPastStartup(now);
    return std::max(known, hasSeeds ? 1U : 0U);
}

auto peer_table::peerUseOf(const std::string &endpoint) const -> endpoint_use
{
    const auto sum = m_useSums.find(endpoint);
    return sum == m_useSums.end() ? endpoint_use() : sum->second;
}

auto peer_table::laneDemand(time_point now) const -> std::map<std::string, lane_demand>
{
    std::map<std::string, lane_demand> sums;
    for (const auto &[name, row] : m_rows) {
        if (!isLive(row, now))
            continue;
        for (const auto &[target, needs] : row.lanes)
            sums[target] += needs;
    }
    return sums;
}

auto peer_table::rotateAddresses(std::size_t maxCount, time_point now)
    -> std::vector<socket_address>
{
    std::vector<socket_address> addresses;
    auto next = m_rows.upper_bound(m_lastRotatedName);
    for (std::size_t visited = 0; visited < m_rows.size() && addresses.size() < maxCount;
         ++visited, ++next) {
        if (next == m_rows.end())
            next = m_rows.begin();
        m_lastRotatedName = next->first;
        if (isLive(next->second, now))
            addresses.push_back(next->second.address);
    }
    return addresses;
}

} // namespace mustardline
