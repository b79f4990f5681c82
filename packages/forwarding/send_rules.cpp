#include "forwarding/send_rules.h"

#include <algorithm>

namespace mustardline {

auto mayRepeat(const forward_request &request) -> bool
{
    switch (request.route->kind) {
    case route_kind::idempotent:
        return true;
    case route_kind::once:
        return false;
    case route_kind::stream:
        return request.route->resumable;
    }
    return false;
}

auto mostSends(const forward_request &request, bool nothingRan) -> std::uint32_t
{
    constexpr std::uint32_t leastWithProof = 2;
    const auto named = request.route->maxAttempts;
    return nothingRan ? std::max(named + 1, leastWithProof) : named;
}

auto sendBar(const forward_request &request, std::string_view service) -> send_bar
{
    if (request.inFlight)
        return send_bar::under_way;
    if (request.mayHaveRun && !mayRepeat(request))
        return send_bar::may_have_run;
    if (request.sends >= mostSends(request, true))
        return send_bar::sends_used;
    if (service != request.service)
        return send_bar::other_service;
    return send_bar::none;
}

auto isSurelyNotRun(const forward_request &request) -> bool
{
    return !request.inFlight && !request.mayHaveRun;
}

auto sendBarName(send_bar bar) -> std::string_view
{
    switch (bar) {
    case send_bar::none:
        return "none";
    case send_bar::under_way:
        return "under_way";
    case send_bar::may_have_run:
        return "may_have_run";
    case send_bar::sends_used:
        return "sends_used";
    case send_bar::other_service:
        return "other_service";
    }
    return "none";
}

} // namespace mustardline
