#include "policy/dispatcher.h"

#include <algorithm>

#include "policy/dispatcher_state.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// Interval of the periodic work that need not run on every tick.
constexpr duration maintenanceInterval = std::chrono::milliseconds(20);

// True if the endpoint caused the failure or may have caused it.
auto isEndpointFailure(result_code code) -> bool
{
    switch (code) {
    case result_code::endpoint_failed:
    case result_code::endpoint_unreachable:
    case result_code::answer_cut:
    case result_code::connection_failed:
    case result_code::timeout:
    case result_code::outcome_unknown:
    case result_code::malformed_message:
        return true;
    default:
        return false;
    }
}

// Records that an endpoint did not run a request.
auto recordRefusal(endpoint_table &endpoints, std::uint32_t index, result_code code, time_point now)
    -> void
{
    if (isEndpointFailure(code))
        endpoints.failed(index, now);
    else if (code == result_code::not_run)
        endpoints.busy(index, now);
}

} // namespace

dispatcher::dispatcher(dispatcher_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher &&) noexcept = default;
auto dispatcher::operator=(dispatcher &&) noexcept -> dispatcher & = default;

auto dispatcher::setEndpoint(const endpoint_info &info, time_point now) -> void
{
    std::vector<std::uint32_t> serves;
    for (const auto &name : info.serves)
        serves.push_back(m_state->targetOf(name));
    std::vector<std::uint32_t> before;
    if (const auto known = m_state->endpoints.find(info.id); known != noIndex) {
        if (m_state->endpoints.at(known).start == info.start)
            before = m_state->endpoints.at(known).serves;
        else
            removeEndpoint(info.id);
    }
    const auto index = m_state->endpoints.set(info, std::move(serves), now);
    m_state->updateSubsets(index, before);
}

auto dispatcher::removeEndpoint(std::string_view id) -> void
{
    const auto index = m_state->endpoints.find(id);
    if (index == noIndex)
        return;
    m_state->endpoints.remove(index);
    m_state->updateSubsets(index, m_state->endpoints.at(index).serves);
}

auto dispatcher::setEntryCount(std::uint32_t count) -> void
{
    m_state->options.entryCount = std::max(count, 1U);
    m_state->limits.setEntryCount(count);
}

auto dispatcher::reportLoad(std::string_view endpoint, const endpoint_load &load, time_point now)
    -> void
{
    const auto index = m_state->endpoints.find(endpoint);
    if (index == noIndex)
        return;
    m_state->endpoints.reportLoad(index, load, now);
    if (!m_state->endpoints.hasRoom(index, now))
        return;
    for (const auto target : m_state->endpoints.at(index).serves)
        m_state->targets[target].freed.add(index);
}

auto dispatcher::reportFailure(std::string_view endpoint, time_point now) -> void
{
    if (const auto index = m_state->endpoints.find(endpoint); index != noIndex)
        m_state->endpoints.failed(index, now);
}

auto dispatcher::pauseEndpoint(std::string_view endpoint, time_point until) -> void
{
    if (const auto index = m_state->endpoints.find(endpoint); index != noIndex)
        m_state->endpoints.pause(index, until);
}

auto dispatcher::prefixCached(std::string_view endpoint, std::uint64_t prefixHash, bool isCached)
    -> void
{
    const auto index = m_state->endpoints.find(endpoint);
    if (index == noIndex)
        return;
    if (isCached)
        m_state->prefixes.stored(prefixHash, index);
    else
        m_state->prefixes.removed(prefixHash, index);
}

auto dispatcher::arrive(const request_arrival &arrival, time_point now,
                        std::vector<dispatch_action> &actions) -> void
{
    m_state->latestTime = now;
    const auto slot = m_state->addRequest(arrival, now);
    m_state->admit(slot, arrival, now, actions);
}

auto dispatcher::firstToken(std::uint64_t request, time_point now) -> void
{
    const auto slot = m_state->requests.find(request);
    if (slot == noIndex)
        return;
    auto &row = m_state->requests.at(slot);
    if (row.state != request_state::placed || row.hasFirstToken)
        return;
    row.hasFirstToken = true;
    row.firstTokenAt = now;
    const auto latency = now - row.placedAt;
    if (m_state->endpoints.at(row.endpoint).hasChunkedPrefill)
        m_state->endpoints.promptRead(row.endpoint, latency, row.tokensAhead);
    m_state->endPrefill(row);
    m_state->endpoints.firstToken(row.endpoint, latency, now);
    m_state->prefixes.stored(row.prefixHash, row.endpoint);
    m_state->statisticsOf(row).firstToken(latency, now);
}

auto dispatcher::queuedAtEndpoint(std::uint64_t request, duration queued) -> void
{
    if (const auto slot = m_state->requests.find(request); slot != noIndex)
        m_state->requests.at(slot).queuedAtEndpoint = queued;
}

auto dispatcher::progressed(std::uint64_t request, std::uint32_t tokens, time_point now) -> void
{
    const auto slot = m_state->requests.find(request);
    if (slot == noIndex)
        return;
    auto &row = m_state->requests.at(slot);
    row.generatedTokens += tokens;
    if (row.lastPartAt > row.firstTokenAt)
        row.shortGap.add(toSeconds(now - row.lastPartAt));
    row.lastPartAt = now;
}

auto dispatcher::finished(std::uint64_t request, result_code code, std::uint32_t completionTokens,
                          time_point now) -> void
{
    const auto slot = m_state->requests.find(request);
    if (slot == noIndex)
        return;
    auto &row = m_state->requests.at(slot);
    if (row.state != request_state::placed) {
        m_state->endRequest(slot, now);
        return;
    }
    auto &statistics = m_state->statisticsOf(row);
    if (code == result_code::ok) {
        m_state->endpoints.answered(row.endpoint);
        m_state->sizes.record(row.requestClass, row.account, completionTokens);
        statistics.answered(now - row.placedAt - row.queuedAtEndpoint);
        if (m_state->endpoints.at(row.endpoint).hasChunkedPrefill) {
            m_state->targets[row.target].prompts.ended(row.promptTokens, now - row.placedAt,
                                                       m_state->endpoints.window(row.endpoint));
        }
        m_state->recordParts(row, now);
        if (row.hasFirstToken && completionTokens > 1)
            statistics.token(toSeconds(now - row.firstTokenAt) / (completionTokens - 1));
    } else if (isEndpointFailure(code)) {
        m_state->endpoints.failed(row.endpoint, now);
    }
    row.generatedTokens = std::max(completionTokens, row.generatedTokens);
    m_state->endRequest(slot, now);
}

auto dispatcher::notRun(std::uint64_t request, result_code code, time_point now,
                        std::vector<dispatch_action> &actions) -> void
{
    const auto slot = m_state->requests.find(request);
    if (slot == noIndex || m_state->requests.at(slot).state != request_state::placed)
        return;
    recordRefusal(m_state->endpoints, m_state->requests.at(slot).endpoint, code, now);
    m_state->detach(slot, now);
    m_state->changeTarget(slot);
    m_state->retry(slot, code, now, actions);
}

auto dispatcher::setNextTarget(std::uint64_t request, std::string_view target) -> void
{
    const auto slot = m_state->requests.find(request);
    if (slot == noIndex)
        return;
    const auto next = m_state->targetOf(target);
    auto &row = m_state->requests.at(slot);
    row.nextTarget = next;
    m_state->targets[next].isPreferred = m_state->targets[next].isPreferred || next != row.target;
}

auto dispatcher::mayRetry(std::uint64_t request) const -> bool
{
    const auto slot = m_state->requests.find(request);
    return slot != noIndex && m_state->requests.at(slot).state == request_state::placed
           && m_state->isInRetryBudgets(m_state->requests.at(slot));
}

auto dispatcher::moveElsewhere(std::uint64_t request, time_point now,
                               std::vector<dispatch_action> &actions) -> bool
{
    if (!mayRetry(request))
        return false;
    return m_state->moveElsewhere(m_state->requests.find(request), now, actions);
}

auto dispatcher::returnTo(std::uint64_t request, std::string_view endpoint, result_code code,
                          time_point now) -> void
{
    const auto slot = m_state->requests.find(request);
    const auto index = m_state->endpoints.find(endpoint);
    if (slot == noIndex || m_state->requests.at(slot).state != request_state::placed)
        return;
    recordRefusal(m_state->endpoints, m_state->requests.at(slot).endpoint, code, now);
    if (index != noIndex)
        m_state->returnTo(slot, index, now);
}

auto dispatcher::callerGone(std::uint64_t request) -> void
{
    const auto slot = m_state->requests.find(request);
    if (slot != noIndex)
        m_state->endRequest(slot, m_state->latestTime);
}

auto dispatcher::refuseQueued(std::string_view clientAccount, result_code code,
                              std::vector<dispatch_action> &actions) -> void
{
    const auto account = m_state->accounts.find(clientAccount);
    for (const auto slot : m_state->requests.slots()) {
        const auto &row = m_state->requests.at(slot);
        if (row.account == account && row.state != request_state::placed)
            m_state->refuse(slot, code, "account_withdrawn", m_state->latestTime, actions);
    }
}

auto dispatcher::tick(time_point now, std::vector<dispatch_action> &actions) -> void
{
    m_state->latestTime = now;
    m_state->releaseDelayed(now, actions);
    const bool isMaintenanceDue = now >= m_state->nextMaintenance;
    if (isMaintenanceDue)
        m_state->nextMaintenance = now + maintenanceInterval;
    m_state->placePreferred(now, actions);
    for (auto &target : m_state->targets) {
        if (isMaintenanceDue)
            m_state->maintain(target, now, actions);
        m_state->placeWaiting(target, now, actions);
        if (isMaintenanceDue)
            m_state->shedBacklog(target, now, actions);
    }
    m_state->cancelOverdue(now, actions);
}

auto dispatcher::laneDemand() const -> std::map<std::string, lane_demand>
{
    std::map<std::string, lane_demand> needs;
    for (std::uint32_t number = 0; number < m_state->targets.size(); ++number) {
        const auto &target = m_state->targets[number];
        if (target.prompts.size() == 0)
            continue;
        auto &own = needs[m_state->targetNames.name(number)] = target.prompts.ownDemand();
        own.unplaced = m_state->unplacedOrder(target, m_state->latestTime);
    }
    return needs;
}

auto dispatcher::setOthersLaneDemand(const std::map<std::string, lane_demand> &needs) -> void
{
    for (std::uint32_t number = 0; number < m_state->targets.size(); ++number) {
        const auto reported = needs.find(m_state->targetNames.name(number));
        m_state->targets[number].prompts.setOthersDemand(
            reported == needs.end() ? lane_demand() : reported->second);
    }
}

auto dispatcher::laneDivisions() const -> std::map<std::string, lane_division>
{
    std::map<std::string, lane_division> divisions;
    for (std::uint32_t number = 0; number < m_state->targets.size(); ++number) {
        const auto &prompts = m_state->targets[number].prompts;
        if (prompts.size() > 0)
            divisions.emplace(m_state->targetNames.name(number), prompts.division());
    }
    return divisions;
}

auto dispatcher::nextPaceReports(std::size_t most) -> std::vector<endpoint_pace_report>
{
    return m_state->endpoints.nextPaceReports(most);
}

auto dispatcher::reportPaces(std::span<const endpoint_pace_report> reports, time_point now) -> void
{
    for (const auto &report : reports) {
        if (const auto index = m_state->endpoints.find(report.endpoint); index != noIndex)
            m_state->endpoints.paceReported(index, report.pace, now);
    }
}

auto dispatcher::unevenSpeeds() const -> std::map<std::string, double>
{
    return m_state->endpoints.unevenSpeeds();
}

auto dispatcher::inFlightAt(std::string_view endpoint) const -> std::uint32_t
{
    const auto index = m_state->endpoints.find(endpoint);
    return index == noIndex ? 0 : m_state->endpoints.at(index).own;
}

auto dispatcher::pendingPromptTokensAt(std::string_view endpoint) const -> std::uint32_t
{
    const auto index = m_state->endpoints.find(endpoint);
    return index == noIndex ? 0 : m_state->endpoints.at(index).ownPromptTokens;
}

auto dispatcher::queuedCount() const -> std::size_t
{
    return m_state->requests.size() - m_state->placedCount;
}

auto dispatcher::inFlightCount() const -> std::size_t
{
    return m_state->placedCount;
}

} // namespace mustardline
