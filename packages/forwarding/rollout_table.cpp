#include "forwarding/rollout_table.h"

#include <algorithm>

namespace mustardline {

namespace {

// Parts of the bounds that are used: attempts that an edge sends and the rule counts otherwise take
// the rest.
constexpr double guardPart = 0.95;
constexpr double trialPart = 0.2;
constexpr double allowancePart = 0.5;
// Longest silence of the others, as a part of the time for a roll-back.
constexpr int silenceDivisor = 2;

auto watchOptions(const rollout_settings &settings) -> rollout_watch_options
{
    return {.trialShare = settings.exposureShare * trialPart,
            .guardShare = settings.exposureShare * guardPart,
            .allowance = settings.exposureSlack * allowancePart,
            .silence = settings.rollbackTime / silenceDivisor};
}

auto versionOf(const rollout_order &order, const endpoint_registration &endpoint) -> rollout_version
{
    return endpoint.version == order.version ? rollout_version::after : rollout_version::before;
}

} // namespace

rollout_table::rollout_table(rollout_settings settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{}

auto rollout_table::setOrder(const rollout_order &order, time_point now) -> bool
{
    const auto *known = findOf(order.service);
    if (!m_settings.isDecided() || (known != nullptr && known->order.id >= order.id))
        return false;
    if (renewOrder(order, now))
        return false;
    m_rollouts.insert_or_assign(
        order.service,
        service_rollout{.order = order,
                        .watch = rollout_watch({.startedAt = now, .deadlineAt = now + order.length},
                                               watchOptions(m_settings), m_random.uniform()),
                        .record = rollout_record(order.id, order.version)});
    return true;
}

auto rollout_table::renewOrder(const rollout_order &order, time_point now) -> bool
{
    auto *known = find(order.service);
    if (known == nullptr || known->order.version != order.version
        || known->order.length != order.length
        || log_position::eraOf(known->order.id) == log_position::eraOf(order.id))
        return false;
    known->order.id = order.id;
    known->record.renew(order.id, now);
    return true;
}

auto rollout_table::removeOrder(const std::string &service) -> bool
{
    return m_rollouts.erase(service) > 0;
}

auto rollout_table::find(std::string_view service) -> service_rollout *
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

auto rollout_table::findOf(std::string_view service) const -> const service_rollout *
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

// Before the record was read, the roll-out may have ended long ago.
auto rollout_table::choose(service_rollout &rollout, std::string_view route, time_point now)
    -> rollout_version
{
    if (!rollout.record.isKnown() || !rollout.hasBefore || rollout.watch.isRecorded())
        return rollout_version::before;
    return rollout.watch.choose(route, now);
}

auto rollout_table::targetOf(const rollout_order &order) -> std::string
{
    // No service has such a name.
    return order.service + '\n' + order.version;
}

auto rollout_table::targetsOf(const endpoint_registration &endpoint) const
    -> std::vector<std::string>
{
    const auto *rollout = findOf(endpoint.service);
    if (rollout == nullptr)
        return {endpoint.service};
    const auto target = targetOf(rollout->order);
    const auto verdict = rollout->watch.verdict();
    const bool isCompleted = verdict == rollout_verdict::completed && rollout->watch.isRecorded();
    if (versionOf(rollout->order, endpoint) == rollout_version::before) {
        if (verdict == rollout_verdict::rolled_back)
            return {endpoint.service, target};
        return {endpoint.service};
    }
    if (isCompleted || !rollout->hasBefore)
        return {endpoint.service, target};
    return {target};
}

auto rollout_table::isOpen(const endpoint_registration &endpoint) const -> bool
{
    const auto *rollout = findOf(endpoint.service);
    if (rollout == nullptr || !rollout->hasBefore)
        return true;
    const auto verdict = rollout->watch.verdict();
    if (versionOf(rollout->order, endpoint) == rollout_version::after)
        return verdict != rollout_verdict::rolled_back;
    return verdict != rollout_verdict::completed || !rollout->watch.isRecorded();
}

auto rollout_table::setEndpoints(const endpoint_entries &entries) -> bool
{
    bool changes = false;
    for (auto &item : m_rollouts) {
        const auto &service = item.first;
        auto &rollout = item.second;
        const auto hasBefore = std::ranges::any_of(entries, [&](const auto &entry) {
            const auto &endpoint = entry.second.registration;
            return endpoint.service == service
                   && versionOf(rollout.order, endpoint) == rollout_version::before;
        });
        changes = changes || hasBefore != rollout.hasBefore;
        rollout.hasBefore = hasBefore;
    }
    return changes;
}

auto rollout_table::ended(std::string_view service, std::uint64_t request, bool hasFailed,
                          time_point now) -> void
{
    if (auto *rollout = find(service))
        rollout->watch.ended(request, hasFailed, now);
}

auto rollout_table::tick(time_point now, std::uint32_t peerCount) -> void
{
    for (auto &[service, rollout] : m_rollouts) {
        rollout.watch.setPeerCount(peerCount);
        rollout.watch.tick(now);
    }
}

auto rollout_table::reports() const -> std::vector<service_rollout_report>
{
    std::vector<service_rollout_report> reports;
    for (const auto &[service, rollout] : m_rollouts) {
        if (rollout.watch.isRecorded())
            continue;
        reports.push_back({.service = service,
                           .version = rollout.order.version,
                           .order = rollout.order.id,
                           .report = rollout.watch.report()});
    }
    return reports;
}

auto rollout_table::applyPeer(const std::string &boot, const service_rollout_report &report,
                              time_point now) -> void
{
    auto *rollout = find(report.service);
    if (rollout != nullptr && rollout->order.id == report.order)
        rollout->watch.applyPeer(boot, report.report, now);
}

auto rollout_table::takeMoved() -> bool
{
    bool isNew = false;
    for (auto &[service, rollout] : m_rollouts) {
        const bool hasMoved = rollout.watch.isMoving() && !rollout.watch.hasOwnOldWork();
        isNew = isNew || (hasMoved && !rollout.isMoveTold);
        rollout.isMoveTold = hasMoved;
    }
    return isNew;
}

auto rollout_table::runningCount() const -> std::int64_t
{
    return std::ranges::count_if(m_rollouts, [](const auto &item) {
        return item.second.watch.verdict() == rollout_verdict::in_progress;
    });
}

auto rollout_table::sendCount() const -> std::int64_t
{
    std::uint64_t sends = 0;
    for (const auto &[service, rollout] : m_rollouts) {
        for (const auto &[route, versions] : rollout.watch.report().counts)
            sends += versions[static_cast<std::size_t>(rollout_version::after)].sent;
    }
    return static_cast<std::int64_t>(sends);
}

} // namespace mustardline
