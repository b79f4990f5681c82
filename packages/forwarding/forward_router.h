#pragma once

// Carries callers' requests to endpoints that have no agent, byte for byte, and their answers back.
//
// All decisions about order, place and refusal are the dispatcher's; the router carries out its
// actions and reports what happened. Each request gets exactly one final answer. One that was sent
// and not answered is repeated only if its route allows that; the statuses that promise that
// nothing ran are given only where that is so.

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "base/log.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/forward_metrics.h"
#include "forwarding/forward_request.h"
#include "forwarding/header_names.h"
#include "forwarding/peer_table.h"
#include "forwarding/route_table.h"
#include "forwarding/send_rules.h"
#include "forwarding/shared_allowance.h"
#include "policy/dispatcher.h"
#include "policy/random.h"
#include "policy/warm_up_shares.h"

namespace mustardline {

struct forward_router_options
{
    std::string dataCentre;
    header_names names;
    std::uint64_t seed = 1;
    // Bytes that a slow caller may leave unread before its endpoint is held back.
    std::size_t maxBacklogBytes = 256U << 10U;
    // Longest answer that is not a stream.
    std::size_t maxAnswerBytes = 8U << 20U;
    shared_allowance_options retries;
    // Which edges may send to a cold endpoint.
    warm_up_options warmUp;
};

class forward_router
{
public:
    forward_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                   route_table &routes, endpoint_directory &directory,
                   forward_router_options options);
    ~forward_router();
    forward_router(const forward_router &) = delete;
    auto operator=(const forward_router &) -> forward_router & = delete;

    // Takes a caller's request; it is answered later.
    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Refuses a request because the process ends; another one may take it at once.
    auto refuseDraining(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Tells the dispatcher of the endpoints that changed in the directory.
    auto endpointsChanged() -> void;

    // What the configuration says of the endpoints' services may have changed.
    auto configurationChanged() -> void;

    // Runs the dispatcher's systems; call some times a second.
    auto tick() -> void;

    // Tells the dispatcher what the other edges have in flight at those endpoints that changed.
    auto othersUse(peer_table &peers) -> void;
    // The same for all endpoints; what was told is believed for a second.
    auto refreshUses(peer_table &peers) -> void;

    // What the requests here, and those of the other edges, ask of the endpoints that read prompts.
    [[nodiscard]] auto laneDemand() const -> std::map<std::string, lane_needs>
    {
        return m_dispatcher.laneDemand();
    }
    auto setOthersLaneDemand(const std::map<std::string, lane_needs> &needs) -> void
    {
        m_dispatcher.setOthersLaneDemand(needs);
    }

    // Requests of this edge in flight, by endpoint.
    [[nodiscard]] auto uses() const -> std::map<std::string, endpoint_use>;

    // Entries that share the fleet's allowances.
    auto setEntryCount(std::uint32_t count) -> void;
    // The other entries that may send to cold endpoints, once they are known.
    auto setWarmUpEntries(std::vector<std::string> names) -> void;

    [[nodiscard]] auto liveCount() const -> std::size_t { return m_requests.size(); }

    // Called when an endpoint begins to run a request of an account.
    std::function<auto(const std::string &account)->void> onBegun;

private:
    // When to come back if nothing better is known.
    static constexpr duration defaultRetryAfter = std::chrono::milliseconds(500);

    auto refuseAtOnce(const std::shared_ptr<http_exchange> &exchange, const http_error &fault)
        -> void;
    auto setEndpoint(const endpoint_entry &entry) -> void;
    auto setEndpoints() -> void;
    auto reportUse(const endpoint_entry &entry, const endpoint_use &others, time_point now) -> void;
    [[nodiscard]] auto connectionsTo(std::string_view service) const -> std::uint32_t;

    auto carryOut() -> void;
    auto carryOut(const place_action &action) -> void;
    auto carryOut(const refuse_action &action) -> void;
    auto carryOut(const cancel_action &action) -> void;
    auto refusePlacement(forward_request &request, const place_action &action, send_bar bar)
        -> void;
    auto send(forward_request &request, const endpoint_entry &endpoint) -> void;
    [[nodiscard]] auto headersFor(const forward_request &request,
                                  const endpoint_entry &endpoint) const -> std::vector<http_header>;

    auto answered(std::uint64_t number, const http_answer &answer) -> void;
    auto heardOfEndpoint(const forward_request &request, const http_answer &answer) -> void;
    auto received(std::uint64_t number, std::string_view data) -> void;
    auto ended(std::uint64_t number, const http_outcome &outcome) -> void;
    auto endedWhole(forward_request &request) -> void;
    auto endedLost(forward_request &request, const http_failure &failure) -> void;
    // Gives the caller the endpoint's own answer.
    auto passOn(forward_request &request) -> void;
    auto begun(forward_request &request) -> void;
    // Places the request again, or gives it its final answer.
    auto tryAgain(forward_request &request, result_code code, bool arrived) -> void;

    // Whether a request that was sent may be sent to another endpoint as well.
    [[nodiscard]] auto mayGoElsewhere(const forward_request &request) const -> bool;
    auto watchSilence(forward_request &request, duration delay) -> void;
    auto lookForSilence(std::uint64_t number) -> void;
    auto lookForBacklog(std::uint64_t number) -> void;

    auto expire(std::uint64_t number) -> void;
    auto callerGone(std::uint64_t number) -> void;
    auto finish(forward_request &request, result_code code) -> void;
    auto fail(forward_request &request, const http_error &fault) -> void;
    [[nodiscard]] auto find(std::uint64_t number) -> forward_request *;
    auto scheduleTick() -> void;

    event_loop &m_loop;
    http_client &m_http;
    logger &m_log;
    forward_metrics m_metrics;
    route_table &m_routes;
    endpoint_directory &m_directory;
    forward_router_options m_options;
    system_runtime_clock m_clock;
    random_source m_random;
    dispatcher m_dispatcher;
    warm_up_shares m_warmUp;
    // By service.
    std::unordered_map<std::string, shared_allowance> m_allowances;
    std::vector<dispatch_action> m_actions;
    std::unordered_map<std::uint64_t, forward_request> m_requests;
    std::uint64_t m_lastNumber = 0;
    std::uint32_t m_entryCount = 1;
    bool m_carryingOut = false;
    event_handle m_tick;
    bool m_tickSet = false;
};

} // namespace mustardline
