// Tells the watch for parts of prompts under which endpoints crash what happens to requests and
// endpoints.

#include <fmt/format.h>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"

namespace mustardline {

namespace {

// An endpoint that crashes under a prompt does so when it begins to write the answer; one that has
// written for this long does not.
constexpr duration provingTime = std::chrono::milliseconds(500);

// Whether the endpoint's process may have ended. Its kernel then closes the connection, which looks
// orderly, so a broken stream that nothing else ends counts as well.
auto isConnectionLost(const forward_request &request, const http_failure &failure) -> bool
{
    return failure.reason.code == result_code::connection_failed
           || (failure.reason.code == result_code::answer_cut && request.answer.endsWithConnection);
}

} // namespace

auto forward_router::recordAnswer(forward_request &request, bool isComplete, time_point now) -> void
{
    if (request.provenSound || request.sharedParts.empty() || !request.hasFirstByte)
        return;
    if (!isComplete && now - request.firstByteAt < provingTime)
        return;
    request.provenSound = true;
    m_partWatch.proven(request.sharedParts);
}

auto forward_router::recordFailure(const forward_request &request, const http_failure &failure)
    -> void
{
    // An endpoint may drop an idle connection at any time, which says nothing of its process.
    if ((failure.reason.code == result_code::connection_failed
         || failure.reason.code == result_code::answer_cut)
        && (!failure.reused || request.hasFirstByte))
        doubtEndpoint(request.endpoint);
    if (!isConnectionLost(request, failure))
        return;
    const auto crash = crashId(request.endpoint, request.endpointStartedAtMs);
    const auto now = m_clock.now();
    if (!failure.sent)
        m_partWatch.endpointDown(crash, now);
    else if (request.provenSound)
        m_partWatch.lost({}, crash, now);
    else
        m_partWatch.lost(request.sharedParts, crash, now);
    logBlockedParts();
}

auto forward_router::recordEndpointStart(const std::string &id, const endpoint_entry *entry) -> void
{
    const auto known = m_endpointStarts.find(id);
    const auto start = entry == nullptr ? 0 : entry->registration.startedAtMs;
    if (known != m_endpointStarts.end() && (entry == nullptr || known->second != start)) {
        m_partWatch.endpointDown(crashId(id, known->second), m_clock.now());
        logBlockedParts();
    }
    if (entry == nullptr)
        m_endpointStarts.erase(id);
    else
        m_endpointStarts[id] = start;
}

auto forward_router::promptPartReport() -> prompt_part_report
{
    return m_partWatch.report(m_clock.now());
}

auto forward_router::applyPromptPartReport(const prompt_part_report &report) -> void
{
    m_partWatch.applyReport(report, m_clock.now());
    logBlockedParts();
}

auto forward_router::logBlockedParts() -> void
{
    for (const auto &blocked : m_partWatch.takeNewlyBlocked())
        m_log.write(promptPartBlocked, field("part", fmt::format("{:016x}", blocked.part)),
                    field("crashes", blocked.crashes.size()));
}

} // namespace mustardline
