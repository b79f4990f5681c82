// Passes endpoint state on to the dispatcher: registrations, service settings of the configuration,
// and the other edges' in-flight load.

#include <algorithm>
#include <utility>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"

namespace mustardline {

namespace {

// Assumed time to the first token until an endpoint has responded.
constexpr duration assumedFirstToken = std::chrono::milliseconds(100);
// Fraction of a cold endpoint's rate limit that is used: requests sent within one second may arrive
// within another.
constexpr double usedColdFraction = 0.8;

} // namespace

auto forward_router::endpointsChanged() -> void
{
    // Most endpoint records are heartbeats that change nothing.
    const auto changed = m_directory.takeChanged();
    if (changed.empty())
        return;
    for (const auto &id : changed) {
        if (const auto *entry = m_directory.find(id))
            setEndpoint(*entry);
        else
            m_dispatcher.removeEndpoint(id);
        const auto *entry = m_directory.find(id);
        recordEndpointVersion(id, entry);
        recordEndpointStart(id, entry);
        m_log.write(endpointChanged, field("endpoint", id), field("known", entry != nullptr),
                    field("usable", entry != nullptr && m_directory.isUsable(*entry)));
    }
    if (m_rollouts.setEndpoints(m_directory.entries()))
        setAllEndpoints();
    if (!m_versionedServices.empty())
        removeVersionTargets();
    tick();
}

auto forward_router::configurationChanged() -> void
{
    setAllEndpoints();
    endpointsChanged();
    tick();
}

auto forward_router::setAllEndpoints() -> void
{
    for (const auto &[id, entry] : m_directory.entries())
        setEndpoint(entry);
}

auto forward_router::setEndpoint(const endpoint_entry &entry) -> void
{
    const auto &published = entry.registration;
    const auto *service = m_routes.service(published.service);
    const auto coldRate = service == nullptr ? 0 : service->coldRequestsPerSecond;
    m_dispatcher.setEndpoint(
        {.id = published.id,
         .start = published.startedAtMs,
         .dataCentre = published.dataCentre,
         .serves = targetsOf(published),
         .maxConcurrency = published.slots,
         .coldConcurrency = published.slots,
         .maxOwn = maxConnectionsTo(published.service),
         .available = m_directory.isUsable(entry) && m_rollouts.isOpen(published),
         .hasChunkedPrefill = service != nullptr && service->cacheTokens > 0,
         .assumedFirstToken = assumedFirstToken,
         .coldUntil = coldRate > 0 ? entry.coldUntil : time_point(),
         .coldPerSecond = coldRate * usedColdFraction * m_warmUp.rateFraction(published.id)},
        m_clock.now());
}

// Maximum number of connections from this edge to an endpoint of the service.
auto forward_router::maxConnectionsTo(std::string_view service) const -> std::uint32_t
{
    const auto *settings = m_routes.service(service);
    if (settings == nullptr || settings->maxConnections == 0)
        return UINT32_MAX;
    return connectionShare(settings->maxConnections, m_entryCount);
}

auto forward_router::uses() const -> std::map<std::string, endpoint_use>
{
    std::map<std::string, endpoint_use> uses;
    for (const auto &[number, request] : m_requests) {
        if (request.inFlight)
            ++uses[request.endpoint].inFlight;
    }
    for (auto &[endpoint, use] : uses)
        use.promptTokens = m_dispatcher.pendingPromptTokensAt(endpoint);
    return uses;
}

auto forward_router::applyPeerLoad(peer_table &peers) -> void
{
    const auto now = m_clock.now();
    for (const auto &id : peers.takeChanged()) {
        if (const auto *entry = m_directory.find(id))
            reportEndpointLoad(*entry, peers.peerUseOf(id), now);
    }
}

auto forward_router::refreshPeerLoad(peer_table &peers) -> void
{
    const auto now = m_clock.now();
    peers.tick(now);
    static_cast<void>(peers.takeChanged());
    for (const auto &[id, entry] : m_directory.entries())
        reportEndpointLoad(entry, peers.peerUseOf(id), now);
}

auto forward_router::setOthersLaneDemand(const std::map<std::string, lane_demand> &needs) -> void
{
    m_dispatcher.setOthersLaneDemand(needs);
    logLaneDivisions();
    logSpeeds();
}

auto forward_router::logSpeeds() -> void
{
    auto speeds = m_dispatcher.unevenSpeeds();
    for (const auto &[endpoint, speed] : speeds) {
        const auto logged = m_loggedSpeeds.find(endpoint);
        if (logged == m_loggedSpeeds.end() || logged->second != speed)
            m_log.write(endpointSpeedChanged, field("endpoint", endpoint), field("speed", speed));
    }
    for (const auto &[endpoint, speed] : m_loggedSpeeds) {
        if (!speeds.contains(endpoint))
            m_log.write(endpointSpeedChanged, field("endpoint", endpoint), field("speed", 1.0));
    }
    m_loggedSpeeds = std::move(speeds);
}

auto forward_router::logLaneDivisions() -> void
{
    for (const auto &[service, division] : m_dispatcher.laneDivisions()) {
        auto &logged = m_loggedDivisions[service];
        if (logged.endpoints == division.endpoints && logged.longLaneSize == division.longLaneSize)
            continue;
        logged = division;
        const auto &lanes = division.demand.lanes;
        m_log.write(
            lanesChanged, field("service", service), field("endpoints", division.endpoints),
            field("long_lane", division.longLaneSize), field("short_prefill", lanes[0].prefill),
            field("short_occupancy", lanes[0].occupancy), field("long_prefill", lanes[1].prefill),
            field("long_occupancy", lanes[1].occupancy));
    }
}

auto forward_router::reportEndpointLoad(const endpoint_entry &entry, const endpoint_use &others,
                                        time_point now) -> void
{
    const auto &published = entry.registration;
    m_dispatcher.reportLoad(published.id,
                            {.running = m_dispatcher.inFlightAt(published.id) + others.inFlight,
                             .window = published.slots,
                             .othersPromptTokens = others.promptTokens},
                            now);
}

auto forward_router::setEntryCount(std::uint32_t count) -> void
{
    if (m_entryCount == std::max(count, 1U))
        return;
    m_entryCount = std::max(count, 1U);
    m_dispatcher.setEntryCount(m_entryCount);
    // This edge's shares of the endpoints' limits have changed.
    setAllEndpoints();
}

auto forward_router::setWarmUpEntries(std::vector<std::string> names) -> void
{
    if (!m_warmUp.setPeers(std::move(names)))
        return;
    const auto now = m_clock.now();
    for (const auto &[id, entry] : m_directory.entries()) {
        if (m_directory.isCold(entry, now))
            setEndpoint(entry);
    }
}

} // namespace mustardline
