// What the dispatcher is told of endpoints: by their registrations, by the configuration, and by
// what the other edges have there.

#include <algorithm>
#include <utility>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"

namespace mustardline {

namespace {

// Until an endpoint has answered.
constexpr duration assumedFirstToken = std::chrono::milliseconds(100);
// The part of what cold endpoints bear that is used: requests of one second arrive in another.
constexpr double coldPart = 0.8;

} // namespace

auto forward_router::endpointsChanged() -> void
{
    // Most records of endpoints only say that they still live.
    const auto changed = m_directory.takeChanged();
    if (changed.empty())
        return;
    for (const auto &id : changed) {
        if (const auto *entry = m_directory.find(id))
            setEndpoint(*entry);
        else
            m_dispatcher.removeEndpoint(id);
        const auto *entry = m_directory.find(id);
        m_log.write(endpointChanged, field("endpoint", id), field("known", entry != nullptr),
                    field("usable", entry != nullptr && m_directory.isUsable(*entry)));
    }
    tick();
}

auto forward_router::configurationChanged() -> void
{
    setEndpoints();
    endpointsChanged();
    tick();
}

auto forward_router::setEndpoints() -> void
{
    for (const auto &[id, entry] : m_directory.entries())
        setEndpoint(entry);
}

auto forward_router::setEndpoint(const endpoint_entry &entry) -> void
{
    const auto &told = entry.registration;
    const auto *service = m_routes.service(told.service);
    const auto coldRate = service == nullptr ? 0 : service->coldRequestsPerSecond;
    m_dispatcher.setEndpoint({.id = told.id,
                              .start = told.bornAt,
                              .dataCentre = told.dataCentre,
                              .serves = {told.service},
                              .maxConcurrency = told.slots,
                              .coldConcurrency = told.slots,
                              .maxOwn = connectionsTo(told.service),
                              .available = m_directory.isUsable(entry),
                              .hasChunkedPrefill = service != nullptr && service->cacheTokens > 0,
                              .assumedFirstToken = assumedFirstToken,
                              .coldUntil = coldRate > 0 ? entry.coldUntil : time_point(),
                              .coldPerSecond = coldRate * coldPart * m_warmUp.partOf(told.id)},
                             m_clock.now());
}

// Connections that this edge may have to an endpoint of that service.
auto forward_router::connectionsTo(std::string_view service) const -> std::uint32_t
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

auto forward_router::othersUse(peer_table &peers) -> void
{
    const auto now = m_clock.now();
    for (const auto &id : peers.takeChanged()) {
        if (const auto *entry = m_directory.find(id))
            reportUse(*entry, peers.usesOf(id), now);
    }
}

auto forward_router::refreshUses(peer_table &peers) -> void
{
    const auto now = m_clock.now();
    peers.tick(now);
    static_cast<void>(peers.takeChanged());
    for (const auto &[id, entry] : m_directory.entries())
        reportUse(entry, peers.usesOf(id), now);
}

auto forward_router::reportUse(const endpoint_entry &entry, const endpoint_use &others,
                               time_point now) -> void
{
    const auto &told = entry.registration;
    m_dispatcher.reportLoad(told.id,
                            {.running = m_dispatcher.inFlightAt(told.id) + others.inFlight,
                             .window = told.slots,
                             .othersPromptTokens = others.promptTokens},
                            now);
}

auto forward_router::setEntryCount(std::uint32_t count) -> void
{
    if (m_entryCount == std::max(count, 1U))
        return;
    m_entryCount = std::max(count, 1U);
    m_dispatcher.setEntryCount(m_entryCount);
    // This edge's parts of what the endpoints bear have changed.
    setEndpoints();
}

auto forward_router::setWarmUpEntries(std::vector<std::string> names) -> void
{
    if (!m_warmUp.setOthers(std::move(names)))
        return;
    const auto now = m_clock.now();
    for (const auto &[id, entry] : m_directory.entries()) {
        if (m_directory.isCold(entry, now))
            setEndpoint(entry);
    }
}

} // namespace mustardline
