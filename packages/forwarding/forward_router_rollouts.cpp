// Applies roll-outs to requests and endpoints: which version gets a request, what is counted, and
// what changes with a verdict.

#include <algorithm>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"

namespace mustardline {

auto forward_router::setRollout(const rollout_order &order) -> void
{
    if (!m_rollouts.setOrder(order, m_clock.now()))
        return;
    m_log.write(rolloutOrdered, field("service", order.service), field("to", order.version),
                field("order", order.id), field("length_ms", toMilliseconds(order.length)));
    m_rollouts.setEndpoints(m_directory.entries());
    setAllEndpoints();
}

auto forward_router::withdrawRollout(const std::string &service) -> void
{
    if (!m_rollouts.removeOrder(service))
        return;
    m_log.write(rolloutWithdrawn, field("service", service));
    setAllEndpoints();
    tick();
}

auto forward_router::tickRollouts(std::uint32_t peerCount) -> void
{
    m_rollouts.tick(m_clock.now(), peerCount);
    logRollouts();
}

auto forward_router::applyRolloutStatus(const std::string &service, const rollout_status &status,
                                        unix_milliseconds unixNow) -> void
{
    auto *rollout = m_rollouts.find(service);
    if (rollout == nullptr || rollout->order.id != status.order)
        return;
    const auto now = m_clock.now();
    const auto at
        = [&](unix_milliseconds time) { return now + std::chrono::milliseconds(time - unixNow); };
    rollout->watch.setPeriod(
        {.startedAt = at(status.startedAt), .deadlineAt = at(status.deadlineAt)});
    rollout->watch.adopt(status.verdict);
    logRollouts();
}

// Logs what has changed, and applies it to the endpoints.
auto forward_router::logRollouts() -> void
{
    bool changes = false;
    for (auto &[service, rollout] : m_rollouts.all()) {
        const auto &watch = rollout.watch;
        if (std::exchange(rollout.isMoveShown, watch.isMoving()) != watch.isMoving())
            m_log.write(rolloutMoves, field("service", service), field("moving", watch.isMoving()));
        const auto verdict = watch.verdict();
        if (std::exchange(rollout.shownVerdict, verdict) != verdict) {
            changes = true;
            version_counts before;
            version_counts after;
            for (const auto &[route, counts] : watch.totals()) {
                before += counts[0];
                after += counts[1];
            }
            m_log.write(rolloutJudged, field("service", service),
                        field("verdict", verdictName(verdict)), field("route", watch.badRoute()),
                        field("old_answered", before.answered), field("old_failed", before.failed),
                        field("old_slow", before.slow), field("new_sent", after.sent),
                        field("new_answered", after.answered), field("new_failed", after.failed),
                        field("new_slow", after.slow));
        }
        if (std::exchange(rollout.isRecordShown, watch.isRecorded()) != watch.isRecorded()) {
            changes = true;
            m_log.write(rolloutAdopted, field("service", service),
                        field("verdict", verdictName(verdict)));
        }
    }
    if (!changes)
        return;
    setAllEndpoints();
    tick();
}

auto forward_router::chooseTarget(const forward_request &request, time_point now) -> std::string
{
    auto *rollout = m_rollouts.find(request.service);
    if (rollout == nullptr)
        return request.service;
    if (m_rollouts.choose(*rollout, request.route->name, now) == rollout_version::before)
        return request.service;
    if (hasRoom(rollout->order, now))
        return rollout_table::targetOf(rollout->order);
    rollout->watch.refund();
    return request.service;
}

// Whether an endpoint of the new version can take a request at once. Cold ones are slow for a while
// and say nothing of their version.
auto forward_router::hasRoom(const rollout_order &order, time_point now) const -> bool
{
    return std::ranges::any_of(m_directory.entries(), [&](const auto &item) {
        const auto &endpoint = item.second.registration;
        return endpoint.service == order.service && endpoint.version == order.version
               && m_directory.isUsable(item.second) && !m_directory.isCold(item.second, now)
               && m_dispatcher.inFlightAt(endpoint.id) < endpoint.slots;
    });
}

auto forward_router::recordAttempt(const forward_request &request, const endpoint_entry &endpoint,
                                   time_point now) -> void
{
    const auto &registration = endpoint.registration;
    auto *rollout = m_rollouts.find(registration.service);
    if (rollout == nullptr)
        return;
    const bool isNew = registration.version == rollout->order.version;
    rollout->watch.started(request.number,
                           {.route = request.route->name,
                            .version = isNew ? rollout_version::after : rollout_version::before,
                            .isRetry = request.sends > 1,
                            .isCold = m_directory.isCold(endpoint, now)},
                           now);
}

} // namespace mustardline
