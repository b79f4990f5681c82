#include "forwarding/send_rules.h"

#include <algorithm>

namespace mustardline {

auto mayExecuteAgain(const forward_request &request) -> bool
{
    switch (request.route->kind) {
    case route_kind::idempotent:
        return true;
    case route_kind::at_most_once:
        return false;
    case route_kind::stream:
        return request.route->resumable;
    }
    return false;
}

auto maxSends(const forward_request &request, bool nothingExecuted) -> std::uint32_t
{
    constexpr std::uint32_t minIfNotExecuted = 2;
    const auto limit = request.route->maxAttempts;
    return nothingExecuted ? std::max(limit + 1, minIfNotExecuted) : limit;
}

auto sendRejection(const forward_request &request, std::string_view service,
                   std::string_view version) -> send_rejection
{
    if (request.inFlight)
        return send_rejection::under_way;
    if (request.mayHaveRun && !mayExecuteAgain(request))
        return send_rejection::may_have_run;
    if (request.sends >= maxSends(request, true))
        return send_rejection::sends_used;
    if (service != request.service)
        return send_rejection::other_service;
    if (request.isVersionUnknown || (request.streamVersion && *request.streamVersion != version))
        return send_rejection::other_version;
    return send_rejection::none;
}

auto isProvenNotRun(const forward_request &request) -> bool
{
    return !request.inFlight && !request.mayHaveRun;
}

auto promisesNotRun(int status) -> bool
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests
           || status == unavailable;
}

auto sendRejectionName(send_rejection rejection) -> std::string_view
{
    switch (rejection) {
    case send_rejection::none:
        return "none";
    case send_rejection::under_way:
        return "under_way";
    case send_rejection::may_have_run:
        return "may_have_run";
    case send_rejection::sends_used:
        return "sends_used";
    case send_rejection::other_service:
        return "other_service";
    case send_rejection::other_version:
        return "other_version";
    }
    return "none";
}

} // namespace mustardline
