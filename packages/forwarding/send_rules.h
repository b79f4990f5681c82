#pragma once

// What may be sent to an endpoint, and how often.
//
// The dispatcher decides where a request goes; these rules decide whether it may go anywhere at
// all. They need nothing but the request's own history, so that the promise that it runs at most
// once holds whatever the dispatcher asks for:
//
//     if (const auto bar = sendBar(request, endpoint.service); bar != send_bar::none)
//         log(sendBarName(bar));
//     else
//         send(request, endpoint);

#include <cstdint>
#include <string_view>

#include "forwarding/forward_request.h"

namespace mustardline {

// Why a request must not be sent to an endpoint now.
enum class send_bar : std::uint8_t {
    none,
    // A try is under way, and only its end tells what may follow.
    under_way,
    // An earlier try may have run it, and its route does not allow a second run.
    may_have_run,
    // It was sent as often as its route allows.
    sends_used,
    // The endpoint belongs to another service.
    other_service,
};

// Whether a request whose outcome is not known may run again.
[[nodiscard]] auto mayRepeat(const forward_request &request) -> bool;

// Most times that a request may be sent. Proof that nothing ran allows one more than the route
// names, and one other endpoint at least: nothing is repeated then.
[[nodiscard]] auto mostSends(const forward_request &request, bool nothingRan) -> std::uint32_t;

// Whether the request may be sent to an endpoint of `service` now.
[[nodiscard]] auto sendBar(const forward_request &request, std::string_view service) -> send_bar;

// Whether the request may be refused with the promise that nothing of it ran.
[[nodiscard]] auto isSurelyNotRun(const forward_request &request) -> bool;

// The name of a bar in logs and metrics.
[[nodiscard]] auto sendBarName(send_bar bar) -> std::string_view;

} // namespace mustardline
