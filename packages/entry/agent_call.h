#pragma once

// One attempt of one request at an endpoint's agent (docs/PROTOCOL.md, "Request path").
//
//     auto call = startAgentCall(http, {.agent = address, .requestId = id, ...}, request,
//                                {.onStart = ..., .onData = ..., .onEnd = ...});
//     call.cancel();
//
// `onStart` and `onData` carry the endpoint's own answer; `onEnd` follows exactly once and says
// whether that answer was whole, the request was proved not run, or its fate is open. An answer
// that names another request or attempt is dropped as lost.

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
    // Time left until the whole answer is due.
    duration deadline{};
    // Usual time to the first token at all endpoints; zero if not known.
    duration expectedFirstToken{};
    // Time since the request arrived.
    duration waited{};
};

// What every answer of an agent says of itself.
struct agent_report
{
    std::string boot;
    std::uint64_t configurationOffset = 0;
    // Present if the agent sent its load.
    bool hasLoad = false;
    endpoint_load load;
};

// The endpoint's answer begins.
struct answer_start
{
    int status = 0;
    std::string contentType;
    // The request waited so long at the agent before it was run.
    duration queued{};
};

// The endpoint's answer came to its proper end.
struct answered
{};

// The agent proved that the request was not run.
struct not_run
{
    result_code code = result_code::not_run;
};

// No whole answer came; the request may have run unless `sent` is false.
struct lost
{
    error reason;
    bool sent = true;
    // The agent itself said so and has no more to tell; otherwise its connection was lost.
    bool told = false;
};

using agent_call_end = std::variant<answered, not_run, lost>;

struct agent_call_callbacks
{
    // The agent answered; called before `onStart` or `onEnd`.
    std::function<auto(const agent_report &)->void> onReport;
    std::function<auto(const answer_start &)->void> onStart;
    std::function<auto(std::string_view)->void> onData;
    std::function<auto(const agent_call_end &)->void> onEnd;
};

// The headers of a run, those for the endpoint included.
[[nodiscard]] auto runHeaders(const agent_call_options &options, const caller_request &request)
    -> std::vector<http_header>;

[[nodiscard]] auto startAgentCall(http_client &http, const agent_call_options &options,
                                  const caller_request &request, agent_call_callbacks callbacks)
    -> http_call;

// What an agent says of a request whose connection was lost.
enum class request_fate : std::uint8_t { unknown, not_run, running, done, failed };

struct fate_answer
{
    request_fate fate = request_fate::unknown;
    std::string boot;
};

// Asks the agent for the fate of a request; `unknown` if it does not answer. An answer `not_run`
// holds for all attempts up to `attempt`, or for ever if that is 0.
auto askFate(http_client &http, const socket_address &agent, std::string_view requestId,
             std::uint32_t attempt, std::function<auto(const fate_answer &)->void> done) -> void;

// Reads the boot id of the agent; empty if it does not answer.
auto askBoot(http_client &http, const socket_address &agent,
             std::function<auto(const std::string &boot)->void> done) -> void;

} // namespace mustardline
