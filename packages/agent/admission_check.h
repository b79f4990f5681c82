#pragma once

// Checks a run against the agent's own copy of the configuration, so that an entry process with an
// outdated configuration or a bug cannot put work on the endpoint.
//
//     const auto outcome = checkAdmission(config, identity, request);
//     if (const auto *refusal = failed(outcome))
//         refuse(*refusal);
//
// The entry process has made the same checks; the agent repeats them because it may have a newer
// configuration. A run is refused before any part of the request reaches the endpoint.

#include <string>

#include "agent/agent_settings.h"
#include "agent/run_request.h"
#include "base/result.h"
#include "coordination/configuration.h"

namespace mustardline {

// Identity of the agent, from its settings.
struct agent_identity
{
    std::string endpoint;
    endpoint_kind kind = endpoint_kind::model;
    std::string dataCentre;
};

// Checks whether the endpoint accepts new runs at all. Fails with `no_configuration` before the
// first configuration, `draining` for an endpoint that is leaving, and `not_run` for an endpoint
// that is unknown or whose data centre is unknown or out of service.
[[nodiscard]] auto checkEndpoint(const configuration &config, const agent_identity &identity)
    -> status;

// Checks whether the request's key is still valid for its client account. Fails with
// `key_withdrawn` or `forbidden`.
[[nodiscard]] auto checkKey(const configuration &config, const run_request &request) -> status;

// Makes all checks of a run that is about to be queued or started.
[[nodiscard]] auto checkAdmission(const configuration &config, const agent_identity &identity,
                                  const run_request &request) -> status;

} // namespace mustardline
