#pragma once

// The state of one caller's request, from its arrival to its final answer.
//
// The functions below send the caller its answer; each live request gets exactly one. An answer
// that is being streamed ends either completely or with an explicit error event, so that a
// truncated answer never looks complete.

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
    // The request waits in the dispatcher's queue.
    queued,
    // The request was assigned to an endpoint.
    placed,
    // The answer of the idempotency key's owner is being fetched from its agent.
    fetching,
};

struct live_request
{
    // Unique within the process.
    std::uint64_t number = 0;
    // Globally unique; the same for all attempts.
    std::string id;
    caller_request request;
    std::shared_ptr<http_exchange> exchange;
    time_point arrivedAt;
    live_phase phase = live_phase::queued;

    std::string endpoint;
    std::uint32_t attempt = 0;
    duration expectedFirstToken{};
    // Boot id of the agent when the attempt was sent; empty if unknown.
    std::string bootAtSend;
    http_call call;
    event_handle retryTimer;
    // The current attempt was sent, and there is no proof that it was not run.
    bool mayHaveRun = false;
    // An agent reported that the request ran. No later attempt can prove otherwise.
    bool hasRun = false;
    // An attempt that may have run was lost, and the idempotent request was retried.
    bool hadLostAttempt = false;

    // The endpoint's answer; `answerBody` is its body so far, if it is not streamed to the caller.
    answer_start start;
    std::string answerBody;
    bool streaming = false;
    stream_relay relay;
    // Set if the stream of this attempt cannot continue: the code with which the agent stopped it,
    // or `answer_cut` if a later attempt's answer is not an event stream.
    std::optional<result_code> streamStopCode;
    // Reading from the agent is paused, because the caller reads too slowly.
    bool readingPaused = false;
    bool firstTokenSeen = false;
    std::uint32_t tokens = 0;

    // The request owns its idempotency key in the log.
    bool claimed = false;
};

// Whether the request may be sent to an agent now: it waits in the dispatcher's queue, and no
// attempt in progress may have run it.
[[nodiscard]] auto awaitsPlacement(const live_request &live) -> bool;

// What the dispatcher needs to know about a new request; the string views point into `request`.
[[nodiscard]] auto arrivalOf(std::uint64_t number, const caller_request &request)
    -> request_arrival;

// Starts streaming the endpoint's answer to the caller.
auto startStream(live_request &live) -> void;

// Ends the request with the complete answer of the endpoint.
auto replyComplete(live_request &live) -> void;

// Ends the request with the recorded answer of an earlier request with the same idempotency key.
auto replyRecorded(live_request &live, int status, std::string_view body) -> void;

// Ends the request with an error.
auto replyError(live_request &live, const http_error &failure) -> void;

} // namespace mustardline
