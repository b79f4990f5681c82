#pragma once

// Rules on whether, and how often, a request may be sent to an endpoint.
//
// The dispatcher decides where a request goes; these rules decide whether it may be sent at all.
// They depend only on the request's own history, so that the guarantee of at-most-once execution
// holds whatever placements the dispatcher makes:
//
//     const auto rejection = sendRejection(request, endpoint.service, endpoint.version);
//     if (rejection != send_rejection::none)
//         log(sendRejectionName(rejection));
//     else
//         send(request, endpoint);

#include <cstdint>
#include <string_view>

#include "forwarding/forward_request.h"

namespace mustardline {

// Reason why a request must not be sent to an endpoint now.
enum class send_rejection : std::uint8_t {
    none,
    // An attempt is in flight; its outcome decides what is permitted next.
    under_way,
    // An earlier attempt may have executed the request, and its route forbids a second execution.
    may_have_run,
    // The request was sent as often as its route allows.
    sends_used,
    // The endpoint belongs to another service.
    other_service,
    // The stream was begun by another version of the service's software.
    other_version,
};

// Whether a request with unknown outcome may be executed again.
[[nodiscard]] auto mayExecuteAgain(const forward_request &request) -> bool;

// Maximum number of sends of a request. Proof that nothing was executed allows one more than the
// route's limit, and at least two, because the extra send repeats no execution.
[[nodiscard]] auto maxSends(const forward_request &request, bool nothingExecuted) -> std::uint32_t;

// Whether the request may be sent to an endpoint of that service and version now.
[[nodiscard]] auto sendRejection(const forward_request &request, std::string_view service,
                                 std::string_view version) -> send_rejection;

// Whether the request may be rejected with the promise that nothing of it was executed.
[[nodiscard]] auto isProvenNotRun(const forward_request &request) -> bool;

// Whether callers take this status as a promise that nothing of the request was or will be
// executed. They then repeat even a request that must run at most once.
[[nodiscard]] auto promisesNotRun(int status) -> bool;

// Name of a rejection in logs and metrics.
[[nodiscard]] auto sendRejectionName(send_rejection rejection) -> std::string_view;

} // namespace mustardline
