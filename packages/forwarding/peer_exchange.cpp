#include "forwarding/peer_exchange.h"

#include "forwarding/snapshot_exchange.h"

namespace mustardline {

namespace {

// Number of usage windows in a message: the current one and those whose report is not due yet.
constexpr std::int64_t announcedWindows = 3;
// Number of peer addresses in a message. Each message names different ones, so that all are named
// within the 30 s for which an address is kept, given two messages a second from each edge.
constexpr std::size_t announcedPeers = 8;

// Later times, the year 10000 and beyond, are mistakes of the sender; arithmetic on them could
// overflow.
constexpr std::int64_t lastUnixMs = 253'402'300'800'000;

// Larger updates are not forwarded; the other edges read them from the log themselves.
constexpr std::size_t maxUpdateBytes = 32U << 10U;

auto addUpdates(v1::EdgeState &state, const endpoint_updates &updates) -> void
{
    auto *message = state.mutable_news();
    message->set_from(updates.from.offset);
    message->set_end(updates.end.offset);
    message->set_era(updates.end.era);
    for (const auto &record : updates.records)
        *message->add_records() = toMessage(record);
    if (message->ByteSizeLong() > maxUpdateBytes)
        state.clear_news();
}

auto addLanes(v1::EdgeState &state, const std::string &target, const lane_demand &needs) -> void
{
    auto *message = state.add_lanes();
    message->set_target(target);
    message->set_short_reading(needs.lanes[0].prefill);
    message->set_short_holding(needs.lanes[0].occupancy);
    message->set_long_reading(needs.lanes[1].prefill);
    message->set_long_holding(needs.lanes[1].occupancy);
    if (needs.unplaced == service_order())
        return;
    message->set_unplaced_tier(needs.unplaced.tier);
    message->set_unplaced_priority(needs.unplaced.priority);
}

auto addPromptParts(v1::EdgeState &state, const prompt_part_report &report) -> void
{
    for (const auto &suspect : report.suspects) {
        auto *message = state.add_suspected_parts();
        message->set_part(suspect.part);
        message->mutable_crashes()->Assign(suspect.crashes.begin(), suspect.crashes.end());
    }
    state.mutable_sound_parts()->Assign(report.sound.begin(), report.sound.end());
}

auto promptPartsOf(const v1::EdgeState &state) -> prompt_part_report
{
    prompt_part_report report{.sound = {state.sound_parts().begin(), state.sound_parts().end()}};
    for (const auto &item : state.suspected_parts())
        report.suspects.push_back(
            {.part = item.part(), .crashes = {item.crashes().begin(), item.crashes().end()}});
    return report;
}

auto addVersionCounts(v1::EdgeState &state, const service_rollout_report &item) -> void
{
    const auto add = [&](const std::string &route, rollout_version version) {
        auto *message = state.add_version_counts();
        message->set_service(item.service);
        message->set_rollout(item.order);
        message->set_route(route);
        if (version == rollout_version::after)
            message->set_version(item.version);
        return message;
    };
    add("", rollout_version::after)->set_moved(item.report.hasMoved);
    for (const auto &[route, versions] : item.report.counts) {
        for (const auto version : {rollout_version::before, rollout_version::after}) {
            const auto &counts = versions[static_cast<std::size_t>(version)];
            auto *message = add(route, version);
            message->set_sent(counts.sent);
            message->set_answered(counts.answered);
            message->set_failed(counts.failed);
            message->set_slow(counts.slow);
        }
    }
}

auto rolloutsOf(const v1::EdgeState &state) -> std::vector<service_rollout_report>
{
    std::map<std::pair<std::string, std::uint64_t>, service_rollout_report> reports;
    for (const auto &item : state.version_counts()) {
        auto &found = reports[{item.service(), item.rollout()}];
        found.service = item.service();
        found.order = item.rollout();
        if (item.route().empty()) {
            found.version = item.version();
            found.report.hasMoved = item.moved();
            continue;
        }
        const auto version
            = item.version().empty() ? rollout_version::before : rollout_version::after;
        found.report.counts[item.route()][static_cast<std::size_t>(version)]
            = {.sent = item.sent(),
               .answered = item.answered(),
               .failed = item.failed(),
               .slow = item.slow()};
    }
    std::vector<service_rollout_report> items;
    items.reserve(reports.size());
    for (auto &[key, report] : reports)
        items.push_back(std::move(report));
    return items;
}

auto addPaces(v1::EdgeState &state, const std::vector<endpoint_pace_report> &paces) -> void
{
    for (const auto &report : paces) {
        auto *message = state.add_paces();
        message->set_endpoint(report.endpoint);
        message->set_speed(static_cast<float>(report.pace.speed));
        message->set_samples(static_cast<float>(report.pace.samples));
    }
}

auto pacesOf(const v1::EdgeState &state) -> std::vector<endpoint_pace_report>
{
    std::vector<endpoint_pace_report> paces;
    paces.reserve(static_cast<std::size_t>(state.paces_size()));
    for (const auto &item : state.paces())
        paces.push_back({.endpoint = item.endpoint(),
                         .pace = {.speed = item.speed(), .samples = item.samples()}});
    return paces;
}

auto updatesOf(const v1::EndpointNews &message) -> endpoint_updates
{
    endpoint_updates updates{.from = {.era = message.era(), .offset = message.from()},
                             .end = {.era = message.era(), .offset = message.end()}};
    for (const auto &item : message.records())
        updates.records.push_back(fromMessage(item));
    return updates;
}

} // namespace

peer_exchange::peer_exchange(event_loop &loop, peer_exchange_options options, peer_table &peers,
                             usage_windows &usage, wall_clock_estimator &wallClock)
    : m_options(std::move(options)),
      m_peers(peers),
      m_usage(usage),
      m_wallClock(wallClock),
      m_socket(loop)
{}

auto peer_exchange::start() -> result<std::uint16_t>
{
    m_socket.onMessage(
        [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); });
    return m_socket.bind(m_options.address.host, m_options.address.port);
}

auto peer_exchange::announce(const edge_announcement &announcement) -> void
{
    const auto now = m_clock.now();
    const auto unixNow = m_wallClock.estimate(now, m_clock.unixNow());
    v1::EdgeState state;
    state.set_name(m_options.name);
    state.set_boot(m_options.boot);
    state.set_address(addressText(m_options.address));
    state.set_sequence(++m_sequence);
    state.set_unix_ms(unixNow);
    state.set_leaving(announcement.leaving);
    state.set_configuration_version(announcement.configurationVersion);
    state.set_sealed_window(announcement.sealedWindow);
    state.set_kept_records(announcement.keptRecords);
    for (const auto &address : m_peers.rotateAddresses(announcedPeers, now))
        state.add_peers(addressText(address));
    for (const auto &[endpoint, used] : announcement.uses) {
        auto *use = state.add_uses();
        use->set_endpoint(endpoint);
        use->set_in_flight(used.inFlight);
        use->set_prompt_tokens(used.promptTokens);
    }
    for (const auto &[target, needs] : announcement.lanes)
        addLanes(state, target, needs);
    addPromptParts(state, announcement.promptParts);
    for (const auto &item : announcement.rollouts)
        addVersionCounts(state, item);
    addPaces(state, announcement.paces);
    if (announcement.updates)
        addUpdates(state, *announcement.updates);
    const auto current = m_usage.windowOf(unixNow);
    for (auto window = current - announcedWindows + 1; window <= current; ++window) {
        const auto counts = m_usage.ownCounts(window);
        if (counts.empty())
            continue;
        auto *message = state.add_windows();
        message->set_window(window);
        for (const auto &[account, count] : counts) {
            auto *item = message->add_accounts();
            item->set_client_account(account);
            item->set_count(count);
        }
    }
    const auto bytes = state.SerializeAsString();
    // New endpoint updates and the shutdown announcement go to all edges at once.
    const auto isUrgent = announcement.leaving || announcement.urgent || announcement.updates;
    for (const auto &address :
         isUrgent ? m_peers.addresses(now) : m_peers.nextRoundAddresses(now)) {
        if (address != m_options.address)
            m_socket.send(address, bytes);
    }
}

auto peer_exchange::sendStreams(const socket_address &to, const v1::StreamNews &news) -> void
{
    v1::EdgeState state;
    *state.mutable_streams() = news;
    m_socket.send(to, state.SerializeAsString());
}

auto peer_exchange::onDatagram(const socket_address &from, std::string_view bytes) -> void
{
    v1::EdgeState state;
    // Datagrams of other programs are ignored.
    if (!state.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    if (state.has_streams()) {
        if (onStreams)
            onStreams(from, state.streams());
        return;
    }
    const auto now = m_clock.now();
    if (!m_peers.applyState(state, now))
        return;
    if (state.unix_ms() >= 0 && state.unix_ms() <= lastUnixMs)
        m_wallClock.addPeerReading(state.name(), now, state.unix_ms());
    const auto unixNow = m_wallClock.estimate(now, m_clock.unixNow());
    for (const auto &window : state.windows()) {
        if (!m_usage.accepts(window.window(), unixNow))
            continue;
        for (const auto &item : window.accounts())
            m_usage.merge(state.boot(), window.window(), item.client_account(), item.count());
    }
    if (onState)
        onState(state);
    if (onPromptParts && (state.suspected_parts_size() > 0 || state.sound_parts_size() > 0))
        onPromptParts(promptPartsOf(state));
    if (onRollout) {
        for (const auto &item : rolloutsOf(state))
            onRollout(state.boot(), item);
    }
    if (onPaces && state.paces_size() > 0)
        onPaces(pacesOf(state));
    if (onUpdates && state.has_news())
        onUpdates(updatesOf(state.news()));
}

} // namespace mustardline
