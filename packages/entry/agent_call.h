#pragma once

// One attempt to run a request through an endpoint's agent (docs/PROTOCOL.md, "Request path").
//
//     auto call = startAgentCall(http, {.agent = address, .requestId = id, ...}, request,
//                                {.onStart = ..., .onData = ..., .onEnd = ...});
//     call.cancel();
//
// `onStart` and `onData` deliver the endpoint's answer. `onEnd` is called exactly once and tells
// whether that answer is complete, the request was proved not run, or its fate is unknown. An
// answer that names another request or attempt is discarded and counts as lost.

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "entry/caller_request.h"
#include "net/http_client.h"
#include "policy/dispatcher.h"

namespace mustardline {

struct agent_call_options
{
    socket_address agent;
    std::string endpoint;
    std::string requestId;
    std::uint32_t attempt = 1;
    std::uint64_t configurationOffset = 0;
    // Time left until the request's deadline.
    duration deadline{};
    // Expected time to the first token over all endpoints; zero if unknown.
    duration expectedFirstToken{};
    // Time since the request arrived.
    duration waited{};
};

// What an agent reports about itself in the headers of every answer.
struct agent_report
{
    std::string boot;
    std::uint64_t configurationOffset = 0;
    // Whether `load` is set, that is, whether the agent sent its load.
    bool hasLoad = false;
    endpoint_load load;
};

// Status and headers of the endpoint's answer.
struct answer_start
{
    int status = 0;
    std::string contentType;
    // Time that the request waited in the agent's queue before it was run.
    duration queued{};
};

// The endpoint's answer is complete.
struct answer_complete
{};

// The agent proved that the request was not run.
struct not_run
{
    result_code code = result_code::not_run;
};

// The answer is missing or incomplete; the request may have run unless `sent` is false.
struct answer_lost
{
    error reason;
    bool sent = true;
    // Whether the agent itself reported the failure; otherwise its connection was lost.
    bool reportedByAgent = false;
};

using agent_call_end = std::variant<answer_complete, not_run, answer_lost>;

struct agent_call_callbacks
{
    // Called when the agent's headers arrive, before `onStart` or `onEnd`.
    std::function<auto(const agent_report &)->void> onReport;
    std::function<auto(const answer_start &)->void> onStart;
    std::function<auto(std::string_view)->void> onData;
    std::function<auto(const agent_call_end &)->void> onEnd;
};

// The headers of a run request, including those meant for the endpoint.
[[nodiscard]] auto runHeaders(const agent_call_options &options, const caller_request &request)
    -> std::vector<http_header>;

[[nodiscard]] auto startAgentCall(http_client &http, const agent_call_options &options,
                                  const caller_request &request, agent_call_callbacks callbacks)
    -> http_call;

// What an agent reports about a request whose connection was lost.
enum class request_fate : std::uint8_t { unknown, not_run, running, done, failed };

struct fate_answer
{
    request_fate fate = request_fate::unknown;
    std::string boot;
};

// Asks the agent for the fate of a request; `unknown` if it does not answer. The answer `not_run`
// covers all attempts up to `attempt`, or every attempt, future ones included, if that is 0.
auto askFate(http_client &http, const socket_address &agent, std::string_view requestId,
             std::uint32_t attempt, std::function<auto(const fate_answer &)->void> done) -> void;

// Asks the agent for its boot id; passes an empty string if it does not answer.
auto askBoot(http_client &http, const socket_address &agent,
             std::function<auto(const std::string &boot)->void> done) -> void;

} // namespace mustardline
