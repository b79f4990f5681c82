#pragma once

// Checks a run against the agent's own view of the configuration, so that an entry that is behind,
// or at fault, cannot put work on the endpoint.
//
//     const auto verdict = checkAdmission(config, identity, request);
//     if (const auto *refusal = failed(verdict))
//         refuse(*refusal);
//
// The entry has made the same checks; the agent repeats them because it may know of a newer
// configuration. Every refusal is made before the endpoint has seen anything of the request.

#include <string>

#include "agent/agent_settings.h"
#include "agent/run_request.h"
#include "base/result.h"
#include "coordination/configuration.h"

namespace mustardline {

// What the agent knows about itself from its settings.
struct agent_identity
{
    std::string endpoint;
    endpoint_kind kind = endpoint_kind::model;
    std::string dataCentre;
};

// Whether the endpoint takes new work at all: `no_configuration`, `draining` for a leaving
// endpoint, `not_run` for an unknown one or a data centre that is out.
[[nodiscard]] auto checkEndpoint(const configuration &config, const agent_identity &identity)
    -> status;

// Whether the key that came with the request still stands for its client account:
// `key_withdrawn` or `forbidden` if not.
[[nodiscard]] auto checkKey(const configuration &config, const run_request &request) -> status;

// All checks of a run that is about to wait or start.
[[nodiscard]] auto checkAdmission(const configuration &config, const agent_identity &identity,
                                  const run_request &request) -> status;

} // namespace mustardline
