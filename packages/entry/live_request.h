#pragma once

// One request that a caller waits for, from its arrival to its final answer.
//
// The functions here give the caller its answer; each live request gets exactly one. An answer that
// has begun to stream can only end properly or with an explicit error event, so that a cut answer
// never looks whole.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "entry/agent_call.h"
#include "entry/caller_request.h"
#include "entry/stream_relay.h"
#include "net/http_error.h"
#include "net/http_server.h"

namespace mustardline {

enum class live_phase : std::uint8_t {
    // The log has not decided yet whether the request owns its idempotency key.
    claiming,
    // The dispatcher has it, waiting.
    queued,
    // It was sent to an agent.
    placed,
    // The answer of an earlier attempt is fetched from its agent.
    fetching,
};

struct live_request
{
    // Unique within the process.
    std::uint64_t number = 0;
    // Unique everywhere; the same for all attempts.
    std::string id;
    caller_request request;
    std::shared_ptr<http_exchange> exchange;
    time_point arrivedAt;
    live_phase phase = live_phase::queued;

    std::string endpoint;
    std::uint32_t attempt = 0;
    duration expectedFirstToken{};
    // Boot of the agent when the attempt was sent; empty if not known.
    std::string bootAtSend;
    http_call call;
    event_handle retryTimer;
    // The attempt was sent and not proved not run since.
    bool mayHaveRun = false;
    // An agent told that the request ran. No later try can prove otherwise.
    bool hasRun = false;
    // A try was lost that may have run; the request may be repeated, and was.
    bool wasLost = false;

    // The endpoint's answer so far, if it is not streamed to the caller.
    answer_start start;
    std::string collected;
    bool streaming = false;
    stream_relay relay;
    // The agent stopped the stream for this reason.
    std::optional<result_code> streamStopped;
    // The endpoint is held back, because the caller reads slowly.
    bool held = false;
    bool firstTokenSeen = false;
    std::uint32_t tokens = 0;

    // The request owns its idempotency key in the log.
    bool claimed = false;
};

// Whether the request may be sent to an agent now: the dispatcher has it, waiting, and no try is
// under way that may have run it.
[[nodiscard]] auto awaitsPlacement(const live_request &live) -> bool;

// What the dispatcher is told of a request when it arrives; the views are into `request`.
[[nodiscard]] auto arrivalOf(std::uint64_t number, const caller_request &request)
    -> request_arrival;

// Begins to stream the endpoint's answer.
auto startStream(live_request &live) -> void;

// Ends with the endpoint's whole answer.
auto replyWhole(live_request &live) -> void;

// Ends with the answer that an earlier attempt got.
auto replyRepeated(live_request &live, int status, std::string_view body) -> void;

// Ends with an error.
auto replyError(live_request &live, const http_error &fault) -> void;

} // namespace mustardline
