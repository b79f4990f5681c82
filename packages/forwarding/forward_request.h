#pragma once

// State of one forwarded request, and its construction from the caller's HTTP request.
//
// `readForwardRequest` looks up the route and the account and decides whether the request is
// admissible. For a rejected request it returns the final response as an http_error.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "forwarding/event_boundary.h"
#include "forwarding/header_names.h"
#include "forwarding/route_table.h"
#include "forwarding/sse_event_buffer.h"
#include "net/http_client.h"
#include "net/http_error.h"
#include "net/http_server.h"

namespace mustardline {

// An attempt at an endpoint that paused in the middle of its response. The endpoint may still go
// on, so the attempt is kept until another endpoint has taken over the request.
struct suspended_attempt
{
    std::uint32_t number = 0;
    http_call call;
    std::string endpoint;
    std::int64_t endpointStartedAtMs = 0;
    http_answer answer;
    event_boundary boundary;
    sse_event_buffer eventBuffer;
};

struct forward_request
{
    std::uint64_t number = 0;
    std::shared_ptr<http_exchange> exchange;
    // Keeps `route` and `account` alive.
    std::shared_ptr<const fleet_configuration> configuration;
    const route_settings *route = nullptr;
    // Null on public routes.
    const account_settings *account = nullptr;
    // The caller's id of this attempt.
    std::string id;
    std::string service;
    // Name of the endpoints that may get it: the service, or one version of it in a roll-out.
    std::string target;
    // 0 is the highest.
    std::uint32_t priority = 0;
    // Urgency sent to endpoints: ordered by priority, then by the route's priority.
    std::uint32_t urgency = 0;
    // The caller resumes a stream that an earlier attempt of it began.
    bool isResume = false;
    // Id of the caller's attempt that brought the stream's first event; empty if it is not named.
    std::string originAttempt;
    // Version of the software of the endpoint that sent the stream's first event: the stream goes
    // on only there. Not set before an event was passed on.
    std::optional<std::string> streamVersion;
    // An event was passed on, and it cannot be told which version wrote it.
    bool isVersionUnknown = false;
    std::uint32_t promptTokens = 0;
    // Tokens of the prompt prefix that is shared with other requests; 0 if none.
    std::uint32_t sharedTokens = 0;
    std::uint64_t prefixHash = 0;
    // Hashes of the ids of the shared parts.
    std::vector<std::uint64_t> sharedParts;
    time_point arrivedAt{};
    // Deadline of the final response: the earlier of the route's timeout and the caller's deadline.
    time_point deadlineAt{};

    // Headers that are sent to the endpoint with each attempt.
    std::vector<http_header> headers;

    // The current attempt and its state.
    std::uint32_t attempt = 0;
    http_call call;
    std::string endpoint;
    // Instance of the endpoint that received the request; a later instance with the same id knows
    // nothing of it.
    std::int64_t endpointStartedAtMs = 0;
    // Version of its software, as it was registered when the request was sent.
    std::string endpointVersion;
    bool inFlight = false;
    std::uint32_t sends = 0;
    // Connections that carried this request. No other send of it may use them: a surplus response
    // to the earlier send has the same request id.
    std::vector<std::uint64_t> usedConnections;
    http_answer answer;
    std::string body;
    // The endpoint's response has arrived whole. Only then may it be relayed as a whole one.
    bool answerComplete = false;
    // An earlier attempt may have executed the request.
    bool mayHaveRun = false;
    // The endpoint stated that it did not execute the request.
    bool notRun = false;
    // The response cannot be the endpoint's to this request: it is encoded, successful without a
    // seal, or on a used connection without the request's id.
    bool invalidAnswer = false;
    bool responseStarted = false;
    bool hasFirstByte = false;
    time_point firstByteAt{};
    // An answer to it has lasted, so no part of its prompt crashes endpoints.
    bool provenSound = false;
    // Reading from the endpoint is paused because the caller reads slowly.
    bool readPaused = false;
    // Position of the current attempt's response in its events.
    event_boundary boundary;
    // Event parser of a stream that may be resumed at another endpoint.
    sse_event_buffer eventBuffer;
    std::optional<suspended_attempt> suspended;
    time_point lastByteAt{};
    event_handle deadlineTimer;
    event_handle backlogTimer;
    // Fires when the endpoint may have stalled.
    event_handle stallTimer;

    // Whether the caller has received a part of the stream, from this attempt or an earlier one.
    [[nodiscard]] auto hasBegun() const -> bool { return isResume || responseStarted; }
};

// Returns an error if no route matches the host and path, the key is unknown, or there is no
// configuration. `randomDraw`, in [0, 1), selects among the route's weighted targets.
[[nodiscard]] auto readForwardRequest(const std::shared_ptr<http_exchange> &exchange,
                                      const route_table &routes, const header_names &names,
                                      time_point now, double randomDraw)
    -> std::variant<forward_request, http_error>;

// Time without data from an endpoint after which a repeatable request is sent to another one.
[[nodiscard]] auto stallTimeout(const forward_request &request) -> duration;

// Headers of an endpoint's response that are relayed to the caller.
[[nodiscard]] auto answerHeaders(std::span<const http_header> headers) -> std::vector<http_header>;

} // namespace mustardline
