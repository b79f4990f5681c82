#pragma once

// Determines the fate of a request whose entry process was lost, by asking the agent of every
// endpoint that it may have been sent to.
//
//     resolveOwner(http, {{.endpoint = "s1", .agent = address, .boot = boot}}, requestId, done);
//
// An agent that has not seen the id stores a tombstone for it and will never run it. The request is
// proved not run only if every agent answers `not_run` with the boot id that was already known when
// the request was claimed. An agent with another boot id was restarted or replaced since and may
// have run the request before that.

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "entry/agent_call.h"
#include "net/http_client.h"

namespace mustardline {

// An endpoint that the request may have been sent to.
struct owner_candidate
{
    std::string endpoint;
    socket_address agent;
    // Boot id of its agent at the time of the claim; empty if unknown.
    std::string boot;
};

// No agent has run the request or will ever run it.
struct owner_not_run
{};

// The request is running at this endpoint, or its agent has stored the answer.
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
