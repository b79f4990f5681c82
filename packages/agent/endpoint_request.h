#pragma once

// Builds the HTTP request that the endpoint receives for a run.
//
//     const auto forwarded = makeEndpointRequest(endpoint_kind::model, request, body, models);
//
// The endpoint must never see a caller's key, so only allow-listed data is forwarded: a few
// headers, and for a model the known members of a chat completion. The agent adds the request's id
// and, for a model, the `priority` by which the engine orders its requests.

#include <span>
#include <string>
#include <string_view>

#include "agent/agent_settings.h"
#include "agent/run_request.h"
#include "base/result.h"
#include "net/http_client.h"

namespace mustardline {

// The priority of a run in the engine, where a lower value goes first: ordered by tier, then by the
// class's priority within the tier.
[[nodiscard]] auto enginePriority(const run_request &request) -> std::uint64_t;

// Fails with `malformed_json` for a model body that is not a JSON object, and with `not_run` for a
// model that is not among `served`. An empty `served` allows every model.
[[nodiscard]] auto makeEndpointRequest(endpoint_kind kind, const run_request &request,
                                       std::string_view body, std::span<const std::string> served)
    -> result<http_request>;

// Whether the body of a model's forwarded request asks for a streamed response. A member `stream`
// nested in one of the request's schemas may be mistaken for the top-level one.
[[nodiscard]] auto asksForStream(std::string_view forwardedBody) -> bool;

// The headers of the endpoint's response that are forwarded to the entry process.
[[nodiscard]] auto forwardedResponseHeaders(std::span<const http_header> headers)
    -> std::vector<http_header>;

} // namespace mustardline
