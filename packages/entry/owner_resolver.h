#pragma once

// Finds out what became of a request whose entry was lost: asks every endpoint that it may have
// been sent to.
//
//     resolveOwner(http, {{.endpoint = "s1", .agent = address, .boot = boot}}, requestId, done);
//
// Asking tombstones the id at each agent that has not seen it. The request is proved not run only
// if every agent answers so from a boot that was already known when the request was claimed;
// otherwise an agent that has been replaced since may have run it.

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "entry/agent_call.h"
#include "net/http_client.h"

namespace mustardline {

// An endpoint that may have been given the request.
struct owner_candidate
{
    std::string endpoint;
    socket_address agent;
    // Boot of its agent at the time of the claim; empty if not known.
    std::string boot;
};

// No agent ran the request or ever will.
struct owner_not_run
{};

// The request is running, or its answer is kept, at this endpoint.
struct owner_found
{
    std::string endpoint;
    socket_address agent;
    bool finished = false;
};

// It cannot be known whether the request ran.
struct owner_unknown
{};

using owner_fate = std::variant<owner_unknown, owner_not_run, owner_found>;

auto resolveOwner(http_client &http, const std::vector<owner_candidate> &candidates,
                  const std::string &requestId, std::function<auto(const owner_fate &)->void> done)
    -> void;

} // namespace mustardline
