#pragma once

// Serves callers: admits their requests through the dispatcher, sends them to agents and returns
// the answers.
//
// The router owns the table of live requests. Each request gets exactly one final answer: the
// complete answer of the endpoint, or an error that describes the request's fate. The dispatcher
// makes all decisions; the router executes its actions and reports their results to it.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "coordination/configuration.h"
#include "entry/agent_call.h"
#include "entry/caller_request.h"
#include "entry/claim_flow.h"
#include "entry/demand_meter.h"
#include "entry/live_request.h"
#include "net/http_error.h"
#include "net/http_server.h"
#include "policy/dispatcher.h"

namespace mustardline {

struct request_router_options
{
    std::string dataCentre;
    std::string keySecret;
    std::uint32_t entryCount = 1;
    std::uint32_t subsetSize = 64;
    std::uint32_t maxQueued = 1000;
    std::uint64_t seed = 1;
    // Reading from the agent pauses while the caller has more unread bytes than this.
    std::size_t maxBacklogBytes = 1U << 20U;
};

class request_router
{
public:
    request_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                   configuration &config, claim_keeper &claims, request_router_options options);

    // Accepts a caller's request, which is answered asynchronously.
    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Applies a change to an entity of the configuration.
    auto configurationChanged(v1::EntityKind kind, const std::string &id) -> void;

    // To be called when the result of `isVmLeaving` for the endpoint has changed.
    auto vmChanged(const std::string &endpointId) -> void;

    // Refuses new requests; live requests continue to their end.
    auto drain() -> void { m_draining = true; }

    // Places or expires queued requests; to be called every few milliseconds.
    auto tick() -> void;

    // Enforces deadlines and applies backpressure; to be called several times a second.
    auto sweep() -> void;

    [[nodiscard]] auto liveCount() const -> std::size_t { return m_requests.size(); }
    [[nodiscard]] auto queuedCount() const -> std::size_t { return m_dispatcher.queuedCount(); }

    // Reports every live request to the meter.
    auto measure(demand_meter &meter) const -> void;

    // Called with the final result of each request that passed validation.
    std::function<auto(const caller_request &request, result_code code)->void> onEnded;

    // Called when an agent reports a newer configuration offset than this process has.
    std::function<auto(std::uint64_t offset)->void> onNewerConfiguration;
    // Called with the boot id that an agent reports in its answer.
    std::function<auto(const std::string &endpointId, const std::string &boot)->void> onBoot;
    // Returns whether the endpoint's VM is leaving, in which case it gets no new requests.
    std::function<auto(const v1::Endpoint &)->bool> isVmLeaving;

private:
    [[nodiscard]] auto claimCallbacks() -> claim_flow_callbacks;
    auto queue(live_request &live) -> void;
    auto replay(live_request &live, const claim_outcome &outcome) -> void;
    auto fetch(live_request &live, const owner_found &owner, const std::string &ownerId) -> void;

    auto carryOut() -> void;
    auto carryOut(const place_action &action) -> void;
    // Logs an action of the dispatcher that conflicts with the request's state and is ignored.
    auto logIgnoredAction(const live_request &live, std::string_view requestedAction) -> void;
    auto send(live_request &live, const socket_address &agent) -> void;
    auto carryOut(const refuse_action &action) -> void;
    auto carryOut(const cancel_action &action) -> void;

    auto handleStart(std::uint64_t number, const answer_start &start) -> void;
    auto handleData(std::uint64_t number, std::string_view data) -> void;
    auto handleEnd(std::uint64_t number, const agent_call_end &end) -> void;
    auto handleComplete(live_request &live) -> void;
    auto handleLoss(live_request &live, const answer_lost &loss) -> void;
    // Whether another attempt may follow; prepares a stream that has begun to be continued by it.
    [[nodiscard]] static auto canContinue(live_request &live, result_code code) -> bool;
    auto resolveFate(std::uint64_t number) -> void;
    auto handleFate(live_request &live, const socket_address &agent, const fate_answer &answer)
        -> void;
    auto retry(live_request &live, result_code code) -> void;

    auto callerGone(std::uint64_t number) -> void;
    auto updateBackpressure(live_request &live) -> void;
    auto expire(live_request &live) -> void;
    [[nodiscard]] static auto canCancel(const live_request &live) -> bool;
    auto cancelRequest(live_request &live, result_code code) -> void;
    auto failPlaced(live_request &live, result_code code) -> void;
    auto fail(live_request &live, const http_error &failure) -> void;
    auto removeRequest(std::uint64_t number) -> void;
    auto find(std::uint64_t number) -> live_request *;
    auto reject(const std::shared_ptr<http_exchange> &exchange, const http_error &failure) -> void;
    auto setEndpoint(const v1::Endpoint &endpoint) -> void;
    auto cancelRequestsOfKey(const std::string &keyId) -> void;
    auto countEnd(const live_request &live, result_code code) -> void;
    auto countResult(std::uint32_t tier, result_code code) -> void;

    event_loop &m_loop;
    http_client &m_http;
    logger &m_log;
    counters &m_metrics;
    configuration &m_config;
    request_router_options m_options;
    system_runtime_clock m_clock;
    dispatcher m_dispatcher;
    std::vector<dispatch_action> m_actions;
    std::unordered_map<std::uint64_t, live_request> m_requests;
    claim_flow m_claims;
    std::uint64_t m_lastNumber = 0;
    bool m_draining = false;
    bool m_carryingOut = false;
};

} // namespace mustardline
