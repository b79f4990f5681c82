// Keeps a stream at the version of the service's software that began it: within one response, and
// where a caller resumes it.

#include <algorithm>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"

namespace mustardline {

namespace {

// Time in which an endpoint that has restarted is registered anew and the log was read.
constexpr duration restartReportTime = std::chrono::seconds(3);
// The registration of an endpoint whose process has ended lapses after three intervals of about a
// second; until then it may come back under it.
constexpr duration trustTime = std::chrono::seconds(5);
// Time in which an endpoint whose registration has lapsed is back if it lives.
constexpr duration returnTime = std::chrono::seconds(4);
constexpr duration returnRetryAfter = std::chrono::seconds(2);

// The target of one version of a service. No service has such a name.
auto versionTarget(std::string_view service, std::string_view version) -> std::string
{
    return std::string(service) + '\t' + std::string(version);
}

auto questionOf(const forward_request &request) -> stream_question
{
    const auto &targets = request.route->targets;
    stream_question question{.service = targets.size() == 1 ? targets.front().service : "",
                             .lifetime = request.route->timeout};
    if (!request.originAttempt.empty())
        question.stream = streamKey(request.originAttempt);
    return question;
}

auto leadsTo(const route_settings &route, std::string_view service) -> bool
{
    return std::ranges::any_of(route.targets,
                               [service](const auto &target) { return target.service == service; });
}

} // namespace

auto forward_router::findOrigin(forward_request &request, time_point now) -> void
{
    const auto question = questionOf(request);
    const auto number = request.number;
    const auto origin = m_streamVersions.remembered(question, now);
    if (origin || !onOriginNeeded) {
        onOrigin(number, false, origin);
        return;
    }
    onOriginNeeded(question, [this, number](const std::optional<stream_origin> &answer) {
        onOrigin(number, true, answer);
    });
}

auto forward_router::onOrigin(std::uint64_t number, bool wasAsked,
                              const std::optional<stream_origin> &origin) -> void
{
    auto *request = find(number);
    if (request == nullptr)
        return;
    const auto now = m_clock.now();
    const bool isKnown = origin && leadsTo(*request->route, origin->service);
    const auto endpoints
        = isKnown ? endpointsOfVersion(origin->service, origin->version) : version_endpoints{};
    m_metrics.recordResumeRequest(isKnown);
    m_log.write(streamResumeRequested, field("request", request->id),
                field("began_by", request->originAttempt), field("known", isKnown),
                field("asked", wasAsked), field("service", origin ? origin->service : ""),
                field("endpoint_version", origin ? origin->version : ""),
                field("endpoints", endpoints.usable), field("doubted", endpoints.doubted),
                field("waited_ms", toMilliseconds(now - request->arrivedAt)));
    if (!isKnown) {
        rejectResume(*request, false);
        return;
    }
    request->service = origin->service;
    request->streamVersion = origin->version;
    const auto &history = m_streamVersions.history();
    const auto lastRegistered = history.lastRegistered(origin->service, origin->version, now);
    if (!lastRegistered || *lastRegistered < now) {
        rejectResume(*request,
                     lastRegistered ? now - *lastRegistered < returnTime : !history.hasBegun());
        return;
    }
    request->target = targetOfVersion(*request);
    admit(*request, now);
}

auto forward_router::rejectResume(forward_request &request, bool mayReturn) -> void
{
    if (mayReturn) {
        fail(request, {.code = result_code::no_endpoint,
                       .message = "no endpoint of the stream's version is registered",
                       .retryAfter = returnRetryAfter});
        return;
    }
    fail(request, {.code = result_code::stream_not_resumable,
                   .message = "the stream can only be begun anew"});
}

auto forward_router::mayBeOfAnotherVersion(const forward_request &request) const -> bool
{
    const auto *entry = m_directory.find(request.endpoint);
    return entry != nullptr && entry->registration.startedAtMs != request.endpointStartedAtMs
           && entry->registration.version != request.endpointVersion;
}

auto forward_router::hasSeveralVersions(const forward_request &request) const -> bool
{
    return m_streamVersions.history().countWithin(request.service, request.route->timeout,
                                                  m_clock.now())
           > 1;
}

auto forward_router::recordStreamVersion(forward_request &request, time_point now) -> void
{
    if (request.route->kind != route_kind::stream || !request.route->resumable)
        return;
    if (!request.streamVersion
        && (mayBeOfAnotherVersion(request) || isDoubtful(request.service, request.endpoint))) {
        request.isVersionUnknown = true;
        return;
    }
    if (!request.streamVersion)
        request.streamVersion = request.endpointVersion;
    if (request.originAttempt.empty())
        return;
    const auto stream = streamKey(request.originAttempt);
    const stream_origin origin{.service = request.service, .version = *request.streamVersion};
    m_streamVersions.origins().add(stream, origin, request.endpoint, now);
    // Knowledge of a version that has just left would be lost with all edges.
    if (hasSeveralVersions(request) && onStreamBegan)
        onStreamBegan(stream, origin);
}

auto forward_router::recordEndpointVersion(const std::string &id, const endpoint_entry *entry)
    -> void
{
    const auto now = m_clock.now();
    const auto *registration = entry == nullptr ? nullptr : &entry->registration;
    const auto start = m_endpointStarts.find(id);
    const bool isKnownStart = registration != nullptr && start != m_endpointStarts.end()
                              && start->second == registration->startedAtMs;
    if (!isKnownStart)
        m_doubtfulEndpoints.erase(id);
    if (registration != nullptr && !isKnownStart)
        doubtStreamsOf(*registration, now);
    if (m_streamVersions.history().setEndpoint(id, registration, now) && registration != nullptr)
        tellStreamsOf(registration->service);
}

// The new process runs since an unknown time, but not for longer than registrations take to be
// written, before they were last read.
auto forward_router::doubtStreamsOf(const endpoint_registration &registration, time_point now)
    -> void
{
    const auto since = std::min(now, m_directory.upToDateAt()) - restartReportTime;
    auto &origins = m_streamVersions.origins();
    const auto doubted = origins.doubtEndpoint(registration.id, registration.version, since);
    if (!doubted.empty())
        m_log.write(streamVersionDoubted, field("endpoint", registration.id),
                    field("streams", doubted.size()));
    // Edges that read the first origin read the other one, too.
    for (const auto stream : doubted) {
        if (onStreamBegan)
            onStreamBegan(stream,
                          {.service = registration.service, .version = registration.version});
    }
    std::vector<std::uint64_t> misplaced;
    for (auto &[number, request] : m_requests) {
        if (!request.streamVersion || request.originAttempt.empty()
            || !origins.isContradicted(streamKey(request.originAttempt)))
            continue;
        request.streamVersion.reset();
        request.isVersionUnknown = true;
        if (request.inFlight && request.hasBegun() && !request.hasFirstByte)
            misplaced.push_back(number);
    }
    // They were sent on to an endpoint of what was taken for their version.
    for (const auto number : misplaced) {
        auto *request = find(number);
        if (request == nullptr)
            continue;
        request->call.cancel();
        if (!resumeSuspended(*request, result_code::outcome_unknown))
            fail(*request, {.code = result_code::outcome_unknown,
                            .message = "the stream's version is not known"});
    }
}

// Where one version alone is registered, an endpoint that restarts most likely has it too, and
// without the endpoints that lost a connection there may be none to resume a stream.
auto forward_router::isDoubtful(std::string_view service, const std::string &endpoint) const -> bool
{
    return m_doubtfulEndpoints.contains(endpoint)
           && m_streamVersions.history().registeredCount(service) > 1;
}

auto forward_router::doubtEndpoint(const std::string &id) -> void
{
    const auto *entry = m_directory.find(id);
    if (entry == nullptr)
        return;
    const bool isNew = !m_doubtfulEndpoints.contains(id);
    m_doubtfulEndpoints[id] = m_clock.now();
    if (isNew && m_versionedServices.contains(entry->registration.service))
        setEndpoint(*entry);
}

// An endpoint whose process has ended since would have been registered anew, or no longer.
auto forward_router::trustEndpoints() -> void
{
    std::vector<std::string> trusted;
    for (const auto &[id, lostAt] : m_doubtfulEndpoints) {
        if (m_directory.upToDateAt() - lostAt >= trustTime)
            trusted.push_back(id);
    }
    for (const auto &id : trusted) {
        m_doubtfulEndpoints.erase(id);
        const auto *entry = m_directory.find(id);
        if (entry != nullptr && m_versionedServices.contains(entry->registration.service))
            setEndpoint(*entry);
    }
    if (!trusted.empty())
        removeVersionTargets();
}

auto forward_router::tellStreamsOf(std::string_view service) -> void
{
    if (!onStreamBegan || m_streamVersions.history().registeredCount(service) < 2)
        return;
    for (const auto &[number, request] : m_requests) {
        if (request.service == service && request.streamVersion && !request.originAttempt.empty())
            onStreamBegan(streamKey(request.originAttempt),
                          {.service = request.service, .version = *request.streamVersion});
    }
}

auto forward_router::targetOfVersion(const forward_request &request) -> std::string
{
    const bool isSole = m_streamVersions.history().registeredCount(request.service) < 2;
    if (isSole && m_rollouts.find(request.service) == nullptr
        && !m_versionedServices.contains(request.service))
        return request.service;
    addVersionTargets(request.service);
    return versionTarget(request.service, *request.streamVersion);
}

auto forward_router::addVersionTargets(const std::string &service) -> void
{
    if (m_versionedServices.insert(service).second)
        setAllEndpoints();
}

// A second target of each endpoint costs time in every placement, so it is there only while it
// differs from the service and no request waits for it.
auto forward_router::removeVersionTargets() -> void
{
    const auto removed = std::erase_if(m_versionedServices, [this](const auto &service) {
        const bool isDoubted = std::ranges::any_of(m_doubtfulEndpoints, [&](const auto &item) {
            const auto *entry = m_directory.find(item.first);
            return entry != nullptr && entry->registration.service == service;
        });
        const bool isNeeded = std::ranges::any_of(m_requests, [&](const auto &item) {
            const auto &request = item.second;
            return request.service == service && request.streamVersion && !request.inFlight;
        });
        return !isDoubted && !isNeeded && m_streamVersions.history().registeredCount(service) < 2
               && m_rollouts.find(service) == nullptr;
    });
    if (removed > 0)
        setAllEndpoints();
}

auto forward_router::hasEndpointFor(const forward_request &request) const -> bool
{
    if (!request.streamVersion)
        return true;
    const auto endpoints = endpointsOfVersion(request.service, *request.streamVersion);
    return endpoints.usable > endpoints.doubted;
}

auto forward_router::endpointsOfVersion(std::string_view service, std::string_view version) const
    -> version_endpoints
{
    version_endpoints endpoints;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (entry.registration.service != service || entry.registration.version != version
            || !m_directory.isUsable(entry))
            continue;
        ++endpoints.usable;
        if (isDoubtful(service, id))
            ++endpoints.doubted;
    }
    return endpoints;
}

auto forward_router::keepVersion(const forward_request &request) -> void
{
    if (request.streamVersion)
        m_dispatcher.setNextTarget(request.number, targetOfVersion(request));
}

auto forward_router::targetsOf(const endpoint_registration &endpoint) const
    -> std::vector<std::string>
{
    auto targets = m_rollouts.targetsOf(endpoint);
    if (m_versionedServices.contains(endpoint.service)
        && !isDoubtful(endpoint.service, endpoint.id))
        targets.push_back(versionTarget(endpoint.service, endpoint.version));
    return targets;
}

// Without an endpoint, it is the request alone that may reject the placement.
auto forward_router::sendRejectionAt(const forward_request &request,
                                     const endpoint_entry *endpoint) const -> send_rejection
{
    if (endpoint == nullptr)
        return sendRejection(request, request.service, request.streamVersion.value_or(""));
    const auto &registration = endpoint->registration;
    const auto rejection = sendRejection(request, registration.service, registration.version);
    const bool isDoubted
        = request.streamVersion && isDoubtful(registration.service, registration.id);
    return rejection == send_rejection::none && isDoubted ? send_rejection::other_version
                                                          : rejection;
}

} // namespace mustardline
