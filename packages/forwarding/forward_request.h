#pragma once

// One request on its way, and how it was read from what its caller sent.
//
// `readForwardRequest` finds the route and the account and decides whether the request may be
// considered at all; what it refuses has its final answer as an http_error.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "forwarding/event_cutter.h"
#include "forwarding/header_names.h"
#include "forwarding/route_table.h"
#include "net/http_client.h"
#include "net/http_error.h"
#include "net/http_server.h"

namespace mustardline {

struct forward_request
{
    std::uint64_t number = 0;
    std::shared_ptr<http_exchange> exchange;
    // Keeps `route` and `account` alive.
    std::shared_ptr<const fleet_configuration> configuration;
    const route_settings *route = nullptr;
    // Null on open routes.
    const account_settings *account = nullptr;
    // The caller's id of this try.
    std::string id;
    std::string service;
    // 0 is the highest.
    std::uint32_t priority = 0;
    // The order that endpoints are told: by priority, and by the route's among equals.
    std::uint32_t urgency = 0;
    std::uint32_t promptTokens = 0;
    // Of the parts of the prompt that other requests share; 0 for none.
    std::uint32_t sharedTokens = 0;
    std::uint64_t prefixHash = 0;
    time_point arrivedAt{};
    // When the final answer is due: by the route's timeout or the caller's deadline.
    time_point dueAt{};

    // Headers that go on to an endpoint with each try.
    std::vector<http_header> headers;

    // The try under way, and what has come of it.
    http_call call;
    std::string endpoint;
    // Which start of the endpoint has it; another start under the same id knows nothing of it.
    std::int64_t endpointBornAt = 0;
    bool inFlight = false;
    std::uint32_t sends = 0;
    http_answer answer;
    std::string body;
    // An earlier try may have run it.
    bool mayHaveRun = false;
    // The endpoint says that it did not run the request.
    bool notRun = false;
    // The answer is one that no endpoint gives.
    bool invalidAnswer = false;
    bool started = false;
    bool hasFirstByte = false;
    // The endpoint is held back because the caller reads slowly.
    bool held = false;
    // Of a stream that may be continued elsewhere.
    event_cutter events;
    time_point lastByteAt{};
    event_handle dueTimer;
    event_handle backlogTimer;
    // Looks whether the endpoint has fallen silent.
    event_handle silenceTimer;
};

// The host and path may lead nowhere, the key be unknown, or a header missing.
[[nodiscard]] auto readForwardRequest(const std::shared_ptr<http_exchange> &exchange,
                                      const route_table &routes, const header_names &names,
                                      time_point now, double draw)
    -> std::variant<forward_request, http_error>;

// How long an endpoint may be silent before a request that may run again is sent to another one.
[[nodiscard]] auto silenceLimit(const forward_request &request) -> duration;

// The headers of an endpoint's answer that go on to the caller.
[[nodiscard]] auto answerHeaders(std::span<const http_header> headers) -> std::vector<http_header>;

} // namespace mustardline
