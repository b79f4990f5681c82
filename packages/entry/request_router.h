#pragma once

// Serves callers: admits their requests through the dispatcher, sends them to agents and carries
// the answers back.
//
// The router owns the table of live requests. Each request gets exactly one final answer: the
// endpoint's whole answer, or an error that says what became of it. All decisions are the
// dispatcher's; the router carries out its actions and reports what happened.

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
    // Bytes that a slow caller may leave unread before its endpoint is held back.
    std::size_t maxBacklogBytes = 1U << 20U;
};

class request_router
{
public:
    request_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                   configuration &config, claim_keeper &claims, request_router_options options);

    // Takes a caller's request; it is answered later.
    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;

    // An entity of the configuration changed.
    auto configurationChanged(v1::EntityKind kind, const std::string &id) -> void;

    // What `isVmLeaving` answers for that endpoint has changed.
    auto vmChanged(const std::string &endpointId) -> void;

    // Refuses everything new; what is live goes on to its end.
    auto drain() -> void { m_draining = true; }

    // Placement and expiry of what waits; call each few milliseconds.
    auto tick() -> void;

    // Deadlines of what was placed, and back-pressure; call some times a second.
    auto sweep() -> void;

    [[nodiscard]] auto liveCount() const -> std::size_t { return m_requests.size(); }
    [[nodiscard]] auto queuedCount() const -> std::size_t { return m_dispatcher.queuedCount(); }

    // Tells the meter of every live request.
    auto measure(demand_meter &meter) const -> void;

    // Called with the result of each request that was admitted.
    std::function<auto(const caller_request &request, result_code code)->void> onEnded;

    // Called when an agent names a configuration newer than ours.
    std::function<auto(std::uint64_t offset)->void> onNewerConfiguration;
    // Called with the boot that an agent names in its answer.
    std::function<auto(const std::string &endpointId, const std::string &boot)->void> onBoot;
    // Asked whether an endpoint's VM leaves, so that it gets nothing new.
    std::function<auto(const v1::Endpoint &)->bool> isVmLeaving;

private:
    [[nodiscard]] auto claimCallbacks() -> claim_flow_callbacks;
    auto queue(live_request &live) -> void;
    auto repeat(live_request &live, const claim_outcome &outcome) -> void;
    auto fetch(live_request &live, const owner_found &owner, const std::string &ownerId) -> void;

    auto carryOut() -> void;
    auto carryOut(const place_action &action) -> void;
    // The dispatcher asked for what the request's own state rules out.
    auto noteLostTrack(const live_request &live, std::string_view asked) -> void;
    auto send(live_request &live, const socket_address &agent) -> void;
    auto carryOut(const refuse_action &action) -> void;
    auto carryOut(const cancel_action &action) -> void;

    auto started(std::uint64_t number, const answer_start &start) -> void;
    auto received(std::uint64_t number, std::string_view data) -> void;
    auto ended(std::uint64_t number, const agent_call_end &end) -> void;
    auto endedWhole(live_request &live) -> void;
    auto endedLost(live_request &live, const lost &loss) -> void;
    // Whether another attempt may follow, and if a stream has begun, continue it.
    [[nodiscard]] static auto mayGoOn(live_request &live, result_code code) -> bool;
    auto resolveFate(std::uint64_t number) -> void;
    auto settleFate(live_request &live, const socket_address &agent, const fate_answer &answer)
        -> void;
    auto retry(live_request &live, result_code code) -> void;

    auto callerGone(std::uint64_t number) -> void;
    auto holdBack(live_request &live) -> void;
    auto expire(live_request &live) -> void;
    [[nodiscard]] static auto mayStop(const live_request &live) -> bool;
    auto stop(live_request &live, result_code code) -> void;
    auto failPlaced(live_request &live, result_code code) -> void;
    auto fail(live_request &live, const http_error &fault) -> void;
    auto forget(std::uint64_t number) -> void;
    auto find(std::uint64_t number) -> live_request *;
    auto reject(const std::shared_ptr<http_exchange> &exchange, const http_error &fault) -> void;
    auto setEndpoint(const v1::Endpoint &endpoint) -> void;
    auto stopKey(const std::string &keyId) -> void;
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
