#pragma once

// Builds what the endpoint receives for a run.
//
//     const auto forwarded = makeEndpointRequest(endpoint_kind::model, request, body, models);
//
// The endpoint must never see a caller's key, so only what is on a list goes on: a few headers, and
// for a model the known members of a chat completion. The agent adds the request's id and, for a
// model, the `priority` that the engine orders by.

#include <span>
#include <string>
#include <string_view>

#include "agent/agent_settings.h"
#include "agent/run_request.h"
#include "base/result.h"
#include "net/http_client.h"

namespace mustardline {

// The engine's order of a run: tiers first, then the class's priority within the tier.
[[nodiscard]] auto enginePriority(const run_request &request) -> std::uint64_t;

// Fails with `malformed_json` for a model body that is no JSON object, and with `not_run` for a
// model that is not among `served`. An empty `served` allows every model.
[[nodiscard]] auto makeEndpointRequest(endpoint_kind kind, const run_request &request,
                                       std::string_view body, std::span<const std::string> served)
    -> result<http_request>;

// Whether the body of a model's forwarded request asks for a stream. A member `stream` inside one
// of the request's schemas may be taken for it.
[[nodiscard]] auto asksForStream(std::string_view forwardedBody) -> bool;

// The headers of the endpoint's answer that go back to the entry.
[[nodiscard]] auto passedAnswerHeaders(std::span<const http_header> headers)
    -> std::vector<http_header>;

} // namespace mustardline
